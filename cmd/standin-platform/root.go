package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/standin/platform"
)

func newRootCmd() *cobra.Command {
	var cfg platform.Config
	cmd := &cobra.Command{
		Use:          "standin-platform",
		Short:        "Run a stand-in for the platform's store and instance list",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(cfg) },
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Listen, "listen", "127.0.0.1:2379", "address of store and instance list")
	f.StringVar(&cfg.Control, "control", "", "address of the HTTP control port")
	f.DurationVar(&cfg.PublicationLag, "publication-lag", 0, "age at which a new instance list is published")
	return cmd
}

// run serves until a signal arrives.
func run(cfg platform.Config) error {
	p, err := platform.Start(cfg)
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"listen": p.Addr(), "control": p.ControlAddr()}).Info("platform: ready")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	p.Close()
	return nil
}
