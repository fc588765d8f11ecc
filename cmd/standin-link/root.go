package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/standin/link"
)

func newRootCmd() *cobra.Command {
	var path, control string
	cmd := &cobra.Command{
		Use:          "standin-link",
		Short:        "Run a TCP relay with delay, cuts, freezes and resets",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := link.Load(path)
			if err != nil {
				return err
			}
			if control != "" {
				cfg.Control = control
			}
			return run(cfg)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "config", "", "file of links, TOML or .json")
	f.StringVar(&control, "control", "", "address of the HTTP control port; replaces the one in the file")
	cmd.MarkFlagRequired("config")
	return cmd
}

// run relays until a signal arrives.
func run(cfg link.Config) error {
	r, err := link.Start(cfg)
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"links": len(cfg.Links), "control": r.ControlAddr()}).Info("link: ready")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	r.Close()
	return nil
}
