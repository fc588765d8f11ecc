package sampler

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// writeReport writes slopes.md and one plot per slope.
func (s *Sampler) writeReport() error {
	if s.cfg.Out == "" {
		return nil
	}
	if err := os.MkdirAll(s.cfg.Out, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	b.WriteString("# Slopes\n\n| quantity | unit | base | rate | per | points (size:value) |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, sl := range s.slopes {
		base, rate := sl.Fit()
		fmt.Fprintf(&b, "| %s | %s | %.5g | %.5g | %s | %s |\n", sl.Name, sl.Unit, base, rate, sl.Per, sl.pointList())
		if err := sl.draw(filepath.Join(s.cfg.Out, "slope_"+sl.Name+".svg")); err != nil {
			return err
		}
	}
	b.WriteString("\n# Figures\n\n| figure | value |\n| --- | --- |\n")
	for _, f := range s.figures {
		if !strings.HasSuffix(f.name, "_points") {
			fmt.Fprintf(&b, "| %s | %s |\n", f.name, f.value)
		}
	}
	return os.WriteFile(filepath.Join(s.cfg.Out, "slopes.md"), []byte(b.String()), 0o644)
}

// draw plots the points and the line.
func (s Slope) draw(file string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Per
	p.Y.Label.Text = s.Unit
	var points plotter.XYs
	for _, pt := range s.Points {
		points = append(points, plotter.XY{X: pt.X, Y: pt.Y})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	p.Add(scatter, plotter.NewGrid())
	if len(points) > 1 {
		p.Add(plotter.NewFunction(s.At))
		p.X.Min = 0
		p.Y.Min = 0
	}
	return p.Save(plotWidth, plotHeight, file)
}
