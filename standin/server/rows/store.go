package rows

import (
	"database/sql/driver"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"modernc.org/sqlite"
)

// Store opens connections to the current generation of the rows.
type Store struct {
	dir    string
	schema atomic.Uint64

	mu  sync.Mutex
	gen int
	// keeper stays open for the life of a generation: the last connection to
	// close would remove the write-ahead log under an exclusive lock.
	keeper *Conn
}

// NewStore makes an empty store below dir. Rows left by an earlier process are
// removed, since rows are rebuilt from the log.
func NewStore(dir string) (*Store, error) {
	old, err := filepath.Glob(filepath.Join(dir, "rows-*.db*"))
	if err != nil {
		return nil, err
	}
	for _, path := range old {
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	return &Store{dir: dir}, nil
}

// NextGeneration makes later connections use an empty database.
func (s *Store) NextGeneration() error {
	s.Close()
	s.mu.Lock()
	for _, suffix := range []string{"", "-wal", "-shm"} {
		os.Remove(s.path() + suffix)
	}
	s.gen++
	s.mu.Unlock()
	s.schema.Add(1)
	keeper, err := s.Open()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.keeper = keeper
	s.mu.Unlock()
	return nil
}

// path returns the file of the current generation. The caller holds mu.
func (s *Store) path() string {
	return filepath.Join(s.dir, fmt.Sprintf("rows-%d.db", s.gen))
}

// Close closes the connection that the store itself holds.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeper != nil {
		s.keeper.Close()
		s.keeper = nil
	}
}

// SchemaChanged invalidates the types that connections remember.
func (s *Store) SchemaChanged() { s.schema.Add(1) }

// Schema returns a number that changes with the schema.
func (s *Store) Schema() uint64 { return s.schema.Load() }

// Open opens a connection to the current generation.
func (s *Store) Open() (*Conn, error) {
	s.mu.Lock()
	path := s.path()
	s.mu.Unlock()
	dsn := "file:" + path + "?_pragma=busy_timeout(5000)&_pragma=journal_mode(WAL)" +
		"&_pragma=synchronous(OFF)&_pragma=foreign_keys(1)&_pragma=cache_size(-4096)"
	c, err := new(sqlite.Driver).Open(dsn)
	if err != nil {
		return nil, err
	}
	return &Conn{store: s, raw: c.(rawConn), stmts: map[string]rawStmt{}}, nil
}

// rawConn and rawStmt are the methods of the driver that Conn uses.
type rawConn interface {
	driver.ConnPrepareContext
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
	Close() error
}

type rawStmt interface {
	driver.StmtExecContext
	driver.StmtQueryContext
	Close() error
}
