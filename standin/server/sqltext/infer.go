package sqltext

import (
	"slices"
	"strings"

	"marigoldhub.example/hub/standin/server/pgvalue"
)

// ColumnTypes maps column names in lower case to type OIDs.
type ColumnTypes map[string]uint32

// Tables returns the names that follow FROM, JOIN, INTO, UPDATE and a comma in
// a FROM list. Some may not be tables.
func (s *Statement) Tables() []string {
	var names []string
	for i, t := range s.Tokens {
		if i+1 >= len(s.Tokens) {
			break
		}
		if t.Is("from") || t.Is("join") || t.Is("into") || t.Is("update") || t.Is(",") {
			if n := s.Tokens[i+1]; n.Kind == Word || n.Kind == QuotedWord {
				names = append(names, n.Value())
			}
		}
	}
	if s.Table != "" {
		names = append(names, s.Table)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// ParamTypes derives the type of each placeholder: the type the client gave, a
// cast, the column that a value is inserted into, the column that stands
// closest before or after the placeholder, or text.
func (s *Statement) ParamTypes(given []uint32, columns ColumnTypes) []uint32 {
	types := make([]uint32, max(s.Params, len(given)))
	copy(types, given)
	s.fill(types, s.Hints)
	if s.Kind == Sleep || s.Kind == Group {
		s.fill(types, s.callTypes())
	}
	if s.Table != "" && s.Tag == "INSERT" {
		s.fill(types, s.insertTypes(columns))
	}
	for i, t := range s.Tokens {
		if t.Kind != Param || types[ParamIndex(t)] != 0 {
			continue
		}
		types[ParamIndex(t)] = s.neighbourType(i, columns)
	}
	for i := range types {
		if types[i] == 0 {
			types[i] = pgvalue.OIDText
		}
	}
	return types
}

func (s *Statement) fill(types []uint32, found map[int]uint32) {
	for i, oid := range found {
		if i < len(types) && types[i] == 0 {
			types[i] = oid
		}
	}
}

// callTypes gives the parameter types of the functions of the design page.
func (s *Statement) callTypes() map[int]uint32 {
	found := map[int]uint32{}
	for i, t := range s.Args {
		if t.Kind != Param {
			continue
		}
		switch {
		case s.Kind == Sleep:
			found[ParamIndex(t)] = pgvalue.OIDFloat8
		case i == 0:
			found[ParamIndex(t)] = pgvalue.OIDInt8
		default:
			found[ParamIndex(t)] = pgvalue.OIDText
		}
	}
	return found
}

// insertTypes matches the values of INSERT INTO t (columns) VALUES (...), ...
// with the columns.
func (s *Statement) insertTypes(columns ColumnTypes) map[int]uint32 {
	var names []string
	found := map[int]uint32{}
	i := slices.IndexFunc(s.Tokens, func(t Token) bool { return t.Is("(") })
	if i < 0 {
		return found
	}
	for i++; i < len(s.Tokens) && !s.Tokens[i].Is(")"); i++ {
		if t := s.Tokens[i]; t.Kind == Word || t.Kind == QuotedWord {
			names = append(names, strings.ToLower(t.Value()))
		}
	}
	depth, column := 0, 0
	for i++; i < len(s.Tokens); i++ {
		t := s.Tokens[i]
		switch {
		case t.Is("on") && depth == 0:
			return found
		case t.Is("("):
			depth++
			if depth == 1 {
				column = 0
			}
		case t.Is(")"):
			depth--
		case t.Is(",") && depth == 1:
			column++
		case t.Kind == Param && depth == 1 && column < len(names):
			found[ParamIndex(t)] = columns[names[column]]
		}
	}
	return found
}

// neighbourType looks for a column that the placeholder at token i is compared
// with or assigned to.
func (s *Statement) neighbourType(i int, columns ColumnTypes) uint32 {
	if w := s.word(max(i-1, 0)); w == "limit" || w == "offset" {
		return pgvalue.OIDInt8
	}
	for j := i - 1; j >= 0 && j > i-64; j-- {
		t := s.Tokens[j]
		if oid := columns[strings.ToLower(t.Value())]; oid != 0 && (t.Kind == Word || t.Kind == QuotedWord) {
			return oid
		}
		if t.Is("and") && !s.between(j) || t.Is("or") || t.Is("where") || t.Is("select") {
			break
		}
	}
	for j := i + 1; j < len(s.Tokens) && j <= i+4; j++ {
		t := s.Tokens[j]
		if oid := columns[strings.ToLower(t.Value())]; oid != 0 {
			return oid
		}
		if t.Is("and") || t.Is("or") || t.Is(",") || t.Is(")") {
			break
		}
	}
	return 0
}

// between reports whether the AND at token i belongs to a BETWEEN.
func (s *Statement) between(i int) bool {
	for j := i - 1; j >= 0 && j > i-4; j-- {
		if s.Tokens[j].Is("between") {
			return true
		}
	}
	return false
}

// functionTypes gives the result types of functions that do not depend on
// their arguments.
var functionTypes = map[string]uint32{
	"count": pgvalue.OIDInt8, "length": pgvalue.OIDInt8, "row_number": pgvalue.OIDInt8, "rank": pgvalue.OIDInt8,
	"exists": pgvalue.OIDBool, "not": pgvalue.OIDBool, "true": pgvalue.OIDBool, "false": pgvalue.OIDBool,
	"avg": pgvalue.OIDFloat8, "random": pgvalue.OIDFloat8,
	"lower": pgvalue.OIDText, "upper": pgvalue.OIDText, "substr": pgvalue.OIDText, "string_agg": pgvalue.OIDText,
	"group_concat": pgvalue.OIDText, "replace": pgvalue.OIDText, "version": pgvalue.OIDText,
	"hex": pgvalue.OIDText, "printf": pgvalue.OIDText, "now": pgvalue.OIDTimestamptz,
	"current_timestamp": pgvalue.OIDTimestamptz,
}

// ExprType guesses the type of the n-th result column, which is an
// expression: a cast, a known function, the first column in it, a literal, or
// text.
func (s *Statement) ExprType(n int, columns ColumnTypes, params []uint32) uint32 {
	expr := s.resultItem(n)
	if len(expr) == 0 {
		return pgvalue.OIDText
	}
	if oid := trailingCast(expr); oid != 0 {
		return oid
	}
	depth := 0
	for _, t := range expr {
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case t.Is("||"):
			return pgvalue.OIDText
		case depth == 0 && (t.Is("=") || t.Is("<") || t.Is(">") || t.Is("is") || t.Is("in") || t.Is("<>")):
			return pgvalue.OIDBool
		}
	}
	for _, t := range expr {
		if oid := tokenType(t, columns, params); oid != 0 {
			return oid
		}
	}
	return pgvalue.OIDText
}

func trailingCast(expr []Token) uint32 {
	for i := len(expr) - 2; i >= 0; i-- {
		if expr[i].Is(")") {
			return 0
		}
		if expr[i].Is("::") {
			name, _ := typeName(expr[i+1:])
			return pgvalue.OIDOf(name)
		}
	}
	return 0
}

func tokenType(t Token, columns ColumnTypes, params []uint32) uint32 {
	switch t.Kind {
	case Word:
		if oid := columns[t.Text]; oid != 0 {
			return oid
		}
		return functionTypes[t.Text]
	case QuotedWord:
		return columns[strings.ToLower(t.Value())]
	case String:
		return pgvalue.OIDText
	case Number:
		if strings.Contains(t.Text, ".") {
			return pgvalue.OIDFloat8
		}
		return pgvalue.OIDInt8
	case Param:
		if i := ParamIndex(t); i < len(params) {
			return params[i]
		}
	}
	return 0
}

// resultItem returns the tokens of the n-th item of the select list or the
// RETURNING clause, without an alias.
func (s *Statement) resultItem(n int) []Token {
	start := s.Returning
	if start == 0 {
		start = 1 + max(0, s.mainSelect())
	}
	depth, item, from := 0, 0, start
	for i := start; i <= len(s.Tokens); i++ {
		end := i == len(s.Tokens)
		switch {
		case end || depth == 0 && (s.Tokens[i].Is("from") || s.Tokens[i].Is("as") && item == n || s.Tokens[i].Is(",")):
			if item == n {
				return s.Tokens[from:i]
			}
			if end || s.Tokens[i].Is("from") {
				return nil
			}
			item, from = item+1, i+1
		case s.Tokens[i].Is("("):
			depth++
		case s.Tokens[i].Is(")"):
			depth--
		}
	}
	return nil
}

// mainSelect returns the index of the SELECT outside of parentheses, or -1.
func (s *Statement) mainSelect() int {
	depth := 0
	for i, t := range s.Tokens {
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case t.Is("select") && depth == 0:
			return i
		}
	}
	return -1
}
