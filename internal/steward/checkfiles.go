package steward

import (
	"fmt"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
)

// checkFiles checks each file and then all of them together for name conflicts.
func checkFiles(cmd *cobra.Command, files []string) error {
	var all checker.Findings
	var documents []checker.Document
	var parts []string
	for _, file := range files {
		part, content, err := readPart(file)
		if err != nil {
			return err
		}
		d, findings := approver.CheckContent(file, part, content)
		all = all.Merge(findings)
		if len(findings) == 0 && part != checker.OwnersPart {
			documents = append(documents, d)
		}
		parts = append(parts, part)
	}
	_, conflicts := checker.BuildCatalog(documents...)
	if err := all.Merge(conflicts).Err(); err != nil {
		return err
	}
	for i, part := range parts {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: part %q: ok\n", files[i], part)
	}
	return nil
}
