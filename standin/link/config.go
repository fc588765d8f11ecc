package link

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
)

// Config configures a relay.
type Config struct {
	// Control is the address of the HTTP control port; there is none if it is
	// empty.
	Control string `json:"control,omitempty" toml:"control"`
	// Links are the addresses to relay.
	Links []Link `json:"link" toml:"link"`
	// Rules are in force from the start; [Relay.ClearRules] keeps them.
	Rules []Rule `json:"rule,omitempty" toml:"rule"`
	// Log is the logger, the standard logger if it is nil.
	Log *logrus.Logger `json:"-" toml:"-"`
}

// Link is one relayed address.
type Link struct {
	Name string `json:"name" toml:"name"`
	// Listen is the address that senders connect to.
	Listen string `json:"listen" toml:"listen"`
	// Target is the address that the link leads to.
	Target string `json:"target" toml:"target"`
	// Delay is the one-way delay in each direction.
	Delay Duration `json:"delay,omitempty" toml:"delay"`
}

// Load reads a configuration file in JSON, if its name ends in .json, or TOML.
func Load(path string) (Config, error) {
	var cfg Config
	b, err := os.ReadFile(path)
	if err != nil {
		return cfg, err
	}
	if strings.HasSuffix(path, ".json") {
		dec := json.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		err = dec.Decode(&cfg)
	} else {
		dec := toml.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		err = dec.Decode(&cfg)
	}
	if err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}
