package measurer

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"marigoldhub.example/hub/internal/deployer"
)

// writeReport writes report.md and its plots to a folder.
func writeReport(dir string, sheet *Sheet, rounds map[string][]round, users []deployer.Plan) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	b.WriteString("# Measurements\n\n| figure | value | aim |\n| --- | ---: | ---: |\n")
	for _, f := range sheet.Figures() {
		aim := ""
		if f.HasAim {
			aim = formatValue(f.Aim)
		}
		if f.Missed() {
			aim += " (missed)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s |\n", f.Key, formatValue(f.Value), aim)
	}
	for _, u := range users {
		files, err := plotUser(dir, sheet, u.Customer, rounds[u.Customer])
		if err != nil {
			return err
		}
		for _, file := range files {
			fmt.Fprintf(&b, "\n![%s](%s)\n", strings.TrimSuffix(file, ".svg"), file)
		}
	}
	return os.WriteFile(filepath.Join(dir, "report.md"), []byte(b.String()), 0o644)
}

func plotUser(dir string, sheet *Sheet, user string, rounds []round) ([]string, error) {
	var files []string
	save := func(name string, p *plot.Plot) error {
		file := user + "_" + name + ".svg"
		files = append(files, file)
		return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, file))
	}
	if !math.IsNaN(sheet.Value(user + "_replica_read_share_50ms")) {
		p, err := sharePlot(sheet, user)
		if err != nil {
			return nil, err
		}
		if err := save("replica_read_share", p); err != nil {
			return nil, err
		}
	}
	if len(rounds) > 0 {
		p, err := failoverPlot(user, rounds)
		if err != nil {
			return nil, err
		}
		if err := save("failover_gap", p); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// sharePlot draws the share of reads on replicas for each lag and routing.
func sharePlot(sheet *Sheet, user string) (*plot.Plot, error) {
	const width = 0.5 // centimetres
	p := plot.New()
	p.Title.Text = user + ": share of reads served by replicas"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	names := make([]string, len(lagCases))
	for i, routing := range []string{"", "_all_primary", "_ignore_session"} {
		values := make(plotter.Values, len(lagCases))
		for j, c := range lagCases {
			names[j] = c.name
			if v := sheet.Value(user + "_replica_read_share_" + c.name + routing); !math.IsNaN(v) {
				values[j] = v
			}
		}
		bars, err := plotter.NewBarChart(values, width*vg.Centimeter)
		if err != nil {
			return nil, err
		}
		bars.Offset = vg.Length(i-1) * width * vg.Centimeter
		bars.Color = plotutil.Color(i)
		p.Add(bars)
		p.Legend.Add(cmp.Or(strings.TrimPrefix(routing, "_"), "session"), bars)
	}
	p.NominalX(names...)
	return p, nil
}

// failoverPlot draws the distribution of each writer's gaps.
func failoverPlot(user string, rounds []round) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = user + ": time without a good write of each writer"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	var names []string
	for _, c := range []struct {
		name    string
		storeUp bool
	}{{"kill", true}, {"kill", false}, {"cut", true}, {"cut", false}} {
		var values plotter.Values
		for _, r := range rounds {
			if r.fault != c.name || r.storeUp != c.storeUp {
				continue
			}
			for _, gap := range r.callerGaps {
				values = append(values, float64(gap.Microseconds())/1e3)
			}
		}
		if len(values) == 0 {
			continue
		}
		box, err := plotter.NewBoxPlot(vg.Centimeter, float64(len(names)), values)
		if err != nil {
			return nil, err
		}
		p.Add(box)
		label := c.name + ", store down"
		if c.storeUp {
			label = c.name + ", store up"
		}
		names = append(names, label)
	}
	p.NominalX(names...)
	return p, nil
}
