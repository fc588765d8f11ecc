// Package deployertest starts deployments for tests, with programs that are
// built from the current source.
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

// startTimeout bounds the start of a deployment.
const startTimeout = time.Minute

// Build builds all programs into a temporary directory of the test and returns
// the directory. The test fails when they cannot be built.
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

// Start builds the programs and starts a deployment that is closed at the end of
// the test.
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
