package classifier

import (
	"errors"
	"strconv"
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
	"github.com/pganalyze/pg_query_go/v6/parser"
)

// hubPrefix is the prefix of the settings that the proxy handles itself.
const hubPrefix = "marigold."

// cursorHold is CURSOR_OPT_HOLD of PostgreSQL's parsenodes.h.
const cursorHold = 0x0020

// classify analyzes text without the cache.
func classify(text string) *Result {
	if isTooComplex(text) {
		return wholeText(text, TooComplex)
	}
	tree, err := pg_query.Parse(text)
	var syntax *parser.Error
	switch {
	case errors.As(err, &syntax):
		return wholeText(text, Unparsed)
	case err != nil: // the tree is too deep to be decoded
		return wholeText(text, TooComplex)
	}
	r := &Result{Statements: make([]Statement, 0, len(tree.Stmts))}
	for _, raw := range tree.Stmts {
		s := classifyNode(raw.Stmt)
		s.Start = int(raw.StmtLocation)
		s.End = s.Start + int(raw.StmtLen)
		if raw.StmtLen == 0 {
			s.End = len(text)
		}
		r.Statements = append(r.Statements, s)
	}
	return r
}

// wholeText returns a result that treats the text as one statement of kind k.
func wholeText(text string, k Kind) *Result {
	return &Result{Statements: []Statement{{Kind: k, End: len(text)}}}
}

func classifyNode(node *pg_query.Node) Statement {
	switch n := node.Node.(type) {
	case *pg_query.Node_SelectStmt:
		return classifySelect(n.SelectStmt)
	case *pg_query.Node_TransactionStmt:
		return classifyTransaction(n.TransactionStmt)
	case *pg_query.Node_VariableSetStmt:
		return classifySet(n.VariableSetStmt)
	case *pg_query.Node_VariableShowStmt:
		return classifyShow(n.VariableShowStmt)
	case *pg_query.Node_CopyStmt:
		return Statement{Kind: Copy}
	case *pg_query.Node_DiscardStmt:
		if n.DiscardStmt.Target == pg_query.DiscardMode_DISCARD_ALL {
			return Statement{Kind: Discard}
		}
		return Statement{Kind: Pinning}
	case *pg_query.Node_DeallocateStmt:
		return Statement{Kind: Deallocate, Setting: n.DeallocateStmt.Name}
	case *pg_query.Node_ListenStmt, *pg_query.Node_UnlistenStmt, *pg_query.Node_PrepareStmt,
		*pg_query.Node_ExecuteStmt, *pg_query.Node_LoadStmt:
		return Statement{Kind: Pinning}
	case *pg_query.Node_DeclareCursorStmt:
		if n.DeclareCursorStmt.Options&cursorHold != 0 {
			return Statement{Kind: Pinning}
		}
	}
	return classifyWrite(node)
}

func classifySelect(n *pg_query.SelectStmt) Statement {
	var f findings
	f.walk(n.ProtoReflect(), nil)
	switch {
	case f.pinning:
		return Statement{Kind: Pinning}
	case f.sideEffects:
		return Statement{Kind: Write}
	}
	return Statement{Kind: Read, Tables: f.tables}
}

// classifyWrite classifies a statement that counts as a write unless it pins the
// connection.
func classifyWrite(node *pg_query.Node) Statement {
	var f findings
	f.walk(node.ProtoReflect(), nil)
	s := Statement{Kind: Write, CommitsItself: commitsItself(node)}
	if f.pinning {
		s.Kind = Pinning
	}
	return s
}

func classifyTransaction(n *pg_query.TransactionStmt) Statement {
	if n.Chain {
		return Statement{Kind: Unsupported}
	}
	switch n.Kind {
	case pg_query.TransactionStmtKind_TRANS_STMT_BEGIN, pg_query.TransactionStmtKind_TRANS_STMT_START:
		return Statement{Kind: Begin, ReadOnly: requestsReadOnly(n.Options)}
	case pg_query.TransactionStmtKind_TRANS_STMT_COMMIT:
		return Statement{Kind: Commit}
	case pg_query.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return Statement{Kind: Rollback}
	case pg_query.TransactionStmtKind_TRANS_STMT_SAVEPOINT, pg_query.TransactionStmtKind_TRANS_STMT_RELEASE,
		pg_query.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return Statement{Kind: Savepoint}
	}
	return Statement{Kind: Unsupported} // two-phase commit
}

func classifySet(n *pg_query.VariableSetStmt) Statement {
	s := Statement{Kind: SetSession, ReadOnly: requestsReadOnly(n.Args), Setting: strings.ToLower(n.Name), Local: n.IsLocal}
	if n.Kind == pg_query.VariableSetKind_VAR_SET_VALUE && len(n.Args) == 1 {
		s.Value, s.HasValue = constant(n.Args[0].GetAConst())
	}
	switch {
	case strings.HasPrefix(s.Setting, hubPrefix):
		s.Kind = HubSet
	case n.IsLocal, s.Setting == "transaction", s.Setting == "transaction snapshot":
		s.Kind = SetLocal
	}
	return s
}

// requestsReadOnly reports whether the options of a transaction include READ ONLY.
func requestsReadOnly(options []*pg_query.Node) bool {
	for _, o := range options {
		def := o.GetDefElem()
		if def.GetDefname() == "transaction_read_only" && def.GetArg().GetAConst().GetIval().GetIval() != 0 {
			return true
		}
	}
	return false
}

// constant returns the text of a constant, and false if c is none or is NULL.
func constant(c *pg_query.A_Const) (string, bool) {
	if c == nil || c.Isnull {
		return "", false
	}
	switch v := c.Val.(type) {
	case *pg_query.A_Const_Sval:
		return v.Sval.Sval, true
	case *pg_query.A_Const_Ival:
		return strconv.Itoa(int(v.Ival.Ival)), true
	case *pg_query.A_Const_Fval:
		return v.Fval.Fval, true
	case *pg_query.A_Const_Boolval:
		if v.Boolval.Boolval {
			return "on", true
		}
		return "off", true
	}
	return "", false
}

func classifyShow(n *pg_query.VariableShowStmt) Statement {
	s := Statement{Kind: Show, Setting: strings.ToLower(n.Name)}
	if strings.HasPrefix(s.Setting, hubPrefix) {
		s.Kind = HubShow
	}
	return s
}
