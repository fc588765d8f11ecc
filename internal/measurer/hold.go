package measurer

import (
	"context"
	"fmt"
)

const holdStatements = 60

// measureHold compares autocommit writes through an instance of each zone with
// the same writes on a direct connection from that instance's IP number, so
// that both pass the same link to the primary. Callers connect to the
// instance without the delay of clients.
func measureHold(ctx context.Context, in installation, sheet sheetOf) error {
	group := in.Plan.Groups[0]
	primary, _, err := in.primary(group)
	if err != nil {
		return err
	}
	all := newSample()
	var directP50, throughP50 float64
	zones := min(len(in.Plan.Zones), len(in.Entries))
	for _, entry := range in.Entries[:zones] {
		through, err := connect(ctx, entry.DirectAddress, group, "")
		if err != nil {
			return err
		}
		direct, err := connect(ctx, primary.Address, group, entry.IP)
		if err != nil {
			return err
		}
		d, t, added, err := pairUp(ctx, direct, through, `INSERT INTO submission (key) VALUES ('hold')`, holdStatements, 0)
		_ = through.Close(ctx)
		_ = direct.Close(ctx)
		if err != nil {
			return err
		}
		all.h.Merge(added.h)
		directP50 += d.ms(50) / float64(zones)
		throughP50 += t.ms(50) / float64(zones)
		fmt.Fprintf(sheet.w, "# %s hold through %s: direct p50 %.2f ms, through p50 %.2f ms\n", sheet.user, entry.Name, d.ms(50), t.ms(50))
	}
	sheet.add("ack_direct_ms_p50", directP50)
	sheet.add("ack_through_ms_p50", throughP50)
	sheet.add("ack_hold_ms_p50", all.ms(50))
	sheet.add("ack_hold_ms_p99", all.ms(99))
	return nil
}
