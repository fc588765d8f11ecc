package relayer_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against notices that are kept in memory without a limit while the caller does not
// read: a function can raise millions of them.
func TestNoticesAreNotKept(t *testing.T) {
	for _, tc := range []struct {
		name    string
		queries []string
	}{
		{"outside a transaction", []string{"select notices"}},
		{"in a transaction", []string{"begin", "select notices"}},
		{"at a replica", []string{"select notices from kv"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t)
			conn := fx.hijack()
			defer conn.Close()
			fe := pgproto3.NewFrontend(conn, conn)
			for _, sql := range tc.queries {
				fe.Send(&pgproto3.Query{String: sql})
			}
			if err := fe.Flush(); err != nil {
				t.Fatal(err)
			}
			sent := func() int64 { return fx.a.notices.Load() + fx.b.notices.Load() }
			deadline := time.Now().Add(20 * time.Second)
			for last, since := int64(0), time.Now(); sent() < manyNotices && (last == 0 || time.Since(since) < time.Second); time.Sleep(time.Millisecond) {
				if n := sent(); n != last {
					last, since = n, time.Now()
				}
				if time.Now().After(deadline) {
					t.Fatalf("%d notices were sent", sent())
				}
			}
			if sent() == manyNotices {
				t.Errorf("all %d notices were taken although the caller reads nothing", manyNotices)
			}
			conn.SetReadDeadline(time.Now().Add(30 * time.Second))
			notices := 0
			for ready := 0; ready < len(tc.queries); {
				msg, err := fe.Receive()
				if err != nil {
					t.Fatalf("after %d notices: %v", notices, err)
				}
				switch m := msg.(type) {
				case *pgproto3.NoticeResponse:
					notices++
				case *pgproto3.ErrorResponse:
					t.Fatalf("after %d notices: %s", notices, m.Message)
				case *pgproto3.ReadyForQuery:
					ready++
				}
			}
			if notices != manyNotices {
				t.Errorf("%d notices arrived, want %d", notices, manyNotices)
			}
		})
	}
}
