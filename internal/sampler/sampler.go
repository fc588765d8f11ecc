package sampler

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
)

// Limit bounds a run of all measurements.
const Limit = 235 * time.Second

// settleTime lets members, duties and grants settle after a start.
const settleTime = 3 * time.Second

// Lengths of windows without work. The first is a multiple of the two seconds
// between a watcher's polls of the store, so that calls are not counted unevenly.
const (
	idleTime      = 6 * time.Second
	shortIdleTime = 4 * time.Second
)

// Config describes a run.
type Config struct {
	// Bin is the folder of the programs, Dir a scratch folder.
	Bin, Dir string
	// Out is the folder of the report.
	Out string
	// W receives one line per figure.
	W io.Writer
	// Only names the measurements to run; empty means all.
	Only []string
}

// Sampler runs measurements and collects their figures.
type Sampler struct {
	cfg     Config
	started atomic.Int64

	mu      sync.Mutex
	figures []figure
	slopes  []Slope
}

type figure struct {
	name, value string
}

// measurement is one part of a run.
type measurement struct {
	name string
	run  func(context.Context) error
}

// Run runs the measurements, prints every figure and writes the report. A
// failed measurement does not stop the others.
func Run(ctx context.Context, cfg Config) error {
	s := &Sampler{cfg: cfg}
	ctx, cancel := context.WithTimeout(ctx, Limit)
	defer cancel()
	var failed []error
	for _, phase := range s.phases() {
		failed = append(failed, s.runPhase(ctx, phase))
	}
	s.printTarget()
	return errors.Join(append(failed, s.writeReport())...)
}

// runPhase runs measurements at the same time.
func (s *Sampler) runPhase(ctx context.Context, phase []measurement) error {
	failed := make([]error, len(phase))
	var tasks sync.WaitGroup
	for i, m := range phase {
		if !s.isSelected(m.name) {
			continue
		}
		tasks.Go(func() {
			begin := time.Now()
			if err := m.run(ctx); err != nil {
				failed[i] = errors.Wrap(err, m.name)
				s.text("failed_"+m.name, err.Error())
			}
			s.number("seconds_of_"+m.name, time.Since(begin).Seconds())
		})
	}
	tasks.Wait()
	return errors.Join(failed...)
}

func (s *Sampler) isSelected(name string) bool {
	for _, only := range s.cfg.Only {
		if only == name {
			return true
		}
	}
	return len(s.cfg.Only) == 0
}

func (s *Sampler) text(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures = append(s.figures, figure{name, value})
	fmt.Fprintf(s.cfg.W, "%s=%s\n", name, value)
}

func (s *Sampler) number(name string, v float64) { s.text(name, fmt.Sprintf("%.5g", v)) }

// slope prints the line and its points.
func (s *Sampler) slope(sl Slope) {
	s.mu.Lock()
	s.slopes = append(s.slopes, sl)
	s.mu.Unlock()
	base, rate := sl.Fit()
	s.number(sl.Name+"_per_"+sl.Per, rate)
	s.number(sl.Name+"_base", base)
	s.text(sl.Name+"_points", sl.pointList())
}

// start runs an installation and waits until it has settled.
func (s *Sampler) start(ctx context.Context, plan deployer.Plan) (*deployer.Deployment, error) {
	dir := filepath.Join(s.cfg.Dir, fmt.Sprint(s.started.Add(1)))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	d, err := deployer.Start(ctx, plan, s.cfg.Bin, dir)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// withDeployment runs body on an installation of its own.
func (s *Sampler) withDeployment(ctx context.Context, plan deployer.Plan, body func(*deployer.Deployment) error) error {
	d, err := s.start(ctx, plan)
	if err != nil {
		return err
	}
	defer d.Close()
	return body(d)
}
