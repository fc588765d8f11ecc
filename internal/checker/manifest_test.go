package checker

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite golden files")

// TestCheckManifestFindings guards against findings that are missing, have a
// wrong position or hide each other.
func TestCheckManifestFindings(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test data: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, findings := CheckManifest(filepath.Base(file), data)
			compareGolden(t, strings.TrimSuffix(file, ".toml")+".golden", findings.Error()+"\n")
		})
	}
}

func compareGolden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("findings differ from %s; got:\n%s", file, got)
	}
}

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../docs/examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestExamplesLoad guards against documented examples that do not pass the
// checks, alone or together.
func TestExamplesLoad(t *testing.T) {
	var documents []Document
	for _, name := range []string{"cooperative.toml", "council-unit.toml"} {
		d, findings := CheckDocument(name, readExample(t, name))
		if err := findings.Err(); err != nil {
			t.Fatal(err)
		}
		if len(d.Groups) != 3 || len(d.Groups[0].Servers) != 3 || len(d.Reads) == 0 || len(d.Callers) == 0 {
			t.Errorf("%s does not describe three groups of three servers with rules and callers", name)
		}
		documents = append(documents, d)
	}
	catalog, findings := BuildCatalog(documents...)
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	if n := len(catalog.Groups()); n != 6 {
		t.Errorf("catalog has %d groups, want 6", n)
	}
}

// TestCheckCatalogKeepsEarlierPart guards against a later part that replaces an
// earlier one whose names it uses, or that removes it from the catalog.
func TestCheckCatalogKeepsEarlierPart(t *testing.T) {
	first, _ := CheckDocument("first", readExample(t, "cooperative.toml"))
	data := strings.Replace(string(readExample(t, "council-unit.toml")), `"booking-desk"`, `"search"`, 1)
	data = strings.Replace(data, `database = "permits"`, `database = "members"`, 1)
	second, findings := CheckDocument("second", []byte(data))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	catalog, findings := BuildCatalog(first, second)
	if n := len(catalog.Groups()); n != 3 {
		t.Errorf("catalog has %d groups, want the 3 of the earlier part", n)
	}
	compareGolden(t, "testdata/clash.golden", findings.Error()+"\n")
}

// TestDecodeKeepsValuesOfCleanFile guards against blanking that changes the
// values of a file without errors.
func TestDecodeKeepsValuesOfCleanFile(t *testing.T) {
	type settings struct {
		Name  string   `toml:"name"`
		Limit Duration `toml:"limit"`
		Zones []string `toml:"zones"`
	}
	v, findings := Decode[settings]("s.toml", []byte("name = \"a b\"\nlimit = \"3s\"\nzones = [\n \"x\",\n \"y\"]\n"))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	if v.Name != "a b" || v.Limit != Duration(3e9) || len(v.Zones) != 2 {
		t.Errorf("got %+v", v)
	}
}

// FuzzCheckManifest guards against panics, findings outside the file and
// findings that differ between two runs.
func FuzzCheckManifest(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.toml")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(readExample(f, "cooperative.toml"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, findings := CheckManifest("f", data)
		lines := strings.Count(string(data), "\n") + 1
		for _, finding := range findings {
			if finding.Line < 1 || finding.Line > lines || finding.Column < 1 {
				t.Errorf("finding outside the file of %d lines: %s", lines, finding)
			}
		}
		_, again := CheckManifest("f", data)
		if findings.Error() != again.Error() {
			t.Errorf("findings differ between two runs:\n%s\n%s", findings, again)
		}
	})
}
