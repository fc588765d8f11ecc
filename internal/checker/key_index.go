package checker

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Position is where a key is in a file. Line and Column count from 1; Column
// counts bytes.
type Position struct {
	Line   int
	Column int
}

// occurrence is one appearance of a key.
type occurrence struct {
	// path contains array indexes; names does not.
	path     string
	names    []string
	position Position
	// start and end delimit the bytes of the whole expression. end is 0 for a
	// table header.
	start, end int
	// firstPosition is where the same key was defined before, or nil.
	firstPosition *Position
}

// keyIndex is an index of the keys of a TOML document. It covers the document
// up to the first syntax error.
type keyIndex struct {
	parser      unstable.Parser
	occurrences []occurrence
	byPath      map[string]Position
	arrays      map[string]int
	// validLength is the length in bytes of the prefix that consists of complete
	// expressions.
	validLength    int
	hasSyntaxError bool
	// offset is how far positionOf has counted lines; it only grows. line and
	// lineStart are the line at offset and the offset of its first byte.
	offset, line, lineStart int
}

func indexKeys(data []byte) *keyIndex {
	p := &keyIndex{byPath: map[string]Position{}, arrays: map[string]int{}, line: 1}
	p.parser.Reset(data)
	var table scope
	for p.parser.NextExpression() {
		e := p.parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			end := int(e.Raw.Offset + e.Raw.Length)
			p.addKeyValue(table, e, int(e.Raw.Offset), end)
			p.validLength = end
		case unstable.Table:
			table = p.addTable(e)
		case unstable.ArrayTable:
			table = p.addArrayTable(e)
		}
	}
	p.hasSyntaxError = p.parser.Error() != nil
	return p
}

// scope is the table that the following keys belong to.
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

// lastElement returns the scope of the newest element when the scope is an
// array of tables, and otherwise the scope itself.
func (p *keyIndex) lastElement(s scope) scope {
	if n := p.arrays[s.path]; n > 0 {
		return s.element(n - 1)
	}
	return s
}

func (p *keyIndex) addTable(e *unstable.Node) scope {
	s, node := p.descend(scope{}, e.Key())
	s = p.lastElement(s)
	p.add(s, node, 0, 0)
	return s
}

func (p *keyIndex) addArrayTable(e *unstable.Node) scope {
	s, node := p.descend(scope{}, e.Key())
	i := p.arrays[s.path]
	p.arrays[s.path] = i + 1
	s = s.element(i)
	p.add(s, node, 0, 0)
	return s
}

func (p *keyIndex) addKeyValue(parent scope, e *unstable.Node, start, end int) {
	s, node := p.descend(parent, e.Key())
	p.add(s, node, start, end)
	p.addValue(s, e.Value(), start, end)
}

func (p *keyIndex) addValue(s scope, value *unstable.Node, start, end int) {
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

// descend resolves a dotted key and returns the node of its last name.
func (p *keyIndex) descend(s scope, key unstable.Iterator) (scope, *unstable.Node) {
	var node *unstable.Node
	for key.Next() {
		if node != nil {
			s = p.lastElement(s)
		}
		node = key.Node()
		s = s.child(string(node.Data))
	}
	return s, node
}

func (p *keyIndex) add(s scope, node *unstable.Node, start, end int) {
	o := occurrence{path: s.path, names: s.names, position: p.positionOf(node), start: start, end: end}
	if first, ok := p.byPath[s.path]; ok {
		o.firstPosition = &first
	} else {
		p.byPath[s.path] = o.position
	}
	p.occurrences = append(p.occurrences, o)
}

// has reports whether the key is set.
func (p *keyIndex) has(path string) bool {
	_, ok := p.byPath[path]
	return ok
}

// position returns the position of the key, or of the nearest enclosing key
// that is set, or the start of the file.
func (p *keyIndex) position(path string) Position {
	for path != "" {
		if first, ok := p.byPath[path]; ok {
			return first
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return Position{Line: 1, Column: 1}
}

// occurrenceAt returns the last occurrence that starts at or before the line
// and column and whose key-value expression contains the offset.
func (p *keyIndex) occurrenceAt(line, column, offset int) (occurrence, bool) {
	var found occurrence
	ok := false
	for _, o := range p.occurrences {
		before := o.position.Line < line || o.position.Line == line && o.position.Column <= column
		if o.end > 0 && before && o.start <= offset && offset < o.end {
			found, ok = o, true
		}
	}
	return found, ok
}

// positionOf returns the position of a node. Nodes must be passed in the order
// of the file, so that lines are counted only once; the parser's Shape would
// count from the start of the file each time.
func (p *keyIndex) positionOf(node *unstable.Node) Position {
	offset := int(node.Raw.Offset)
	data := p.parser.Data()
	for ; p.offset < offset; p.offset++ {
		if data[p.offset] == '\n' {
			p.line++
			p.lineStart = p.offset + 1
		}
	}
	return Position{Line: p.line, Column: offset - p.lineStart + 1}
}
