package checker

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Place is where a key stands in a file. Line and Column count from 1.
type Place struct {
	Line   int
	Column int
}

// occurrence is one appearance of a key.
type occurrence struct {
	// path contains array indexes; names does not.
	path  string
	names []string
	place Place
	// start and end delimit the bytes of the whole expression. end is 0 for a
	// table header.
	start, end int
	// first is the place of the earlier definition of the same key.
	first *Place
}

// places is an index of the keys of a TOML document. It covers the document
// up to the first syntax error.
type places struct {
	parser unstable.Parser
	list   []occurrence
	byPath map[string]Place
	arrays map[string]int
	// valid is the length of the prefix that consists of complete expressions.
	valid  int
	broken bool
	// line and lineStart follow the offsets, which only grow.
	offset, line, lineStart int
}

func indexPlaces(data []byte) *places {
	p := &places{byPath: map[string]Place{}, arrays: map[string]int{}, line: 1}
	p.parser.Reset(data)
	var table scope
	for p.parser.NextExpression() {
		e := p.parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			end := int(e.Raw.Offset + e.Raw.Length)
			p.addKeyValue(table, e, int(e.Raw.Offset), end)
			p.valid = end
		case unstable.Table:
			table = p.addTable(e)
		case unstable.ArrayTable:
			table = p.addArrayTable(e)
		}
	}
	p.broken = p.parser.Error() != nil
	return p
}

// scope is the table that following keys belong to.
type scope struct {
	path  string
	names []string
}

func (s scope) child(name string) scope {
	path := name
	if s.path != "" {
		path = s.path + "." + name
	}
	return scope{path: path, names: append(s.names[:len(s.names):len(s.names)], name)}
}

func (s scope) element(i int) scope {
	return scope{path: fmt.Sprintf("%s[%d]", s.path, i), names: s.names}
}

// enter descends into the newest element where the path is an array of tables.
func (p *places) enter(s scope) scope {
	if n := p.arrays[s.path]; n > 0 {
		return s.element(n - 1)
	}
	return s
}

func (p *places) addTable(e *unstable.Node) scope {
	s, node := p.descend(scope{}, e.Key())
	s = p.enter(s)
	p.add(s, node, 0, 0)
	return s
}

func (p *places) addArrayTable(e *unstable.Node) scope {
	s, node := p.descend(scope{}, e.Key())
	i := p.arrays[s.path]
	p.arrays[s.path] = i + 1
	s = s.element(i)
	p.add(s, node, 0, 0)
	return s
}

func (p *places) addKeyValue(parent scope, e *unstable.Node, start, end int) {
	s, node := p.descend(parent, e.Key())
	p.add(s, node, start, end)
	p.addValue(s, e.Value(), start, end)
}

func (p *places) addValue(s scope, value *unstable.Node, start, end int) {
	switch value.Kind {
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			p.addKeyValue(s, it.Node(), start, end)
		}
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); i++ {
			p.addValue(s.element(i), it.Node(), start, end)
		}
	}
}

// descend follows a dotted key and returns the node of its last name.
func (p *places) descend(s scope, key unstable.Iterator) (scope, *unstable.Node) {
	var node *unstable.Node
	for key.Next() {
		if node != nil {
			s = p.enter(s)
		}
		node = key.Node()
		s = s.child(string(node.Data))
	}
	return s, node
}

func (p *places) add(s scope, node *unstable.Node, start, end int) {
	o := occurrence{path: s.path, names: s.names, place: p.placeOf(node), start: start, end: end}
	if first, ok := p.byPath[s.path]; ok {
		o.first = &first
	} else {
		p.byPath[s.path] = o.place
	}
	p.list = append(p.list, o)
}

// has reports whether the key is set.
func (p *places) has(path string) bool {
	_, ok := p.byPath[path]
	return ok
}

// find returns the place of the key, or of the nearest enclosing key that is
// set, or the start of the file.
func (p *places) find(path string) Place {
	for path != "" {
		if place, ok := p.byPath[path]; ok {
			return place
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return Place{Line: 1, Column: 1}
}

// expression returns the last occurrence that starts at or before the offset
// inside a key-value expression that contains the offset.
func (p *places) expression(line, column, offset int) (occurrence, bool) {
	var found occurrence
	ok := false
	for _, o := range p.list {
		before := o.place.Line < line || o.place.Line == line && o.place.Column <= column
		if o.end > 0 && before && o.start <= offset && offset < o.end {
			found, ok = o, true
		}
	}
	return found, ok
}

// placeOf returns the place of a node. Nodes come in the order of the file.
// The parser's Shape would count from the start of the file each time.
func (p *places) placeOf(node *unstable.Node) Place {
	offset := int(node.Raw.Offset)
	data := p.parser.Data()
	for ; p.offset < offset; p.offset++ {
		if data[p.offset] == '\n' {
			p.line++
			p.lineStart = p.offset + 1
		}
	}
	return Place{Line: p.line, Column: offset - p.lineStart + 1}
}
