package pgvalue

import "strings"

// Type OIDs of PostgreSQL's pg_type catalog.
const (
	OIDBool        uint32 = 16
	OIDBytea       uint32 = 17
	OIDInt8        uint32 = 20
	OIDInt2        uint32 = 21
	OIDInt4        uint32 = 23
	OIDText        uint32 = 25
	OIDFloat4      uint32 = 700
	OIDFloat8      uint32 = 701
	OIDVarchar     uint32 = 1043
	OIDTimestamp   uint32 = 1114
	OIDTimestamptz uint32 = 1184
)

var oids = map[string]uint32{
	"bool": OIDBool, "boolean": OIDBool,
	"bytea": OIDBytea, "blob": OIDBytea,
	"int8": OIDInt8, "bigint": OIDInt8, "bigserial": OIDInt8, "integer": OIDInt8, "int": OIDInt8,
	"serial": OIDInt8, "smallint": OIDInt2, "int2": OIDInt2, "int4": OIDInt4,
	"float4": OIDFloat4, "real": OIDFloat8, "float8": OIDFloat8, "double precision": OIDFloat8, "double": OIDFloat8,
	"timestamptz": OIDTimestamptz, "timestamp with time zone": OIDTimestamptz,
	"timestamp": OIDTimestamp, "timestamp without time zone": OIDTimestamp, "datetime": OIDTimestamp,
}

// OIDOf returns the OID of a type name as written in SQL, without regard to
// case and length. Unknown names are text; the empty name is 0.
func OIDOf(name string) uint32 {
	name = strings.ToLower(strings.TrimSpace(name))
	if i := strings.IndexByte(name, '('); i >= 0 {
		name = strings.TrimSpace(name[:i])
	}
	if name == "" {
		return 0
	}
	if oid, ok := oids[name]; ok {
		return oid
	}
	return OIDText
}

// Size returns the fixed size of a type as RowDescription states it, -1 for
// types of variable size.
func Size(oid uint32) int16 {
	switch oid {
	case OIDBool:
		return 1
	case OIDInt2:
		return 2
	case OIDInt4, OIDFloat4:
		return 4
	case OIDInt8, OIDFloat8, OIDTimestamp, OIDTimestamptz:
		return 8
	}
	return -1
}
