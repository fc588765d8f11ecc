package planner

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
)

// Guards against treating a batch that may commit as one that cannot, and
// against keeping reads from replicas.
func TestPlan(t *testing.T) {
	cases := []struct {
		text string
		inTx bool
		// want lists the flags that are set, in this order: c may commit,
		// i implicit write, e explicit transaction, b leaves transaction open,
		// r returns data, R read-only, p pins, l answered by the proxy, m mixed,
		// X refused.
		want string
	}{
		{"select a from t", false, "rR"},
		{"select a from t", true, "e"},
		{"insert into t values (1)", false, "cir"},
		{"insert into t values (1)", true, "e"},
		{"begin", false, "eb"},
		{"begin; insert into t values (1)", false, "eb"},
		{"begin; insert into t values (1); commit", false, "ce"},
		{"commit", true, "ce"},
		{"rollback", true, "e"},
		{"commit; insert into t values (1)", true, "cier"},
		{"commit; begin", true, "ceX"},
		{"copy t from stdin", false, "X"},
		{"set search_path = x", false, "cirp"},
		{"set client_encoding = 'UTF8'", false, "cirl"},
		{"set client_encoding = 'UTF8'; select a from t", false, "cir"},
		{"set marigold.request_key = 'k'", false, "l"},
		{"set marigold.request_key = 'k'; select a from t", false, "rm"},
		{"selec 1", false, "cir"},
		{"selec 1", true, "cer"},
	}
	none := func(string) (*classifier.Result, bool) { return nil, false }
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			p := Make(Input{
				Query: &pgproto3.Query{String: c.text}, InTransaction: c.inTx, Classifier: classifier.New(classifier.Config{}),
				Statement: none, Portal: none,
			})
			local, mixed := p.AnsweredByProxy()
			got := ""
			for _, m := range []struct {
				set  bool
				mark string
			}{
				{p.MayCommit, "c"},
				{p.ImplicitWrite, "i"},
				{p.ExplicitTransaction, "e"},
				{p.LeavesTransactionOpen, "b"},
				{p.ReturnsData, "r"},
				{p.ReadOnly(), "R"},
				{p.Pins(), "p"},
				{local, "l"},
				{mixed, "m"},
				{p.Refusal != nil, "X"},
			} {
				if m.set {
					got += m.mark
				}
			}
			if got != c.want {
				t.Errorf("marks %q, want %q", got, c.want)
			}
		})
	}
}
