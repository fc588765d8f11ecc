// Package informertest has the records that tests put into a store for an
// [informer.Informer].
package informertest

import (
	"encoding/json"
	"errors"
	"strings"

	"marigoldhub.example/hub/internal/informer"
)

// Keys of the records.
const (
	ConfigurationKey = "config/now"
	ServerPrefix     = "backend/"
)

// Schema reads configurations and servers that are encoded as JSON of the
// informer's own types.
func Schema() informer.Schema {
	return informer.Schema{
		ConfigurationKey: ConfigurationKey, ConfigurationPrefix: "config/", ServerPrefix: ServerPrefix,
		DecodeConfiguration: func(b []byte) (*informer.Configuration, error) {
			c := &informer.Configuration{}
			return c, json.Unmarshal(b, c)
		},
		DecodeServer: decodeServer,
	}
}

func decodeServer(key string, value []byte) (informer.Server, error) {
	var s informer.Server
	err := json.Unmarshal(value, &s)
	s.ID = strings.TrimPrefix(key, ServerPrefix)
	if err == nil && s.Service == "" {
		err = errors.New("service is missing")
	}
	return s, err
}
