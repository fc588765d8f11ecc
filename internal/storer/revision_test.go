package storer_test

import (
	"testing"

	"marigoldhub.example/hub/internal/storer"
)

// Guards against revisions that compare wrongly across a restore of the store.
func TestRevisionsRiseAcrossEpochs(t *testing.T) {
	for _, tc := range []struct {
		name          string
		epoch, number int64
		text          string
	}{
		{"store without epochs", 0, 7, "7"},
		{"first epoch", 1, 3, "1/3"},
		{"later in it", 1, 1<<40 - 1, "1/1099511627775"},
		{"restored", 2, 1, "2/1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := storer.NewRevision(tc.epoch, tc.number)
			if storer.Epoch(r) != tc.epoch || storer.Number(r) != tc.number {
				t.Errorf("revision of epoch %d, number %d", storer.Epoch(r), storer.Number(r))
			}
			if got := storer.FormatRevision(r); got != tc.text {
				t.Errorf("text %q, want %q", got, tc.text)
			}
			if later := storer.NewRevision(tc.epoch+1, 1); later <= r {
				t.Errorf("revision %d of the next epoch is not higher than %d", later, r)
			}
		})
	}
}
