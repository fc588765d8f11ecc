package noder

import (
	"fmt"
	"strings"

	"marigoldhub.example/hub/internal/auditor"
)

// configReport is what check-config prints about a configuration.
type configReport struct {
	File string `json:"file"`
	// Version, Routes, Services and Teams are 0 if the configuration cannot be decoded.
	Version  int64 `json:"version"`
	Routes   int   `json:"routes"`
	Services int   `json:"services"`
	Teams    int   `json:"teams"`
	// InForce is the version that the changes are counted from; 0 without a comparison.
	InForce  int64             `json:"in_force,omitempty"`
	Findings []auditor.Finding `json:"findings"`
	Changes  []auditor.Change  `json:"changes,omitempty"`
}

// text returns the report for a terminal, one finding or change a line.
func (r *configReport) text() string {
	var b strings.Builder
	for _, f := range r.Findings {
		if f.Line > 0 {
			fmt.Fprintf(&b, "%s:%d: %s\n", r.File, f.Line, f)
		} else {
			fmt.Fprintf(&b, "%s: %s\n", r.File, f)
		}
	}
	if r.InForce > 0 {
		fmt.Fprintf(&b, "version %d -> %d\n", r.InForce, r.Version)
		for _, c := range r.Changes {
			fmt.Fprintf(&b, "  %s\n", c)
		}
		if len(r.Changes) == 0 {
			b.WriteString("  no difference\n")
		}
	}
	if !auditor.HasErrors(r.Findings) {
		fmt.Fprintf(&b, "version %d: %d routes, %d services, %d teams, no errors\n", r.Version, r.Routes, r.Services, r.Teams)
	}
	return b.String()
}
