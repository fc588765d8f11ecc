package rewriter

import (
	"fmt"
	"slices"
	"strings"
)

// maxStartupSettings is the largest number of settings in one startup message.
const maxStartupSettings = 16

// ValidStartupSetting reports whether a startup parameter can be applied to a
// server connection as a session setting.
func ValidStartupSetting(name, value string) bool {
	if name == "" || name == "options" || name == "replication" || strings.HasPrefix(name, "marigold.") {
		return false
	}
	for _, c := range name {
		if !(c == '_' || c == '.' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9') {
			return false
		}
	}
	return !strings.ContainsAny(value, "\\\x00")
}

// StartupStatements returns the statements that apply the settings of a
// startup message, in a fixed order.
func StartupStatements(settings map[string]string) ([]string, error) {
	if len(settings) > maxStartupSettings {
		return nil, fmt.Errorf("more than %d settings in startup message", maxStartupSettings)
	}
	list := make([]string, 0, len(settings))
	for name, value := range settings {
		list = append(list, "SELECT set_config("+quoteLiteral(name)+", "+quoteLiteral(value)+", false)")
	}
	slices.Sort(list)
	return list, nil
}
