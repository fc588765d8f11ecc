// Package informertest provides a simple [informer.Schema] for tests that put
// records into a store for an [informer.Informer].
package informertest

import (
	"encoding/json"
	"errors"
	"strings"

	"marigoldhub.example/hub/internal/informer"
)

// Keys of the records that Schema decodes.
const (
	ConfigurationKey = "config/now"
	ServerPrefix     = "backend/"
)

// Schema returns a schema whose configurations and servers are the informer's own
// types in JSON.
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
