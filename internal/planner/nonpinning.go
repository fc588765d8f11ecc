package planner

import (
	"strconv"
	"strings"

	"marigoldhub.example/hub/internal/classifier"
)

// IsNonPinning reports whether the proxy may answer a SET of a session setting
// itself, see [NonPinningSetting].
func IsNonPinning(st classifier.Statement) bool {
	return st.HasValue && !st.Local && NonPinningSetting(st.Setting, st.Value)
}

// NonPinningSetting reports whether a caller that sets name to value needs no
// server connection of its own: the value is the one that all server connections
// have, or the setting does not change what statements do. Server connections
// are opened with client encoding UTF8, time zone UTC and date style ISO.
func NonPinningSetting(name, value string) bool {
	v := strings.ToLower(strings.TrimSpace(value))
	switch strings.ToLower(name) {
	case "application_name":
		return true
	case "client_encoding", "names":
		return v == "utf8" || v == "utf-8" || v == "unicode"
	case "datestyle":
		return v == "iso" || v == "iso, mdy" || v == "iso,mdy"
	case "timezone":
		return v == "utc" || v == "gmt" || v == "etc/utc"
	case "standard_conforming_strings":
		return v == "on" || v == "true" || v == "1"
	case "extra_float_digits":
		// All positive values select the shortest exact output, which is the
		// default since PostgreSQL 12.
		n, err := strconv.Atoi(v)
		return err == nil && n >= 1 && n <= 3
	}
	return false
}
