package logstore

import "database/sql/driver"

// Value is one statement parameter. At most one field is set; none stands for
// NULL.
type Value struct {
	Int   *int64   `json:"i,omitempty"`
	Float *float64 `json:"f,omitempty"`
	Text  *string  `json:"s,omitempty"`
	// Bytes is nil for values of other types and non-nil for an empty blob.
	Bytes *[]byte `json:"b,omitempty"`
}

// NewValue converts a driver value of type nil, int64, float64, bool, string
// or []byte.
func NewValue(v driver.Value) Value {
	switch v := v.(type) {
	case int64:
		return Value{Int: &v}
	case float64:
		return Value{Float: &v}
	case bool:
		var n int64
		if v {
			n = 1
		}
		return Value{Int: &n}
	case string:
		return Value{Text: &v}
	case []byte:
		return Value{Bytes: &v}
	}
	return Value{}
}

// Driver returns the driver value.
func (v Value) Driver() driver.Value {
	switch {
	case v.Int != nil:
		return *v.Int
	case v.Float != nil:
		return *v.Float
	case v.Text != nil:
		return *v.Text
	case v.Bytes != nil:
		return *v.Bytes
	}
	return nil
}
