package checker

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxDecodeFindings bounds the number of times that one file is decoded: each
// value of a wrong type costs one attempt.
const maxDecodeFindings = 100

// Decode parses a TOML file strictly into a value of type T.
//
// Unknown keys (compared case-sensitively), duplicate keys, values of a wrong
// type and syntax errors are findings. After a syntax error only the text
// before it is searched for further findings. The value is usable only when
// there are no findings.
func Decode[T any](file string, data []byte) (T, Findings) {
	value, r := decode[T](file, data)
	return value, r.Findings()
}

func decode[T any](file string, data []byte) (T, *Report) {
	var value T
	r := newReport(file, data)
	blanked := bytes.Clone(data)
	r.addUnknown(reflect.TypeFor[T]())
	r.addDuplicates(blanked)
	for range maxDecodeFindings {
		value = *new(T)
		err := toml.NewDecoder(bytes.NewReader(blanked)).Decode(&value)
		if err == nil {
			break
		}
		if !r.addDecodeError(err, blanked) {
			break
		}
	}
	return value, r
}

// addDecodeError adds the finding and blanks the expression that caused it, so
// that the next attempt finds the next error. It returns false when the error
// has no position from which decoding could continue.
func (r *Report) addDecodeError(err error, blanked []byte) bool {
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		r.addAtPosition(Position{1, 1}, "", strings.TrimPrefix(err.Error(), "toml: "))
		return false
	}
	line, column := de.Position()
	offset := offsetOf(blanked, line, column)
	o, ok := r.keys.occurrenceAt(line, column, offset)
	if !r.findings.hasLine(line) {
		r.addAtPosition(Position{line, column}, o.path, describeDecodeError(de))
	}
	if ok {
		return blank(blanked[o.start:o.end])
	}
	if r.keys.hasSyntaxError && offset >= r.keys.validLength {
		return blank(blanked[r.keys.validLength:])
	}
	return false
}

var wrongType = regexp.MustCompile(`^cannot decode TOML (.+) into (?:struct field \S+|a Go value) of type (\S+)$`)

// describeDecodeError returns the library's message without the names of Go
// fields.
func describeDecodeError(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	if m := wrongType.FindStringSubmatch(text); m != nil {
		return fmt.Sprintf("must be of type %s, not %s", m[2], m[1])
	}
	return text
}

// blank overwrites everything but line ends with spaces, which keeps positions
// valid. It returns false when there was nothing to overwrite.
func blank(b []byte) bool {
	changed := false
	for i, c := range b {
		if c != '\n' && c != ' ' {
			b[i] = ' '
			changed = true
		}
	}
	return changed
}

func offsetOf(data []byte, line, column int) int {
	offset := 0
	for range line - 1 {
		i := bytes.IndexByte(data[offset:], '\n')
		if i < 0 {
			return len(data)
		}
		offset += i + 1
	}
	return min(offset+column-1, len(data))
}

func (r *Report) addDuplicates(blanked []byte) {
	for _, o := range r.keys.occurrences {
		if o.firstPosition == nil {
			continue
		}
		r.addAtPosition(o.position, o.path, fmt.Sprintf("duplicate key, first set in line %d", o.firstPosition.Line))
		blank(blanked[o.start:o.end])
	}
}

// addUnknown adds one finding for each outermost unknown key.
func (r *Report) addUnknown(t reflect.Type) {
	var unknown []string
	for _, o := range r.keys.occurrences {
		inside := func(path string) bool {
			return o.path == path || strings.HasPrefix(o.path, path+".") || strings.HasPrefix(o.path, path+"[")
		}
		if acceptsKey(t, o.names) || slices.ContainsFunc(unknown, inside) {
			continue
		}
		unknown = append(unknown, o.path)
		r.addAtPosition(o.position, o.path, "unknown key")
	}
}

// acceptsKey reports whether the type has a field for the key path.
func acceptsKey(t reflect.Type, names []string) bool {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer || t.Kind() == reflect.Array {
		t = t.Elem()
	}
	if len(names) == 0 {
		return true
	}
	switch t.Kind() {
	case reflect.Struct:
		f, ok := fieldOf(t, names[0])
		return ok && acceptsKey(f, names[1:])
	case reflect.Map:
		return acceptsKey(t.Elem(), names[1:])
	default:
		// A key below a scalar is reported as a wrong type.
		return true
	}
}

func fieldOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if f.Anonymous && tag == "" && f.Type.Kind() == reflect.Struct {
			if ft, ok := fieldOf(f.Type, name); ok {
				return ft, true
			}
			continue
		}
		if f.IsExported() && tag != "-" && (tag == name || tag == "" && f.Name == name) {
			return f.Type, true
		}
	}
	return nil, false
}
