// Package deployertest starts installations for tests.
package deployertest

import (
	"context"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/deployer"
)

// startTimeout bounds the start of an installation.
const startTimeout = time.Minute

// Build builds the programs into a temporary directory of the test and
// returns it. The test fails when they cannot be built.
func Build(t testing.TB) string {
	t.Helper()
	_, file, _, _ := runtime.Caller(0)
	bin := t.TempDir()
	cmd := exec.Command("go", "build", "-o", bin+"/", "./cmd/...")
	cmd.Dir = filepath.Join(filepath.Dir(file), "..", "..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("programs cannot be built: %v\n%s", err, out)
	}
	return bin
}

// Start builds the programs and starts an installation that ends with the
// test.
func Start(t testing.TB, plan deployer.Plan) *deployer.Deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	d, err := deployer.Start(ctx, plan, Build(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}
