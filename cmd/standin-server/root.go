package main

import (
	"crypto/tls"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/standin/server"
)

func newRootCmd() *cobra.Command {
	var cfg server.Config
	var cert, key, level string
	cmd := &cobra.Command{
		Use:          "standin-server",
		Short:        "Run a backend database server stand-in",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			l, err := logrus.ParseLevel(level)
			if err != nil {
				return err
			}
			logrus.SetLevel(l)
			if cert != "" {
				pair, err := tls.LoadX509KeyPair(cert, key)
				if err != nil {
					return err
				}
				cfg.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
			}
			return run(cfg)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Name, "name", "server", "server name in the manifest")
	f.StringVar(&cfg.Listen, "listen", "127.0.0.1:5432", "address for clients")
	f.StringVar(&cfg.ReplicationListen, "replication-listen", "127.0.0.1:6432", "address for followers")
	f.StringVar(&cfg.Control, "control", "", "address of the HTTP control port")
	f.StringVar(&cfg.Dir, "dir", "", "directory of log, state and rows")
	f.IntVar(&cfg.ConnectionLimit, "connection-limit", 0, "highest number of connections, 0 for no limit")
	f.DurationVar(&cfg.OpenDelay, "open-delay", 0, "time added to opening a connection")
	f.DurationVar(&cfg.ApplyDelay, "apply-delay", 0, "age at which a replica applies a record")
	f.BoolVar(&cfg.InitialPrimary, "initial-primary", false, "with an empty directory, begin as primary of term 1")
	f.StringVar(&cfg.Follow, "follow", "", "with an empty directory, replication address of the primary to follow")
	f.StringToStringVar(&cfg.Peers, "peer", nil, "replication address of a server, as name=host:port")
	f.StringVar(&cfg.LocalIP, "local-ip", "", "source IP number of outgoing connections")
	f.StringVar(&cfg.Password, "password", "", "password required of every user (SCRAM-SHA-256)")
	f.StringVar(&cert, "tls-cert", "", "certificate file; accepts TLS")
	f.StringVar(&key, "tls-key", "", "key file of the certificate")
	f.StringVar(&level, "log-level", "info", "log level")
	cmd.MarkFlagRequired("dir")
	return cmd
}

// run serves until a signal arrives.
func run(cfg server.Config) error {
	s, err := server.Start(cfg)
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{
		"listen": s.Addr(), "replication_listen": s.ReplicationAddr(), "control": s.ControlAddr(),
	}).Info("server: ready")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	s.Close()
	return nil
}
