package executor

import (
	"database/sql/driver"
	"fmt"
	"strconv"

	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server/pgvalue"
	"marigoldhub.example/hub/standin/server/rows"
)

// group calls a function of section 3 of the design page.
func (e *Executor) group(p *Prepared, args []driver.Value) (Result, error) {
	words := make([]string, len(p.Args))
	for i, t := range p.Args {
		w, err := argument(t, args)
		if err != nil {
			return Result{}, err
		}
		words[i] = w
	}
	st, err := e.callGroup(p.Function, words)
	if err != nil {
		return Result{}, err
	}
	return Result{Rows: [][]driver.Value{e.statusRow(st)}, Tag: "SELECT 1"}, nil
}

func (e *Executor) callGroup(function string, args []string) (tracker.Status, error) {
	want := map[string]int{
		"marigold_group_status": 0, "marigold_group_fence": 2, "marigold_group_promote": 2, "marigold_group_follow": 3,
	}
	n, ok := want[function]
	if !ok || n != len(args) {
		return tracker.Status{}, &rows.Error{
			Code: "42883", Message: fmt.Sprintf("function %s with %d arguments does not exist", function, len(args)),
		}
	}
	if n == 0 {
		return e.cfg.Node.Status(), nil
	}
	term, err := strconv.ParseUint(args[0], 10, 63)
	if err != nil {
		return tracker.Status{}, &rows.Error{Code: "22P02", Message: "term: " + err.Error()}
	}
	switch function {
	case "marigold_group_fence":
		return e.cfg.Node.Fence(term, args[1])
	case "marigold_group_promote":
		return e.cfg.Node.Promote(term, args[1])
	}
	return e.cfg.Node.Follow(term, args[1], args[2], e.untilAnswered())
}

func (e *Executor) statusRow(st tracker.Status) []driver.Value {
	connections := e.cfg.Connections()
	return []driver.Value{
		st.Server, string(st.Role), int64(st.Term), st.Promoter, int64(st.Log.Term), int64(st.Log.Offset),
		st.Lineage.String(), st.Leaving, int64(connections), int64(st.Applied.Offset),
	}
}

// builtinType returns the result type of a session function.
func builtinType(function string) uint32 {
	switch function {
	case "pg_backend_pid":
		return pgvalue.OIDInt4
	case "pg_is_in_recovery", "pg_try_advisory_lock", "pg_advisory_unlock":
		return pgvalue.OIDBool
	}
	return pgvalue.OIDText
}

// builtin answers a session function. Advisory locks are granted without being
// taken.
func (e *Executor) builtin(p *Prepared) Result {
	var v driver.Value = ""
	switch p.Function {
	case "version":
		v = "PostgreSQL 15.0 (marigoldhub standin-server)"
	case "current_database":
		v = e.cfg.Database
	case "current_schema":
		v = "public"
	case "pg_backend_pid":
		v = int64(e.cfg.PID)
	case "pg_is_in_recovery":
		v = e.cfg.Node.Status().Role != tracker.RolePrimary
	case "pg_try_advisory_lock", "pg_advisory_unlock":
		v = true
	}
	return Result{Rows: [][]driver.Value{{v}}, Tag: "SELECT 1"}
}
