package logstore

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"marigoldhub.example/hub/internal/tracker"
)

const metaFile = "meta.json"

// Meta is the state next to the log that survives a restart.
type Meta struct {
	Term     uint64       `json:"term"`
	Promoter string       `json:"promoter"`
	Role     tracker.Role `json:"role"`
	// Follow is the replication address of the primary, empty when none is
	// followed.
	Follow string `json:"follow,omitempty"`
}

// LoadMeta reads the state below dir, and reports false when there is none.
func LoadMeta(dir string) (Meta, bool, error) {
	b, err := os.ReadFile(filepath.Join(dir, metaFile))
	if errors.Is(err, fs.ErrNotExist) {
		return Meta{}, false, nil
	}
	if err != nil {
		return Meta{}, false, err
	}
	var m Meta
	if err := json.Unmarshal(b, &m); err != nil {
		return Meta{}, false, err
	}
	return m, true, nil
}

// Save replaces the state below dir.
func (m Meta) Save(dir string) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, metaFile)
	if err := os.WriteFile(path+".new", b, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
