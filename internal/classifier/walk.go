package classifier

import (
	"slices"

	pg_query "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// findings are the results of a walk over the syntax tree of one statement.
type findings struct {
	tables []string
	// sideEffects is set when the statement is not certain to be free of side
	// effects.
	sideEffects bool
	// pinning is set when the statement leaves state in the server connection.
	pinning bool
}

// walk visits a node and its descendants. ctes are the names of the common table
// expressions in scope.
func (f *findings) walk(node protoreflect.Message, ctes []string) {
	switch n := node.Interface().(type) {
	case *pg_query.RangeVar:
		f.addTable(n, ctes)
		return
	case *pg_query.FuncCall:
		f.addFunction(n)
	case *pg_query.SelectStmt:
		if n.WithClause != nil {
			ctes = f.walkWith(n.WithClause, ctes)
		}
		if n.IntoClause != nil || len(n.LockingClause) > 0 {
			f.sideEffects = true
		}
	case *pg_query.InsertStmt:
		f.sideEffects = true
		ctes = f.walkWith(n.WithClause, ctes)
	case *pg_query.UpdateStmt:
		f.sideEffects = true
		ctes = f.walkWith(n.WithClause, ctes)
	case *pg_query.DeleteStmt:
		f.sideEffects = true
		ctes = f.walkWith(n.WithClause, ctes)
	case *pg_query.MergeStmt:
		f.sideEffects = true
		ctes = f.walkWith(n.WithClause, ctes)
	case *pg_query.WithClause:
		return // visited by walkWith, which knows the scopes
	}
	f.walkFields(node, ctes)
}

func (f *findings) walkFields(m protoreflect.Message, ctes []string) {
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case fd.Message() == nil:
		case fd.IsList():
			list := v.List()
			for i := range list.Len() {
				f.walk(list.Get(i).Message(), ctes)
			}
		default:
			f.walk(v.Message(), ctes)
		}
		return true
	})
}

// walkWith visits the common table expressions of a WITH clause and returns the
// names in scope for the statement to which the clause belongs. Without
// RECURSIVE, an expression can refer only to those before it.
func (f *findings) walkWith(w *pg_query.WithClause, ctes []string) []string {
	if w == nil {
		return ctes
	}
	scope := slices.Clone(ctes)
	if w.Recursive {
		for _, n := range w.Ctes {
			scope = append(scope, n.GetCommonTableExpr().GetCtename())
		}
	}
	for _, n := range w.Ctes {
		cte := n.GetCommonTableExpr()
		if cte == nil {
			f.sideEffects = true
			continue
		}
		f.walkFields(cte.ProtoReflect(), scope)
		if !w.Recursive {
			scope = append(slices.Clip(scope), cte.Ctename)
		}
	}
	return scope
}

func (f *findings) addTable(n *pg_query.RangeVar, ctes []string) {
	if n.Relpersistence == "t" {
		f.pinning = true
	}
	if n.Schemaname == "" && slices.Contains(ctes, n.Relname) {
		return
	}
	name := n.Relname
	if n.Schemaname != "" && n.Schemaname != "public" {
		name = n.Schemaname + "." + name
	}
	if n.Catalogname != "" {
		name = n.Catalogname + "." + name
	}
	if !slices.Contains(f.tables, name) {
		f.tables = append(f.tables, name)
	}
}

func (f *findings) addFunction(n *pg_query.FuncCall) {
	schema, name := "", ""
	for _, part := range n.Funcname {
		schema, name = name, part.GetString_().GetSval()
	}
	if sessionFunctions[name] {
		f.pinning = true
	}
	if !pureFunctions[name] || (schema != "" && schema != "pg_catalog") || len(n.Funcname) > 2 {
		f.sideEffects = true
	}
}
