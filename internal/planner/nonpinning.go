package planner

import (
	"strconv"
	"strings"

	"marigoldhub.example/hub/internal/classifier"
)

// IsNonPinning reports whether a session setting may be answered by the proxy:
// its value is the one that server connections have anyway, or it does not
// change what statements do.
func IsNonPinning(st classifier.Statement) bool {
	return st.HasValue && !st.Local && NonPinningSetting(st.Setting, st.Value)
}

// NonPinningSetting reports whether a setting of a caller needs no server
// connection of its own. Server connections are opened with client encoding
// UTF8, time zone UTC and date style ISO.
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
		// Every positive value selects the shortest exact output, which is the
		// default since PostgreSQL 12.
		n, err := strconv.Atoi(v)
		return err == nil && n >= 1 && n <= 3
	}
	return false
}
