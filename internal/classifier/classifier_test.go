package classifier

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Guards against a statement with side effects that is classified as a read, and
// against sending reads to the primary without need.
func TestClassify(t *testing.T) {
	cases := []struct {
		text   string
		kinds  []Kind
		tables []string
	}{
		{"", nil, nil},
		{"-- nothing", nil, nil},
		{"select * from titles where id = $1", []Kind{Read}, []string{"titles"}},
		{"SELECT t.a, lower(b) FROM public.titles t JOIN catalog.items i ON true", []Kind{Read}, []string{"titles", "catalog.items"}},
		{"select 1", []Kind{Read}, nil},
		{"table titles", []Kind{Read}, []string{"titles"}},
		{"select * from titles for update", []Kind{Write}, nil},
		{"select * into copy_of from titles", []Kind{Write}, nil},
		{"select * into temp copy_of from titles", []Kind{Pinning}, nil},
		{"with x as (delete from titles returning *) select * from x", []Kind{Write}, nil},
		{"with x as (select * from titles) select * from x", []Kind{Read}, []string{"titles"}},
		{"with titles as (select * from titles) select * from titles", []Kind{Read}, []string{"titles"}},
		{"with recursive x as (select 1 union all select * from x) select * from x", []Kind{Read}, nil},
		{"select * from secret, (with secret as (select 1) select * from secret) y", []Kind{Read}, []string{"secret"}},
		{"select (select count(*) from notes) from titles", []Kind{Read}, []string{"notes", "titles"}},
		{"select nextval('s')", []Kind{Write}, nil},
		{"select my_schema.lower('x')", []Kind{Write}, nil},
		{"select pg_catalog.lower('x')", []Kind{Read}, nil},
		{"select set_config('a', 'b', false)", []Kind{Pinning}, nil},
		{"select pg_advisory_lock(1)", []Kind{Pinning}, nil},
		{"insert into titles select pg_try_advisory_lock(1)", []Kind{Pinning}, nil},
		{"select pg_advisory_xact_lock(1)", []Kind{Write}, nil},
		{"insert into titles values (1)", []Kind{Write}, nil},
		{"begin; update titles set a = 1; commit", []Kind{Begin, Write, Commit}, nil},
		{"start transaction read only", []Kind{Begin}, nil},
		{"commit and chain", []Kind{Unsupported}, nil},
		{"prepare transaction 'x'", []Kind{Unsupported}, nil},
		{"rollback to savepoint a", []Kind{Savepoint}, nil},
		{"abort", []Kind{Rollback}, nil},
		{"set search_path to a, b", []Kind{SetSession}, nil},
		{"set local statement_timeout = 5", []Kind{SetLocal}, nil},
		{"set transaction isolation level serializable", []Kind{SetLocal}, nil},
		{"set session characteristics as transaction read only", []Kind{SetSession}, nil},
		{"reset all", []Kind{SetSession}, nil},
		{"show server_version", []Kind{Show}, nil},
		{"show marigold.request_outcome", []Kind{HubShow}, nil},
		{"set local marigold.request_key = 'k'", []Kind{HubSet}, nil},
		{"listen c", []Kind{Pinning}, nil},
		{"create temp table x (a int)", []Kind{Pinning}, nil},
		{"create table x (a int)", []Kind{Write}, nil},
		{"declare c cursor with hold for select 1", []Kind{Pinning}, nil},
		{"declare c cursor for select 1", []Kind{Write}, nil},
		{"copy titles from stdin", []Kind{Copy}, nil},
		{"discard all", []Kind{Discard}, nil},
		{"deallocate all", []Kind{Deallocate}, nil},
		{"explain analyze delete from titles", []Kind{Write}, nil},
		{"selec 1", []Kind{Unparsed}, nil},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			r := classify(c.text)
			var kinds []Kind
			for _, s := range r.Statements {
				kinds = append(kinds, s.Kind)
			}
			if !slices.Equal(kinds, c.kinds) {
				t.Fatalf("kinds = %v, want %v", kinds, c.kinds)
			}
			got, want := slices.Sorted(slices.Values(r.Tables())), slices.Sorted(slices.Values(c.tables))
			if !slices.Equal(got, want) {
				t.Errorf("tables = %v, want %v", got, want)
			}
		})
	}
}

