package executor

import (
	"database/sql/driver"
	"fmt"
	"maps"
	"strings"

	"marigoldhub.example/hub/standin/server/rows"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// reported are the settings sent at startup and after a change.
var reported = []string{
	"server_version", "server_encoding", "client_encoding", "standard_conforming_strings", "integer_datetimes",
	"datestyle", "timezone", "application_name",
}

var defaults = map[string]string{
	"server_version": "15.0", "server_encoding": "UTF8", "client_encoding": "UTF8",
	"standard_conforming_strings": "on", "integer_datetimes": "on", "datestyle": "ISO, MDY", "timezone": "UTC",
	"application_name": "", "search_path": `"$user", public`, "default_transaction_read_only": "off",
	"transaction_read_only": "off", "transaction_isolation": "read committed", "statement_timeout": "0",
	"lock_timeout": "0", "extra_float_digits": "1",
}

// reportedNames gives the spelling of settings that contain upper case.
var reportedNames = map[string]string{"datestyle": "DateStyle", "timezone": "TimeZone"}

// Setting is a setting that clients are told.
type Setting struct {
	Name, Value string
}

// Reported returns the settings that clients are told at startup.
func (e *Executor) Reported() []Setting {
	list := make([]Setting, len(reported))
	for i, name := range reported {
		list[i] = Setting{Name: reportedName(name), Value: e.vars[name]}
	}
	return list
}

// configure runs a statement about the session itself.
func (e *Executor) configure(p *Prepared) (Result, error) {
	res := Result{Tag: p.Tag}
	switch p.Kind {
	case sqltext.Set:
		return res, e.set(p.Statement)
	case sqltext.SetTransaction:
		if e.block == 'T' {
			e.options(p.Tokens)
		}
		return res, nil
	case sqltext.Show:
		v, err := e.show(settingName(p.Statement))
		return Result{Rows: v, Tag: "SHOW"}, err
	case sqltext.Reset:
		e.reset(settingName(p.Statement))
		return res, nil
	case sqltext.Discard:
		return res, e.discard(p.Statement)
	}
	e.deallocate(p.Tokens[len(p.Tokens)-1])
	return res, nil
}

// settingName returns the setting of a SET, SHOW or RESET statement.
func settingName(stmt *sqltext.Statement) string {
	name, _ := setting(stmt)
	return name
}

// setting returns the setting's name and the index of the token after it.
func setting(stmt *sqltext.Statement) (string, int) {
	t := stmt.Tokens
	i := 1
	if i+1 < len(t) && (t[i].Is("session") || t[i].Is("local")) {
		i++
	}
	if i >= len(t) {
		return "", i
	}
	if t[i].Is("time") && i+1 < len(t) && t[i+1].Is("zone") {
		return "timezone", i + 2
	}
	if t[i].Is("transaction") && i+1 < len(t) && t[i+1].Is("isolation") {
		return "transaction_isolation", len(t)
	}
	name := t[i].Value()
	for i++; i+1 < len(t) && t[i].Is("."); i += 2 {
		name += "." + t[i+1].Value()
	}
	return strings.ToLower(name), i
}

func (e *Executor) set(stmt *sqltext.Statement) error {
	name, i := setting(stmt)
	t := stmt.Tokens
	if i < len(t) && (t[i].Is("=") || t[i].Is("to")) {
		i++
	}
	if name == "" || i >= len(t) {
		return &rows.Error{Code: "42601", Message: "syntax error in SET"}
	}
	var words []string
	for ; i < len(t); i++ {
		if !t[i].Is(",") {
			words = append(words, t[i].Value())
		}
	}
	value := strings.Join(words, ", ")
	if len(words) == 1 && strings.EqualFold(value, "default") {
		value = defaults[name]
	}
	if t[1].Is("local") {
		if e.block == 'T' {
			if e.locals == nil {
				e.locals = map[string]string{}
			}
			e.locals[name] = value
		}
		return nil
	}
	e.vars[name] = value
	e.report(name)
	return nil
}

func (e *Executor) report(name string) {
	for _, r := range reported {
		if r == name {
			e.cfg.Report(Setting{Name: reportedName(name), Value: e.vars[name]})
		}
	}
}

func reportedName(name string) string {
	if n, ok := reportedNames[name]; ok {
		return n
	}
	return name
}

func (e *Executor) show(name string) ([][]driver.Value, error) {
	if e.block == 'T' && name == "transaction_read_only" && e.readOnly {
		return [][]driver.Value{{"on"}}, nil
	}
	if e.block == 'T' && name == "transaction_isolation" && e.snapshot {
		return [][]driver.Value{{"serializable"}}, nil
	}
	if v, ok := e.locals[name]; ok {
		return [][]driver.Value{{v}}, nil
	}
	v, ok := e.vars[name]
	if !ok {
		return nil, &rows.Error{Code: "42704", Message: fmt.Sprintf("unrecognized configuration parameter %q", name)}
	}
	return [][]driver.Value{{v}}, nil
}

func (e *Executor) reset(name string) {
	if name == "all" {
		e.vars = maps.Clone(defaults)
		return
	}
	if v, ok := defaults[name]; ok {
		e.vars[name] = v
		e.report(name)
		return
	}
	delete(e.vars, name)
}

// discard runs DISCARD. A new row store connection drops temporary tables.
func (e *Executor) discard(stmt *sqltext.Statement) error {
	if e.block != 'I' {
		return &rows.Error{Code: "25001", Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	if stmt.Tag != "DISCARD ALL" {
		return nil
	}
	e.vars = maps.Clone(defaults)
	e.cfg.Forget("")
	if len(e.temps) == 0 {
		return nil
	}
	clear(e.temps)
	e.rollback()
	db, err := e.cfg.Node.OpenRows()
	if err != nil {
		return err
	}
	e.db.Close()
	e.db = db
	return nil
}

func (e *Executor) deallocate(t sqltext.Token) {
	if t.Is("all") {
		e.cfg.Forget("")
		return
	}
	e.cfg.Forget(t.Value())
}
