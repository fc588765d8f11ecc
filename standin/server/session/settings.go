package session

import (
	"database/sql/driver"
	"fmt"
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

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

// configure runs a statement about the session itself.
func (s *Session) configure(p *prepared) (result, error) {
	res := result{tag: p.Tag}
	switch p.Kind {
	case sqltext.Set:
		return res, s.set(p.Statement)
	case sqltext.SetTransaction:
		if s.block == 'T' {
			s.options(p.Tokens)
		}
		return res, nil
	case sqltext.Show:
		v, err := s.show(settingName(p.Statement))
		return result{rows: v, tag: "SHOW"}, err
	case sqltext.Reset:
		s.reset(settingName(p.Statement))
		return res, nil
	case sqltext.Discard:
		return res, s.discard(p.Statement)
	}
	s.deallocate(p.Tokens[len(p.Tokens)-1])
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

func (s *Session) set(stmt *sqltext.Statement) error {
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
		if s.block == 'T' {
			if s.locals == nil {
				s.locals = map[string]string{}
			}
			s.locals[name] = value
		}
		return nil
	}
	s.vars[name] = value
	s.report(name)
	return nil
}

func (s *Session) report(name string) {
	for _, r := range reported {
		if r == name {
			s.be.Send(&pgproto3.ParameterStatus{Name: reportedName(name), Value: s.vars[name]})
		}
	}
}

func reportedName(name string) string {
	if n, ok := reportedNames[name]; ok {
		return n
	}
	return name
}

func (s *Session) show(name string) ([][]driver.Value, error) {
	if s.block == 'T' && name == "transaction_read_only" && s.readOnly {
		return [][]driver.Value{{"on"}}, nil
	}
	if s.block == 'T' && name == "transaction_isolation" && s.snapshot {
		return [][]driver.Value{{"serializable"}}, nil
	}
	if v, ok := s.locals[name]; ok {
		return [][]driver.Value{{v}}, nil
	}
	v, ok := s.vars[name]
	if !ok {
		return nil, &rows.Error{Code: "42704", Message: fmt.Sprintf("unrecognized configuration parameter %q", name)}
	}
	return [][]driver.Value{{v}}, nil
}

func (s *Session) reset(name string) {
	if name == "all" {
		s.vars = maps.Clone(defaults)
		return
	}
	if v, ok := defaults[name]; ok {
		s.vars[name] = v
		s.report(name)
		return
	}
	delete(s.vars, name)
}

// discard runs DISCARD. A new row store connection drops temporary tables.
func (s *Session) discard(stmt *sqltext.Statement) error {
	if s.block != 'I' {
		return &rows.Error{Code: "25001", Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	if stmt.Tag != "DISCARD ALL" {
		return nil
	}
	s.vars = maps.Clone(defaults)
	clear(s.statements)
	clear(s.portals)
	if len(s.temps) == 0 {
		return nil
	}
	clear(s.temps)
	clear(s.plans)
	s.rollback()
	db, err := s.cfg.Node.OpenRows()
	if err != nil {
		return err
	}
	s.db.Close()
	s.db = db
	return nil
}

func (s *Session) deallocate(t sqltext.Token) {
	if t.Is("all") {
		clear(s.statements)
		return
	}
	delete(s.statements, t.Value())
}
