package dispatcher_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Guards against refused begins that are logged as the begin, which was answered long before,
// instead of the statement whose caller waits.
func TestRefusedBeginIsLoggedAsItsStatement(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	hook := logtest.NewLocal(log)
	f := newFixtureWith(t, func(cfg *dispatcher.Config) { cfg.Log = log })
	if a := f.d.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	for _, srv := range f.Servers() {
		f.SetBusy(srv.ID, true)
	}
	begin := request("begin", exchanger.BeginReadOnly, informer.BoundedReads)
	begin.Received = begin.Received.Add(-time.Minute)
	tx := f.d.Begin(begin)
	defer tx.Abandon()
	if a := tx.Run(request("r", exchanger.Read, informer.BoundedReads)); a.Code != exchanger.Busy {
		t.Fatalf("%v %q, want busy", a.Code, a.Text)
	}
	for _, e := range hook.AllEntries() {
		if e.Message != "dispatcher: request is refused" {
			continue
		}
		waited, err := time.ParseDuration(e.Data["waited"].(string))
		if e.Data["request"] != "r" || err != nil || waited > 30*time.Second {
			t.Errorf("logged %v", e.Data)
		}
		return
	}
	t.Error("no refusal is logged")
}
