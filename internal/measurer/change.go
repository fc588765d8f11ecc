package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/loader"
)

const (
	changeRounds = 3
	changeLimit  = 10 * time.Second
	changeAfter  = 300 * time.Millisecond
	changeAimMS  = 200
)

// measureChange publishes manifests that move the primaries of all groups
// while writers run.
func measureChange(ctx context.Context, in installation, sheet sheetOf) error {
	waits, took := newSample(), newSample()
	failed, changes := 0, 0
	for n := range changeRounds {
		if err := in.changeAll(ctx, sheet, n, waits, took, &failed, &changes); err != nil {
			return err
		}
	}
	sheet.add("planned_changes", float64(changes))
	sheet.add("planned_change_ms_max", took.ms(100))
	sheet.atMost("planned_change_failed_requests", float64(failed), 0)
	sheet.add("planned_change_wait_ms_p50", waits.ms(50))
	sheet.atMost("planned_change_wait_ms_max", waits.ms(100), changeAimMS)
	return nil
}

func (in installation) changeAll(ctx context.Context, sheet sheetOf, n int, waits, took *sample, failed, changes *int) error {
	manifest := in.Manifest()
	for _, group := range in.Plan.Groups {
		if err := in.settle(ctx, group, settleLimit); err != nil {
			return err
		}
		primary, _, err := in.primary(group)
		if err != nil {
			return err
		}
		manifest.Switchovers = append(manifest.Switchovers, checker.Switchover{
			ID: fmt.Sprintf("bench-%d-%s", n, group), Group: group, To: in.anyReplica(group, primary).Name,
		})
	}
	var crowds []*loader.Workload
	var histories []*loader.History
	var stops []func()
	for _, group := range in.Plan.Groups {
		history, stop := in.startWriters(ctx, group, fmt.Sprintf("change-%d", n))
		histories, stops = append(histories, history), append(stops, stop)
		crowds = append(crowds, loader.StartWorkload(ctx, loader.WorkloadConfig{
			Callers: 4, Seed: uint64(n + 1), Target: in.target(group), OpTimeout: opTimeout,
			Mix: loader.Mix{Pair: 1, RegisterRead: 1, RegisterWrite: 1, RegisterKeys: 4, Pause: 10 * time.Millisecond},
		}))
	}
	time.Sleep(2 * quietBefore)
	at := histories[0].Now()
	begin := time.Now()
	_, err := in.Publish(ctx, manifest)
	for _, s := range manifest.Switchovers {
		if err == nil {
			err = in.waitPrimary(ctx, s)
		}
		took.add(time.Since(begin))
	}
	time.Sleep(changeAfter)
	for i, group := range in.Plan.Groups {
		stops[i]()
		ops := histories[i].Operations()
		crowd := crowds[i].Stop()
		_, bad := latencies(ops, 0, time.Hour)
		_, crowdBad := latencies(crowd, 0, time.Hour)
		*failed += bad + crowdBad
		*changes++
		longest := addWaits(waits, ops, at)
		fmt.Fprintf(sheet.w, "# %s planned change of %s: longest wait %v, failed %d\n", sheet.user, group, longest.Round(time.Millisecond), bad+crowdBad)
	}
	return err
}

func (in installation) waitPrimary(ctx context.Context, s checker.Switchover) error {
	deadline := time.Now().Add(changeLimit)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if primary, _, err := in.primary(s.Group); err == nil && primary.Name == s.To {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errors.Errorf("%s did not become primary of %s within %v", s.To, s.Group, changeLimit)
}

// addWaits adds the longest write of each writer during the change, less the
// median of all writes before it, and returns the longest of these.
func addWaits(waits *sample, ops []examiner.Operation, at time.Duration) time.Duration {
	before, _ := latencies(ops, 0, at-quietBefore)
	usual := time.Duration(before.us(50)) * time.Microsecond
	longest := map[int]time.Duration{}
	for _, op := range ops {
		if op.End > at {
			longest[op.Caller] = max(longest[op.Caller], op.End-op.Start-usual)
		}
	}
	most := time.Duration(0)
	for _, d := range longest {
		waits.add(d)
		most = max(most, d)
	}
	return most
}
