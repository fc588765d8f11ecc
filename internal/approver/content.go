package approver

import (
	"context"
	"fmt"

	"marigoldhub.example/hub/internal/checker"
)

// CheckContent checks the content of one part, regardless of other parts. The
// file name appears in findings.
func CheckContent(file, part string, content []byte) (checker.Document, checker.Findings) {
	if part == ownersPart {
		_, findings := CheckOwners(file, content)
		return checker.Document{}, findings
	}
	d, findings := checker.CheckDocument(file, content)
	if len(findings) == 0 && d.Part != part {
		findings = checker.Findings{{File: file, Line: 1, Column: 1, Key: "part", Message: fmt.Sprintf("must be %q", part)}}
	}
	return d, findings
}

// checkContent checks the content by itself and together with the active
// content of the other parts.
func (p *Proposals) checkContent(ctx context.Context, chain *Chain, part string, content []byte) error {
	d, findings := CheckContent(part, part, content)
	if err := findings.Err(); err != nil || part == ownersPart {
		return err
	}
	others, err := p.otherDocuments(ctx, chain, part)
	if err != nil {
		return err
	}
	_, conflicts := checker.BuildCatalog(append(others, d)...)
	return conflicts.Err()
}

// ActiveDocuments returns the active content of all parts but that of the co-owners' keys.
// It leaves out parts that do not verify or do not pass the checks.
func (p *Proposals) ActiveDocuments(ctx context.Context) ([]checker.Document, error) {
	s, err := p.load(ctx, ownersPart)
	if err != nil {
		return nil, err
	}
	return p.otherDocuments(ctx, s.chain, ownersPart)
}

// otherDocuments returns the active content of the other parts. It leaves out
// parts that do not verify or do not pass the checks.
func (p *Proposals) otherDocuments(ctx context.Context, chain *Chain, part string) ([]checker.Document, error) {
	entries, _, err := p.cfg.Store.List(ctx, CurrentPrefix)
	if err != nil {
		return nil, err
	}
	var documents []checker.Document
	for _, entry := range entries {
		name := partName(entry.Key, CurrentPrefix)
		if name == part || name == ownersPart {
			continue
		}
		e, err := verifyStored(chain, name, entry.Value)
		if err != nil {
			continue
		}
		if d, findings := checker.CheckDocument(name, e.Content); len(findings) == 0 {
			documents = append(documents, d)
		}
	}
	return documents, nil
}
