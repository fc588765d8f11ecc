package sqltext

import (
	"strings"
	"time"
)

// nowMark stands for the time of execution in a translated statement.
const nowMark = "\x00now\x00"

// Bound returns the translation with the current time in place of now(), so
// that the logged statement gives the same rows on every server.
func (s *Statement) Bound(now time.Time) string {
	if !s.hasNow {
		return s.SQL
	}
	text := now.UTC().Format("'2006-01-02 15:04:05.000000+00'")
	return strings.ReplaceAll(s.SQL, nowMark, text)
}

func (s *Statement) translate() string {
	var b strings.Builder
	for i := 0; i < len(s.Tokens); {
		text, n := s.translateAt(i)
		if s.Tokens[i].Spaced && b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(text)
		i += n
	}
	return b.String()
}

// translateAt returns the translation of the tokens at i and their number.
func (s *Statement) translateAt(i int) (string, int) {
	t := s.Tokens[i]
	switch t.Kind {
	case Param:
		return "?" + t.Text[1:], 1
	case String:
		if t.Text[0] != '\'' {
			return t.Text[1:], 1
		}
	case Operator:
		if t.Text == "::" {
			_, n := typeName(s.Tokens[i+1:])
			return "", n + 1
		}
	case Word:
		if text, n := s.translateWord(i); n > 0 {
			return text, n
		}
		return t.Raw, 1
	}
	return t.Text, 1
}

// translateWord returns a count of 0 when the word stays as it is.
func (s *Statement) translateWord(i int) (string, int) {
	switch s.Tokens[i].Text {
	case "now", "clock_timestamp", "transaction_timestamp":
		if s.opAt(i+1, "(") && s.opAt(i+2, ")") {
			s.hasNow = true
			return nowMark, 3
		}
	case "current_timestamp":
		s.hasNow = true
		return nowMark, 1
	case "for":
		if s.Kind == LockRead && s.lockAt(i) {
			return "", len(s.Tokens) - i
		}
	case "public", "pg_catalog":
		if s.opAt(i+1, ".") {
			return "", 2
		}
	case "ilike":
		return "like", 1
	case "bigserial", "serial":
		if s.Kind == DDL {
			return "integer", 1
		}
	case "truncate":
		if i == 0 {
			return "delete from", s.truncateWords()
		}
	}
	return "", 0
}

func (s *Statement) truncateWords() int {
	if s.word(1) == "table" {
		return 2
	}
	return 1
}

func (s *Statement) opAt(i int, text string) bool {
	return i < len(s.Tokens) && s.Tokens[i].Is(text)
}

// typeName reads a type name at the start of tokens and returns it with the
// number of its tokens.
func typeName(tokens []Token) (string, int) {
	if len(tokens) == 0 {
		return "", 0
	}
	name, n := tokens[0].Text, 1
	n += wordsAfter(tokens, name)
	for _, t := range tokens[1:n] {
		name += " " + t.Text
	}
	if n < len(tokens) && tokens[n].Is("(") {
		for n < len(tokens) && !tokens[n].Is(")") {
			n++
		}
		n = min(n+1, len(tokens))
	}
	for n+1 < len(tokens) && tokens[n].Is("[") && tokens[n+1].Is("]") {
		n += 2
	}
	return name, n
}

// wordsAfter returns how many more words belong to a type that starts with
// name.
func wordsAfter(tokens []Token, name string) int {
	if len(tokens) < 2 {
		return 0
	}
	second := tokens[1].Text
	switch {
	case name == "double" && second == "precision", name == "character" && second == "varying":
		return 1
	case (name == "timestamp" || name == "time") && (second == "with" || second == "without") && len(tokens) >= 4:
		return 3
	}
	return 0
}
