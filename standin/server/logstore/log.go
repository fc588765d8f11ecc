package logstore

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"marigoldhub.example/hub/internal/tracker"
)

const logFile = "log.jsonl"

// Log is the log of one server, in memory and in a file of one JSON record per
// line. It is not safe for concurrent use.
type Log struct {
	path    string
	file    *os.File
	records []Record
	lineage tracker.Lineage
}

// Open reads the log below dir. An incomplete last line, left by a process
// that was killed while writing, is dropped.
func Open(dir string) (*Log, error) {
	l := &Log{path: filepath.Join(dir, logFile)}
	f, err := os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	l.file = f
	size, err := l.load()
	if err == nil {
		err = f.Truncate(size)
	}
	if err == nil {
		_, err = f.Seek(size, io.SeekStart)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return l, nil
}

// load reads the complete lines and returns their length in bytes.
func (l *Log) load() (int64, error) {
	var size int64
	br := bufio.NewReader(l.file)
	for {
		line, err := br.ReadBytes('\n')
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return 0, err
		}
		var r Record
		if err := json.Unmarshal(line, &r); err != nil {
			return 0, fmt.Errorf("log record %d: %w", len(l.records)+1, err)
		}
		l.keep(r)
		size += int64(len(line))
	}
}

func (l *Log) keep(r Record) {
	if n := len(l.lineage); n == 0 || l.lineage[n-1].Term != r.Term {
		// Clip so that lineages handed out earlier keep their content.
		l.lineage = append(l.lineage[:n:n], tracker.TermStart{Term: r.Term, Start: r.Offset - 1})
	}
	l.records = append(l.records, r)
}

// Append adds the next records. Their offsets must continue the log.
func (l *Log) Append(records ...Record) error {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	for i, r := range records {
		if want := l.End().Offset + uint64(i) + 1; r.Offset != want {
			return fmt.Errorf("record has offset %d, log continues at %d", r.Offset, want)
		}
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	if _, err := l.file.Write(buf.Bytes()); err != nil {
		return err
	}
	for _, r := range records {
		l.keep(r)
	}
	return nil
}

// Truncate drops all records after the given offset.
func (l *Log) Truncate(offset uint64) error {
	old := l.records[:offset]
	path := l.path + ".new"
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	l.file.Close()
	l.file, l.records, l.lineage = f, nil, nil
	if err := l.Append(old...); err != nil {
		return err
	}
	return os.Rename(path, l.path)
}

// End returns the position of the last record.
func (l *Log) End() tracker.Position {
	if len(l.records) == 0 {
		return tracker.Position{}
	}
	return l.records[len(l.records)-1].Position()
}

// Lineage returns the lineage. The caller must not change it.
func (l *Log) Lineage() tracker.Lineage { return l.lineage }

// After returns the records after the given offset. The caller must not change
// them.
func (l *Log) After(offset uint64) []Record {
	if offset >= uint64(len(l.records)) {
		return nil
	}
	return l.records[offset:len(l.records):len(l.records)]
}

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }
