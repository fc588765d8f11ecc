package experimenter

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/deployer"
)

func newRunCmd() *cobra.Command {
	var bin, name, dir string
	var entries int
	var secure bool
	cmd := &cobra.Command{
		Use:     "run",
		Short:   "Start an installation and keep it up until SIGINT",
		Example: "  marigold-bench run --plan council\n  marigold-bench run --plan cooperative --tls",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan, err := planOf(name)
			if err != nil {
				return err
			}
			if entries > 0 {
				plan = plan.WithEntries(entries)
			}
			plan.TLS = secure
			if dir == "" {
				if dir, err = os.MkdirTemp("", "marigold-run-"); err != nil {
					return err
				}
				defer os.RemoveAll(dir)
			}
			d, err := deployer.Start(cmd.Context(), plan, bin, dir)
			if err != nil {
				return err
			}
			defer d.Close()
			describe(cmd, d)
			<-cmd.Context().Done()
			return nil
		},
	}
	addBinFlag(cmd, &bin)
	cmd.Flags().StringVar(&name, "plan", "council", "sizes of the installation: council or cooperative")
	cmd.Flags().StringVar(&dir, "dir", "", "folder for settings, keys and logs (default: a temporary folder)")
	cmd.Flags().IntVar(&entries, "entries", 0, "number of entry instances (default: that of the plan)")
	cmd.Flags().BoolVar(&secure, "tls", false, "use TLS for callers, peers and administration")
	return cmd
}

func planOf(name string) (deployer.Plan, error) {
	switch name {
	case "council":
		return deployer.Council(), nil
	case "cooperative":
		return deployer.Cooperative(), nil
	}
	return deployer.Plan{}, errors.Errorf("unknown plan %q, must be council or cooperative", name)
}

// describe prints what a person needs to work with the installation.
func describe(cmd *cobra.Command, d *deployer.Deployment) {
	w := cmd.OutOrStdout()
	say := (&demo{w: w}).say
	say("files     %s", d.Dir)
	say("callers   user %s, password %s", deployer.CallerName, deployer.CallerPassword)
	for _, g := range d.Plan.Groups {
		say("database  %s", g)
	}
	for _, s := range d.Servers {
		say("server    %s %s pid %d", s.Name, s.Address, s.PID())
	}
	for _, e := range d.Entries {
		say("entry     %s callers %s administration %s pid %d", e.Name, e.Address, e.AdminURL, e.PID())
	}
	mode := "disable"
	if d.Plan.TLS {
		mode = "verify-full&sslrootcert=" + d.CAFile()
		say("operator  certificate %s, key %s", d.OperatorFiles().CertFile, d.OperatorFiles().KeyFile)
	}
	if len(d.Entries) > 0 && len(d.Plan.Groups) > 0 {
		say("connect   PGPASSWORD=%s psql 'postgresql://%s@%s/%s?sslmode=%s'", deployer.CallerPassword,
			deployer.CallerName, d.Entries[0].Address, d.Plan.Groups[0], mode)
	}
	say("The installation runs until SIGINT.")
}
