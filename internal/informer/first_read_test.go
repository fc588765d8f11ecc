package informer_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// Guards against an instance whose first read fails and that does not read again soon.
func TestFailedFirstReadIsRepeated(t *testing.T) {
	f := start(t, func(c *informer.Config) {
		c.Store.(*storertest.Memory).SetDown(true)
		c.IsReader = func() bool { return false }
		c.StaleInterval = time.Hour
		c.RetryPause = func() time.Duration { return 5 * time.Millisecond }
	})
	eventually(t, "a read has failed", func() bool { return f.store.Calls("get") > 0 })
	f.store.Put("config/now", encode(t, informer.Configuration{Version: 1}))
	f.store.SetDown(false)
	eventually(t, "version 1 is in force", func() bool { return f.version() == 1 })
}
