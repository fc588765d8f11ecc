package noder

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/platform"
)

// storeReadTimeout limits the reads of check-config from the store.
const storeReadTimeout = 10 * time.Second

// inForce is what a new configuration is compared with.
type inForce struct {
	// configuration is nil if there is none to compare with.
	configuration *informer.Configuration
	// servers are the usable backend servers that the store lists; hasServers is set if
	// they were read.
	servers    []informer.Server
	hasServers bool
}

// readInForce reads what is in force from the file or the store that the options name.
func readInForce(ctx context.Context, opts checkOptions) (now inForce, err error) {
	source := opts.inForce
	switch {
	case opts.store != "":
		source = "store " + opts.store
		now, err = readStore(ctx, opts.store)
	case opts.inForce != "":
		now.configuration, err = readConfiguration(opts.inForce)
	}
	if err != nil {
		return inForce{}, errors.Wrap(err, source)
	}
	return now, nil
}

func readConfiguration(file string) (*informer.Configuration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return platform.Schema().DecodeConfiguration(data)
}

// readStore reads the configuration and the list of servers from the store. Entries that
// name no usable server are passed over, as instances do.
func readStore(ctx context.Context, address string) (inForce, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, schema := platform.NewStore(address, metrics.NewRegistry(), log), platform.Schema()
	var now inForce
	e, ok, err := store.Get(ctx, schema.ConfigurationKey)
	if err != nil {
		return now, err
	}
	if ok {
		if now.configuration, err = schema.DecodeConfiguration(e.Value); err != nil {
			return now, errors.Wrap(err, schema.ConfigurationKey)
		}
	}
	entries, _, err := store.List(ctx, schema.ServerPrefix)
	if err != nil {
		return now, err
	}
	now.hasServers = true
	for _, e := range entries {
		if srv, err := schema.DecodeServer(e.Key, e.Value); err == nil {
			now.servers = append(now.servers, srv)
		}
	}
	return now, nil
}
