package sqltext

import (
	"strconv"
	"strings"

	"marigoldhub.example/hub/standin/server/pgvalue"
)

// Statement is one parsed statement.
type Statement struct {
	Kind   Kind
	Tokens []Token
	// SQL is the translation for the row store, without a now() that is still
	// to be filled in by [Statement.Bound].
	SQL string
	// Tag is the command tag without the row count.
	Tag string
	// Table is the target of a write, empty for other statements.
	Table string
	// Temporary is set for CREATE TEMPORARY TABLE.
	Temporary bool
	// Returning is the position after the word RETURNING in Tokens, 0 without
	// one.
	Returning int
	// Params is the number of the highest placeholder.
	Params int
	// Hints holds the type OIDs that casts give to placeholders, by index from
	// 0.
	Hints map[int]uint32
	// Function and Args are the call of a Sleep, Group or Builtin statement.
	Function string
	Args     []Token

	hasNow bool
}

// Parse splits a simple query into its statements. Empty statements are left
// out.
func Parse(src string) []*Statement {
	var list []*Statement
	var part []Token
	for _, t := range Scan(src) {
		if !t.Is(";") {
			part = append(part, t)
			continue
		}
		if len(part) > 0 {
			list = append(list, newStatement(part))
		}
		part = nil
	}
	if len(part) > 0 {
		list = append(list, newStatement(part))
	}
	return list
}

func newStatement(tokens []Token) *Statement {
	s := &Statement{Tokens: tokens, Hints: map[int]uint32{}}
	s.classify()
	for i, t := range tokens {
		if t.Kind == Param {
			s.Params = max(s.Params, ParamIndex(t)+1)
			if i+2 < len(tokens) && tokens[i+1].Is("::") {
				name, _ := typeName(tokens[i+2:])
				s.Hints[ParamIndex(t)] = pgvalue.OIDOf(name)
			}
		}
	}
	s.SQL = s.translate()
	return s
}

// ParamIndex returns the index, from 0, of a placeholder.
func ParamIndex(t Token) int {
	n, err := strconv.Atoi(t.Text[1:])
	if err != nil || n < 1 {
		return 0
	}
	return n - 1
}

func (s *Statement) word(i int) string {
	if i >= len(s.Tokens) || s.Tokens[i].Kind != Word {
		return ""
	}
	return s.Tokens[i].Text
}

func (s *Statement) classify() {
	first := s.word(0)
	kind, ok := kinds[first]
	if !ok {
		kind = Unsupported
	}
	s.Kind = kind
	s.Tag = strings.ToUpper(first)
	switch kind {
	case Read:
		s.classifyRead()
	case Write:
		s.classifyWrite(0)
	case DDL:
		s.classifyDDL()
	case Begin:
		if first == "start" {
			s.Tag = "START TRANSACTION"
		}
	case Commit:
		s.Tag = "COMMIT"
	case Rollback:
		s.classifyRollback()
	case Set:
		s.classifySet()
	case Discard:
		s.Tag = "DISCARD " + strings.ToUpper(s.word(1))
	case Deallocate:
		if s.word(1) == "all" || s.word(2) == "all" {
			s.Tag = "DEALLOCATE ALL"
		}
	}
	if first == "lock" {
		s.Tag = "LOCK TABLE"
	}
	if first == "copy" {
		s.Kind = Unsupported
	}
}

func (s *Statement) classifySet() {
	if s.word(1) == "transaction" || s.word(2) == "characteristics" {
		s.Kind = SetTransaction
	}
}

func (s *Statement) classifyRollback() {
	s.Tag = "ROLLBACK"
	for _, t := range s.Tokens {
		if t.Is("to") {
			s.Kind = RollbackTo
		}
	}
}

// classifyRead finds calls, data-modifying WITH statements and row locks.
func (s *Statement) classifyRead() {
	s.Tag = "SELECT"
	if s.classifyCall() {
		return
	}
	depth := 0
	for i, t := range s.Tokens {
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case depth > 0:
		case t.Is("insert"), t.Is("update") && !s.Tokens[i-1].Is("for") && !s.Tokens[i-1].Is("key"), t.Is("delete"):
			s.Kind = Write
			s.Tag = strings.ToUpper(t.Text)
			s.classifyWrite(i)
			return
		case t.Is("for") && i > 0 && s.Kind == Read && s.lockAt(i):
			s.Kind = LockRead
		}
	}
}

func (s *Statement) lockAt(i int) bool {
	switch s.word(i + 1) {
	case "update", "share", "no", "key":
		return true
	}
	return false
}

// classifyCall recognises SELECT pg_sleep(n) and SELECT * FROM
// marigold_group_*(...).
func (s *Statement) classifyCall() bool {
	name, at := s.word(1), 1
	if len(s.Tokens) > 3 && s.Tokens[1].Is("*") && s.word(2) == "from" {
		name, at = s.word(3), 3
	}
	switch {
	case name == "pg_sleep":
		s.Kind = Sleep
	case strings.HasPrefix(name, "marigold_group_"):
		s.Kind = Group
	case at == 1 && builtins[name]:
		s.Kind = Builtin
	default:
		return false
	}
	s.Function = name
	for i := at + 1; i < len(s.Tokens); i++ {
		t := s.Tokens[i]
		switch {
		case t.Is("::"):
			i++ // The type name is one word in these calls.
		case t.Kind == String, t.Kind == Number, t.Kind == Param:
			s.Args = append(s.Args, t)
		}
	}
	return true
}

// classifyWrite finds the target table and the RETURNING clause of the write
// that starts at token i.
func (s *Statement) classifyWrite(i int) {
	i++
	for w := s.word(i); w == "into" || w == "from" || w == "only" || w == "table"; w = s.word(i) {
		i++
	}
	if i+2 < len(s.Tokens) && s.Tokens[i+1].Is(".") {
		i += 2
	}
	if i < len(s.Tokens) {
		s.Table = s.Tokens[i].Value()
	}
	for j, t := range s.Tokens {
		if t.Is("returning") {
			s.Returning = j + 1
		}
	}
	if s.Tag == "TRUNCATE" {
		s.Tag = "TRUNCATE TABLE"
	}
}

func (s *Statement) classifyDDL() {
	object := ""
	for i := 1; i < len(s.Tokens) && object == ""; i++ {
		switch w := s.word(i); w {
		case "temp", "temporary":
			s.Temporary = true
		case "table", "index", "view", "trigger":
			object = w
			s.Table = s.objectName(i + 1)
		case "unique", "if", "not", "exists", "or", "replace", "concurrently":
		default:
			s.Kind = Unsupported
			return
		}
	}
	s.Tag += " " + strings.ToUpper(object)
}

func (s *Statement) objectName(i int) string {
	for w := s.word(i); w == "if" || w == "not" || w == "exists" || w == "only"; w = s.word(i) {
		i++
	}
	if i+2 < len(s.Tokens) && s.Tokens[i+1].Is(".") {
		i += 2
	}
	if i >= len(s.Tokens) {
		return ""
	}
	return s.Tokens[i].Value()
}
