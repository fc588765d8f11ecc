package pgvalue

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"time"
)

// Encode converts a column value to the wire form of the given type. The
// result is nil for NULL.
func Encode(v driver.Value, oid uint32, asBinary bool) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if asBinary {
		return encodeBinary(v, oid)
	}
	return []byte(Text(v, oid)), nil
}

// Text returns the text form of a column value that is not NULL.
func Text(v driver.Value, oid uint32) string {
	switch v := v.(type) {
	case int64:
		if oid == OIDBool {
			return boolText(v != 0)
		}
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case string:
		return v
	case []byte:
		return `\x` + hex.EncodeToString(v)
	case bool:
		return boolText(v)
	case time.Time:
		return v.UTC().Format(timeLayout)
	}
	return fmt.Sprint(v)
}

func boolText(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

func encodeBinary(v driver.Value, oid uint32) ([]byte, error) {
	switch oid {
	case OIDBool:
		n, err := asInt(v)
		if err != nil {
			return nil, err
		}
		if n != 0 {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case OIDInt2, OIDInt4, OIDInt8:
		return encodeInt(v, oid)
	case OIDFloat4, OIDFloat8:
		return encodeFloat(v, oid)
	case OIDBytea:
		if b, ok := v.([]byte); ok {
			return b, nil
		}
	case OIDTimestamp, OIDTimestamptz:
		return encodeTime(v)
	}
	if b, ok := v.([]byte); ok {
		return b, nil
	}
	return []byte(Text(v, oid)), nil
}

func encodeInt(v driver.Value, oid uint32) ([]byte, error) {
	n, err := asInt(v)
	if err != nil {
		return nil, err
	}
	switch oid {
	case OIDInt2:
		return binary.BigEndian.AppendUint16(nil, uint16(n)), nil
	case OIDInt4:
		return binary.BigEndian.AppendUint32(nil, uint32(n)), nil
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
}

func encodeFloat(v driver.Value, oid uint32) ([]byte, error) {
	f, ok := v.(float64)
	if !ok {
		var err error
		if f, err = strconv.ParseFloat(Text(v, 0), 64); err != nil {
			return nil, err
		}
	}
	if oid == OIDFloat4 {
		return binary.BigEndian.AppendUint32(nil, math.Float32bits(float32(f))), nil
	}
	return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
}

func encodeTime(v driver.Value) ([]byte, error) {
	t, ok := v.(time.Time)
	if !ok {
		var err error
		if t, err = parseTime(Text(v, 0)); err != nil {
			return nil, err
		}
	}
	micros := t.UnixMicro() - epoch.UnixMicro()
	return binary.BigEndian.AppendUint64(nil, uint64(micros)), nil
}

func parseTime(s string) (time.Time, error) {
	layouts := []string{timeLayout, "2006-01-02 15:04:05.999999", time.RFC3339Nano, "2006-01-02"}
	for _, layout := range layouts {
		if t, err := time.Parse(layout, s); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("%q is not a timestamp", s)
}

func asInt(v driver.Value) (int64, error) {
	switch v := v.(type) {
	case int64:
		return v, nil
	case float64:
		return int64(v), nil
	case bool:
		if v {
			return 1, nil
		}
		return 0, nil
	}
	return strconv.ParseInt(Text(v, 0), 10, 64)
}