// Guards against a statement that commits before it ends and is taken for one that a failure
// rolls back as a whole: it would be reported as not run, and run again.
func TestCommitsItself(t *testing.T) {
	cases := []struct {
		text string
		want bool
	}{
		{"call p()", true},
		{"do $$ begin end $$", true},
		{"create index i on t (a)", false},
		{"create index concurrently i on t (a)", true},
		{"create index concurrently on t (pg_advisory_lock(a))", true},
		{"drop index i", false},
		{"drop index concurrently i", true},
		{"drop table t", false},
		{"reindex schema s", true},
		{"reindex database d", true},
		{"reindex system d", true},
		{"reindex table concurrently t", true},
		{"reindex (concurrently) index i", true},
		{"reindex table t", true},
		{"alter table t detach partition p", false},
		{"alter table t detach partition p concurrently", true},
		{"alter table t detach partition p finalize", false},
		{"alter table t add column a int", false},
		{"vacuum", true},
		{"vacuum full t", true},
		{"analyze", true},
		{"cluster", true},
		{"cluster t using i", true},
		{"insert into t values (1)", false},
		{"select 1", false},
	}
	for _, c := range cases {
		if got := classify(c.text).Statements[0].CommitsItself; got != c.want {
			t.Errorf("%s: %v, want %v", c.text, got, c.want)
		}
	}
}

// Guards against a caller that ends the process with a text that overflows the
// parser's stack, and against rejecting bulk inserts as such texts.
func TestTooComplex(t *testing.T) {
	row := ", (-1, 'a-b:c/d', now() - interval '1' day, null, 3::int)"
	chain := func(link string) string { return "select 1" + strings.Repeat(link, 100_000) }
	cases := []struct {
		name, text string
		want       Kind
	}{
		{"operators", chain("+1"), TooComplex},
		{"spaced operators", chain(" - 1"), TooComplex},
		{"casts", chain("::a"), TooComplex},
		{"set operations", chain(" union select 1"), TooComplex},
		{"set operations with commas", chain(" union select 1, 2"), TooComplex},
		{"collations", chain(" collate a"), TooComplex},
		{"operators behind an escaped quote", "select E'\\''" + strings.Repeat("||''", 100_000), TooComplex},
		{"calls", chain("+f(1,2)"), TooComplex},
		{"joins", "select 1 from a" + strings.Repeat(" join a on true", 100_000), TooComplex},
		{"subscripts", "select a" + strings.Repeat("[1]", 100_000), TooComplex},
		{"deep tree", "select 1" + strings.Repeat("+1", 8000), TooComplex},
		{"parentheses", "select " + strings.Repeat("(", 100_000) + "1" + strings.Repeat(")", 100_000), Unparsed},
		{"bulk insert", "insert into t values (1)" + strings.Repeat(row, 10_000), Write},
		{"long list", "select 1 in (1" + strings.Repeat(", -1", 100_000) + ")", Read},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := classify(c.text).Statements[0].Kind; got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against panics on arbitrary texts, and against classifying a text that
// starts with a write as a read.
func FuzzClassify(f *testing.F) {
	f.Add("select 1")
	f.Add("set marigold.request_key = 'x'")
	f.Add("insert into t values (1); select 2")
	f.Fuzz(func(t *testing.T, text string) {
		if strings.ContainsRune(text, 0) {
			return // cannot occur in a message
		}
		word := strings.ToLower(strings.TrimSpace(text))
		if classify(text).ReadOnly() && (strings.HasPrefix(word, "insert") || strings.HasPrefix(word, "delete") || strings.HasPrefix(word, "update")) {
			t.Errorf("%q is classified as a read", text)
		}
	})
}

// Guards against wrong values of settings and wrong byte ranges of statements,
// which the relayer uses to replace statements.
func TestSetting(t *testing.T) {
	text := "begin; SET LOCAL Marigold.Request_Key = 'a''b' ; commit"
	s := classify(text).Statements[1]
	if s.Setting != "marigold.request_key" || s.Value != "a'b" || !s.HasValue || !s.Local {
		t.Errorf("got %+v", s)
	}
	if got := strings.TrimSpace(text[s.Start:s.End]); got != "SET LOCAL Marigold.Request_Key = 'a''b'" {
		t.Errorf("range holds %q", got)
	}
}

// Guards against a cache that exceeds its limits or keeps oversized texts.
func TestCacheBounds(t *testing.T) {
	c := New(Config{MaxEntries: 8, MaxBytes: 4 << 10})
	for i := range 100 {
		c.Classify(fmt.Sprintf("select %d", i))
	}
	c.Classify("select 99")
	if hits, _ := c.Stats(); hits != 1 {
		t.Errorf("hits = %d, want 1", hits)
	}
	c.Classify("select '" + strings.Repeat("x", maxTextBytes) + "'")
	if c.lru.Len() != 8 || len(c.entries) != 8 {
		t.Errorf("%d entries, want 8", c.lru.Len())
	}
	c = New(Config{MaxBytes: 1 << 10})
	for i := range 100 {
		c.Classify(fmt.Sprintf("select %d", i))
	}
	if c.bytes > 1<<10 {
		t.Errorf("%d bytes kept", c.bytes)
	}
}

const benchText = "select t.id, t.name from titles t join notes n on n.title = t.id where t.id = $1 order by t.name limit 10"

func BenchmarkHit(b *testing.B) {
	c := New(Config{})
	for b.Loop() {
		c.Classify(benchText)
	}
}

func BenchmarkMiss(b *testing.B) {
	for b.Loop() {
		classify(benchText)
	}
}
