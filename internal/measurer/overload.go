package measurer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/loader"
)

const (
	floodCallers   = 200
	floodLength    = 3 * time.Second
	floodAttach    = 1500 * time.Millisecond
	quietLength    = time.Second
	floodLag       = time.Minute
	floodOpTimeout = 10 * time.Second
)

// measureOverload lets many more callers browse than a primary has
// connections, while others submit. Replicas are far behind, so that browsing
// falls on the primary.
func measureOverload(ctx context.Context, in installation, sheet sheetOf) error {
	group := in.Plan.Groups[0]
	if err := in.clear(ctx); err != nil {
		return err
	}
	history, stop := in.startWriters(ctx, group, "flood")
	time.Sleep(quietLength)
	quietUntil := history.Now()
	if err := in.setLag(floodLag); err != nil {
		return err
	}
	crowd := loader.StartWorkload(ctx, loader.WorkloadConfig{
		Callers: floodCallers, Seed: 3, Target: in.target(group), OpTimeout: floodOpTimeout,
		Mix: loader.Mix{CatalogueRead: 1, MaxAge: in.Plan.MaxAge, Pause: time.Millisecond},
	})
	time.Sleep(floodAttach)
	floodFrom := history.Now()
	time.Sleep(floodLength)
	floodUntil := history.Now()
	browsed := crowd.Stop()
	stop()
	if err := in.setLag(in.Plan.ApplyDelay); err != nil {
		return err
	}
	printOutcomes(sheet.w, in.Plan.Customer+" flood browsing", browsed)
	quiet, _ := latencies(history.Operations(), 0, quietUntil)
	flood, refused := latencies(history.Operations(), floodFrom, floodUntil)
	sheet.add("submission_ms_p99_quiet", quiet.ms(99))
	sheet.add("submission_ms_p50_under_browse_flood", flood.ms(50))
	sheet.add("submission_ms_p99_under_browse_flood", flood.ms(99))
	sheet.add("submissions_under_browse_flood", flood.count())
	sheet.add("submissions_refused_under_browse_flood", float64(refused))
	browse, browseRefused := latencies(browsed, 0, time.Hour)
	sheet.add("browse_reads_under_flood", browse.count())
	sheet.add("browse_reads_refused_under_flood", float64(browseRefused))
	return in.reportConnections(sheet)
}

// latencies returns the times of good operations that began in a time span,
// and the number of others.
func latencies(history []examiner.Operation, from, until time.Duration) (good *sample, others int) {
	good = newSample()
	for _, op := range history {
		switch {
		case op.Start < from || op.Start >= until:
		case op.Outcome == examiner.Done:
			good.add(op.End - op.Start)
		default:
			others++
		}
	}
	return good, others
}

// reportConnections compares the peak of each server since its start with the
// limit. The server stand-in refuses a connection above the limit, so the
// refusals that instances met are printed too.
func (in installation) reportConnections(sheet sheetOf) error {
	limit := float64(in.Plan.ConnectionLimit)
	for _, s := range in.Servers {
		state, err := s.State()
		if err != nil {
			return err
		}
		sheet.promise("connections_peak_"+strings.ReplaceAll(s.Name, "-", "_"), float64(state.Peak), limit)
	}
	refusals := 0.0
	for _, e := range in.Entries {
		m, err := e.Metrics()
		if err != nil {
			return err
		}
		for name, values := range m {
			if strings.HasPrefix(name, "pooler.") && strings.HasSuffix(name, ".refusals") {
				refusals += values["value"]
			}
		}
	}
	sheet.add("connections_refused_by_servers", refusals)
	fmt.Fprintf(sheet.w, "# %s connection limit of each server: %d\n", sheet.user, in.Plan.ConnectionLimit)
	return nil
}
