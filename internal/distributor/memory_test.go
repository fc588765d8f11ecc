package distributor

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/approver"
)

// BenchmarkSetMemory reports the heap per part of an envelopeSet that holds the
// documented example part 200 times under different names.
func BenchmarkSetMemory(b *testing.B) {
	const parts = 200
	data, err := os.ReadFile("../../docs/examples/cooperative.toml")
	if err != nil {
		b.Fatal(err)
	}
	c := newCluster(b)
	owners := c.sign(approver.Envelope{Part: "owners", Revision: 1, Content: []byte(approver.FormatOwners(c.genesis))})
	for b.Loop() {
		s, err := newEnvelopeSet(c.genesis)
		if err != nil {
			b.Fatal(err)
		}
		s.apply([]encodedEnvelope{{owners.Encode(), time.Now()}}, time.Now())
		before := heap()
		size := 0
		for i := range parts {
			e := c.sign(approver.Envelope{Part: fmt.Sprintf("p%d", i), Revision: 1, OwnersRevision: 1, Content: []byte(renamed(string(data), i))})
			encoded := e.Encode()
			size += len(encoded)
			if out := s.apply([]encodedEnvelope{{encoded, time.Now()}}, time.Now()); len(out.activated) != 1 {
				b.Fatal(out)
			}
		}
		b.ReportMetric(float64(heap()-before)/parts, "heap-bytes/part")
		b.ReportMetric(float64(size)/parts, "envelope-bytes/part")
		runtime.KeepAlive(s)
	}
}

// renamed returns the example with names that do not conflict with other copies.
func renamed(text string, i int) string {
	old := strings.NewReplacer(`"cooperative"`, fmt.Sprintf(`"p%d"`, i), `"cooperative-`, fmt.Sprintf(`"p%d-`, i),
		`database = "`, fmt.Sprintf(`database = "p%d-`, i))
	text = old.Replace(text)
	for _, caller := range []string{"transcribers", "search", "office"} {
		text = strings.ReplaceAll(text, fmt.Sprintf(`name = %q`, caller), fmt.Sprintf(`name = "p%d-%s"`, i, caller))
	}
	return text
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
