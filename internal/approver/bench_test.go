package approver

import (
	"fmt"
	"strings"
	"testing"
)

// customerContent returns a part of 13 groups of three servers with read rules
// and callers. 13 groups is the mean of the target size.
func customerContent() string {
	const groups, servers, callers = 13, 3, 20
	verifier := "SCRAM-SHA-256$4096:" + strings.Repeat("A", 22) + "==$" + strings.Repeat("A", 43) + "=:" + strings.Repeat("A", 43) + "="
	var b strings.Builder
	b.WriteString("part = \"a\"\n")
	for g := range groups {
		fmt.Fprintf(&b, "\n[[group]]\nname = \"customer-db-%d\"\ndatabase = \"db%d\"\nserver_user = \"marigold\"\nserver_password_file = \"/etc/marigold/db%d.password\"\nserver_tls = \"verify-full\"\n", g, g, g)
		for s := range servers {
			fmt.Fprintf(&b, "\n[[group.server]]\nname = \"db%d-%d\"\naddress = \"127.%d.%d.1:5432\"\nzone = \"zone-%d\"\nconnection_limit = 40\n", g, s, s+1, g+1, s)
		}
		fmt.Fprintf(&b, "\n[[read]]\nname = \"rule-%d\"\ngroup = \"customer-db-%d\"\ntables = [\"titles\", \"subjects\", \"copies\"]\nmax_age = \"30s\"\n", g, g)
	}
	for c := range callers {
		fmt.Fprintf(&b, "\n[[caller]]\nname = \"caller-%d\"\ngroups = [\"customer-db-%d\"]\nscram_verifier = %q\nconnection_limit = 100\npinned_limit = 5\ntls_required = true\n", c, c%groups, verifier)
	}
	return b.String()
}

// BenchmarkVerify measures decoding and verification of one envelope of a
// customer's part of 13 groups, and reports its size.
func BenchmarkVerify(b *testing.B) {
	chain, encoded := customerEnvelope(b)
	b.ReportAllocs()
	for b.Loop() {
		e, err := Decode(encoded)
		if err != nil {
			b.Fatal(err)
		}
		if err := chain.Verify(e); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "bytes/envelope")
}

// BenchmarkCheckContent measures the checks of the same content.
func BenchmarkCheckContent(b *testing.B) {
	content := []byte(customerContent())
	b.ReportAllocs()
	for b.Loop() {
		if _, findings := CheckContent("a", "a", content); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}

func customerEnvelope(tb testing.TB) (*Chain, []byte) {
	tb.Helper()
	b := newFixture(tb)
	b.activateGenesis(tb)
	e := b.activate(tb, "a", customerContent())
	chain, err := b.proposer.loadChain(ctx(tb))
	if err != nil {
		tb.Fatal(err)
	}
	return chain, e.Encode()
}
