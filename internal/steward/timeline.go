package steward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/recorder"
)

func newTimelineCmd(a *app) *cobra.Command {
	var group, svgFile string
	var jsonOutput bool
	cmd := &cobra.Command{
		Use:   "timeline [URL...]",
		Short: "Merge the timelines of instances",
		Long: `Merge the timelines of instances, of all in the settings by default.

Events are ordered by Lamport time, then by wall time. --svg draws the last
promotion of the group named by --group.`,
		Example: `  marigoldctl timeline
  marigoldctl timeline --group cooperative-members --svg promotion.svg
  marigoldctl timeline --json https://127.1.1.10:9443`,
		PreRunE: func(*cobra.Command, []string) error {
			if svgFile != "" && group == "" {
				return errors.New("--svg needs --group")
			}
			return nil
		},
		RunE: markCommandErrors(func(cmd *cobra.Command, urls []string) error {
			events, err := a.timeline(cmd, urls)
			if err != nil && !errors.Is(err, errInstanceUnreachable) {
				return err
			}
			return errors.Join(writeTimeline(cmd, events, group, svgFile, jsonOutput), err)
		}),
	}
	cmd.Flags().StringVar(&group, "group", "", "only events of this database group")
	cmd.Flags().StringVar(&svgFile, "svg", "", "draw the last promotion of the group into a file")
	cmd.Flags().BoolVar(&jsonOutput, "json", false, "print JSON")
	return cmd
}

// timeline returns the merged events of the instances that answered.
func (a *app) timeline(cmd *cobra.Command, urls []string) ([]recorder.Event, error) {
	s, err := ReadSettings(a.settingsFile)
	if err != nil {
		return nil, err
	}
	if len(urls) > 0 {
		s.Instances = nil
		for _, url := range urls {
			s.Instances = append(s.Instances, Instance{Name: url, URL: url})
		}
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), time.Duration(s.Timeout))
	defer cancel()
	responses, err := queryInstances[[]recorder.Event](ctx, s, "/v1/timeline")
	if err != nil {
		return nil, err
	}
	var lists [][]recorder.Event
	for _, response := range responses {
		if response.Err != nil {
			fmt.Fprintf(cmd.ErrOrStderr(), "instance %q: %v\n", response.Instance.Name, response.Err)
		}
		lists = append(lists, response.Value)
	}
	return recorder.Merge(lists...), checkReachable(responses)
}

func writeTimeline(cmd *cobra.Command, events []recorder.Event, group, svgFile string, jsonOutput bool) error {
	if svgFile != "" {
		return writePromotion(svgFile, events, group)
	}
	if group != "" {
		events = recorder.OfGroup(events, group)
	}
	if jsonOutput {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(events)
	}
	return recorder.WriteText(cmd.OutOrStdout(), events)
}

func writePromotion(file string, events []recorder.Event, group string) error {
	promotion, err := recorder.LastPromotion(events, group)
	if err != nil {
		return err
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	err = recorder.WriteSVG(f, "promotion in group "+group, promotion)
	return errors.Join(err, f.Close())
}
