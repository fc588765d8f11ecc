package sqltext

import "strings"

// TokenKind distinguishes tokens.
type TokenKind int

// The kinds of tokens.
const (
	Word TokenKind = iota + 1
	QuotedWord
	String
	Number
	Param
	Operator
)

// Token is one lexical element.
type Token struct {
	Kind TokenKind
	// Text is the source text; words that are not quoted are in lower case.
	Text string
	// Spaced is set when white space or a comment stands before the token.
	Spaced bool
	// Raw is the source text of a word without change of case.
	Raw string
}

// Is reports whether the token is the given word or operator.
func (t Token) Is(text string) bool {
	return (t.Kind == Word || t.Kind == Operator) && t.Text == text
}

// Value returns a string's or quoted word's content and any other token's
// text.
func (t Token) Value() string {
	switch t.Kind {
	case String:
		s := strings.TrimLeft(t.Text, "eE")
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	case QuotedWord:
		return strings.ReplaceAll(t.Text[1:len(t.Text)-1], `""`, `"`)
	}
	return t.Text
}

// Scan splits a source text into tokens. Unterminated strings extend to the
// end and are reported by the row store.
func Scan(src string) []Token {
	var tokens []Token
	spaced := false
	for i := 0; i < len(src); {
		if n := skip(src[i:]); n > 0 {
			i += n
			spaced = true
			continue
		}
		kind, n := next(src[i:])
		t := Token{Kind: kind, Text: src[i : i+n], Raw: src[i : i+n], Spaced: spaced}
		if kind == Word {
			t.Text = strings.ToLower(t.Text)
		}
		tokens = append(tokens, t)
		i += n
		spaced = false
	}
	return tokens
}

// skip returns the length of white space or a comment at the start of s.
func skip(s string) int {
	switch {
	case strings.IndexByte(" \t\r\n\f", s[0]) >= 0:
		return 1
	case strings.HasPrefix(s, "--"):
		if i := strings.IndexByte(s, '\n'); i >= 0 {
			return i + 1
		}
		return len(s)
	case strings.HasPrefix(s, "/*"):
		if i := strings.Index(s, "*/"); i >= 0 {
			return i + 2
		}
		return len(s)
	}
	return 0
}

func next(s string) (TokenKind, int) {
	c := s[0]
	switch {
	case c == '\'':
		return String, quoted(s, '\'')
	case (c == 'e' || c == 'E') && len(s) > 1 && s[1] == '\'':
		return String, 1 + quoted(s[1:], '\'')
	case c == '"':
		return QuotedWord, quoted(s, '"')
	case c == '$' && len(s) > 1 && isDigit(s[1]):
		return Param, 1 + span(s[1:], isDigit)
	case isDigit(c) || c == '.' && len(s) > 1 && isDigit(s[1]):
		return Number, span(s, func(c byte) bool { return isDigit(c) || c == '.' })
	case isWord(c):
		return Word, span(s, func(c byte) bool { return isWord(c) || isDigit(c) || c == '$' })
	}
	for n := 3; n > 1; n-- {
		if len(s) >= n && isOperator(s[:n]) {
			return Operator, n
		}
	}
	return Operator, 1
}

func isOperator(s string) bool {
	for _, op := range []string{"::", "||", "<=", ">=", "<>", "!=", "->>", "->"} {
		if s == op {
			return true
		}
	}
	return false
}

// quoted returns the length of a quoted text in which the quote is doubled.
func quoted(s string, quote byte) int {
	for i := 1; i < len(s); i++ {
		if s[i] != quote {
			continue
		}
		if i+1 < len(s) && s[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(s)
}

func span(s string, ok func(byte) bool) int {
	n := 0
	for n < len(s) && ok(s[n]) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
