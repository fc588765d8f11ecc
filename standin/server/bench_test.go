package server

import (
	"context"
	"io"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/sirupsen/logrus"
)

// benchServer starts a primary with a table of 1000 rows.
func benchServer(b *testing.B) *Server {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := Start(Config{Name: "a", Dir: b.TempDir(), InitialPrimary: true, Log: log})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	c := benchConn(b, s, "")
	for _, sql := range []string{
		"CREATE TABLE item (id bigint PRIMARY KEY, title text)",
		"WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n WHERE i < 1000) " +
			"INSERT INTO item (id, title) SELECT i, 'title' FROM n",
	} {
		if _, err := c.Exec(context.Background(), sql); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

func benchConn(b *testing.B, s *Server, options string) *pgx.Conn {
	b.Helper()
	c, err := pgx.Connect(context.Background(), "postgres://user@"+s.Addr()+"/db?sslmode=disable"+options)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// BenchmarkSelect reads one row by its key over one connection.
func BenchmarkSelect(b *testing.B) {
	for _, m := range modes {
		b.Run(m.name, func(b *testing.B) {
			c := benchConn(b, benchServer(b), m.options)
			b.ResetTimer()
			for i := range b.N {
				var title string
				err := c.QueryRow(context.Background(), "SELECT title FROM item WHERE id = $1", i%1000+1).Scan(&title)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkParallel runs statements over 20 connections.
func BenchmarkParallel(b *testing.B) {
	cases := []struct{ name, sql string }{
		{"select", "SELECT title FROM item WHERE id = $1"},
		{"insert", "INSERT INTO item (id, title) VALUES ($1, 'new')"},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			s := benchServer(b)
			conns := make(chan *pgx.Conn, 20)
			for range cap(conns) {
				conns <- benchConn(b, s, "")
			}
			var next atomic.Int64
			next.Store(1000)
			b.SetParallelism(2) // 2 goroutines for each of the 10 cores.
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				c := <-conns
				defer func() { conns <- c }()
				for pb.Next() {
					if _, err := c.Exec(context.Background(), tc.sql, next.Add(1)); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "stmt/s")
		})
	}
}
