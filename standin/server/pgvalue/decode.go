package pgvalue

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// timeLayout is the text form of a timestamptz in time zone UTC.
const timeLayout = "2006-01-02 15:04:05.999999-07"

// epoch is the zero of binary timestamps.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Decode converts a parameter of the Bind message. A nil b is NULL.
func Decode(b []byte, oid uint32, isBinary bool) (driver.Value, error) {
	if b == nil {
		return nil, nil
	}
	if isBinary {
		return decodeBinary(b, oid)
	}
	return decodeText(string(b), oid)
}

func decodeText(s string, oid uint32) (driver.Value, error) {
	switch oid {
	case OIDInt2, OIDInt4, OIDInt8:
		return strconv.ParseInt(strings.TrimSpace(s), 10, 64)
	case OIDFloat4, OIDFloat8:
		return strconv.ParseFloat(strings.TrimSpace(s), 64)
	case OIDBool:
		return decodeBool(s)
	case OIDBytea:
		if h, ok := strings.CutPrefix(s, `\x`); ok {
			return hex.DecodeString(h)
		}
		return []byte(s), nil
	}
	if !utf8.ValidString(s) {
		return nil, fmt.Errorf("text is not valid UTF-8")
	}
	return s, nil
}

func decodeBool(s string) (driver.Value, error) {
	switch strings.ToLower(strings.TrimSpace(s)) {
	case "t", "true", "1", "on", "yes", "y":
		return int64(1), nil
	case "f", "false", "0", "off", "no", "n":
		return int64(0), nil
	}
	return nil, fmt.Errorf("%q is not a boolean", s)
}

func decodeBinary(b []byte, oid uint32) (driver.Value, error) {
	if n := Size(oid); n > 0 && len(b) != int(n) {
		return nil, fmt.Errorf("binary value of type %d has %d bytes", oid, len(b))
	}
	switch oid {
	case OIDBool:
		return int64(b[0]), nil
	case OIDInt2:
		return int64(int16(binary.BigEndian.Uint16(b))), nil
	case OIDInt4:
		return int64(int32(binary.BigEndian.Uint32(b))), nil
	case OIDInt8:
		return int64(binary.BigEndian.Uint64(b)), nil
	case OIDFloat4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(b))), nil
	case OIDFloat8:
		return math.Float64frombits(binary.BigEndian.Uint64(b)), nil
	case OIDBytea:
		return append([]byte{}, b...), nil
	case OIDTimestamp, OIDTimestamptz:
		micros := int64(binary.BigEndian.Uint64(b))
		return time.UnixMicro(epoch.UnixMicro() + micros).UTC().Format(timeLayout), nil
	}
	return decodeText(string(b), OIDText)
}
