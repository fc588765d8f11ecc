package steward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/storer"
)

const defaultSettingsFile = "/etc/marigold/ctl.toml"

// app holds what all commands share.
type app struct {
	settingsFile string
}

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRootCmd(&app{})
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(errOut, err)
	}
	return exitCode(err)
}

func newRootCmd(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:   "marigoldctl",
		Short: "Check, propose, approve and watch manifests of marigoldhub",
		Long: `Check, propose, approve and watch manifests of marigoldhub.

A change of a manifest part takes effect when both co-owners have approved it.

Exit codes: 0 done, 1 findings or refusal, 2 wrong usage, 3 store or instance
unreachable, 4 outcome unknown (run status, then repeat the command). The
command check uses 1 for warnings and 2 for errors.`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.PersistentFlags().StringVar(&a.settingsFile, "settings", defaultSettingsFile, "settings file of this tool")
	root.AddCommand(
		newCheckCmd(a), newDiffCmd(a), newProposeCmd(a), newApproveCmd(a), newWithdrawCmd(a),
		newStatusCmd(a), newHistoryCmd(a), newKeygenCmd(a), newTeamkeyCmd(a), newGenesisCmd(a), newTimelineCmd(a),
	)
	return root
}

// markCommandErrors adapts a command's function and wraps its errors in
// commandError.
func markCommandErrors(f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := f(cmd, args); err != nil {
			return commandError{err}
		}
		return nil
	}
}

// withStore runs f with the operations on proposals in the store.
func (a *app) withStore(cmd *cobra.Command, f func(ctx context.Context, p *approver.Proposals, s Settings) error) error {
	s, err := ReadSettings(a.settingsFile)
	if err != nil {
		return err
	}
	client, err := newStoreClient(s.Store)
	if err != nil {
		return err
	}
	defer client.Close()
	p, err := approver.NewProposals(approver.Config{Store: client, Genesis: s.Genesis, Operator: s.Operator})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), time.Duration(s.Timeout))
	defer cancel()
	return f(ctx, p, s)
}

func newStoreClient(s StoreSettings) (*storer.EtcdClient, error) {
	cfg, err := s.TLS.config()
	if err != nil {
		return nil, err
	}
	var local netip.Addr
	if s.LocalIP != "" {
		if local, err = netip.ParseAddr(s.LocalIP); err != nil {
			return nil, err
		}
	}
	return storer.NewEtcdClient(storer.Config{Endpoints: s.Endpoints, LocalIP: local, TLS: cfg}), nil
}

// readPart reads a manifest part from a file and returns the part's name. It
// checks nothing else.
func readPart(file string) (part string, content []byte, err error) {
	content, err = os.ReadFile(file)
	if err != nil {
		return "", nil, err
	}
	var head struct {
		Part string `toml:"part"`
	}
	// The name of a malformed part is unknown here; the checks report why.
	if err := toml.Unmarshal(content, &head); err != nil {
		return "", content, nil
	}
	return head.Part, content, nil
}

// readCheckedPart is readPart with the checks that need no other part.
func readCheckedPart(file string) (part string, content []byte, err error) {
	part, content, err = readPart(file)
	if err != nil {
		return "", nil, err
	}
	if _, findings := approver.CheckContent(file, part, content); len(findings) > 0 {
		return "", nil, findings
	}
	if part == "" {
		return "", nil, errors.New("the file does not name its part")
	}
	return part, content, nil
}
