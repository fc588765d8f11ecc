package launcher

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

func newRunCmd() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Serve callers until SIGTERM",
		Long: "run serves callers until SIGTERM or SIGINT, which begin a graceful shutdown. A second\n" +
			"signal shortens the wait for open transactions to one second; commits in flight are still resolved.",
		Example: "  marigold-entry run --settings entry.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := LoadSettings(file)
			if err != nil {
				return err
			}
			return run(cmd.Context(), settings)
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

func run(_ context.Context, settings Settings) error {
	log, err := newLogger(settings.Log)
	if err != nil {
		return runtimeError{err}
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	debug.SetMemoryLimit(int64(float64(settings.memoryBytes()) * memoryLimitShare))
	instance, err := NewInstance(settings, log)
	if err != nil {
		return runtimeError{err}
	}
	select {
	case <-signals:
		log.Info("launcher: graceful shutdown begins")
	case <-instance.Failed():
		log.Error("launcher: a listener ended, the instance stops")
	}
	expedite := make(chan struct{})
	go func() {
		<-signals
		log.Warn("launcher: second signal, shutdown is shortened")
		close(expedite)
	}()
	instance.Shutdown(expedite)
	log.Info("launcher: instance stopped")
	return nil
}
