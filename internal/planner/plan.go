package planner

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/resolver"
)

// Plan describes what a batch does.
type Plan struct {
	// Executed are the statements that are executed, in order.
	Executed []classifier.Statement
	// Parsed are the statements that are only parsed or described.
	Parsed []classifier.Statement
	// NeedsServer is false for a batch that consists of Sync and Close messages
	// with which the server is not concerned.
	NeedsServer bool
	// LeavesTransactionOpen is set when the batch starts outside a transaction
	// and leaves one open.
	LeavesTransactionOpen bool
	// MayCommit is set when the batch may commit something.
	MayCommit bool
	// ImplicitWrite is set when a statement outside an explicit transaction may
	// write.
	ImplicitWrite bool
	// ExplicitTransaction is set when the batch is inside an explicit
	// transaction at any point.
	ExplicitTransaction bool
	// ReturnsData is set when a statement outside an explicit transaction may
	// return content of the database.
	ReturnsData bool
	// RequestsReadOnly is set when a statement requests a read-only transaction.
	RequestsReadOnly bool
	// CommitsItself is set when a statement outside an explicit transaction may
	// commit a part of its work before it fails.
	CommitsItself bool
	// Refusal is the error response if the proxy cannot run the batch.
	Refusal *pgproto3.ErrorResponse
}

// Input is a batch with the state of the session before it.
type Input struct {
	// Query is the message of a simple query. If nil, Messages are those of the
	// extended protocol.
	Query    *pgproto3.Query
	Messages []pgproto3.FrontendMessage
	// InTransaction is set inside an explicit transaction, and HasServer while
	// the session holds a server connection.
	InTransaction bool
	HasServer     bool
	// Classifier classifies the query texts.
	Classifier *classifier.Classifier
	// Statement and Portal return the prepared statements and portals of earlier
	// batches.
	Statement func(name string) (*classifier.Result, bool)
	Portal    func(name string) (*classifier.Result, bool)
}

// builder builds the plan of a batch.
type builder struct {
	in   Input
	plan *Plan
	// stmts and portals are those that the batch itself creates.
	stmts   map[string]*classifier.Result
	portals map[string]*classifier.Result
}

// Make returns the plan of a batch.
func Make(in Input) *Plan {
	b := builder{in: in, plan: &Plan{}, stmts: make(map[string]*classifier.Result), portals: make(map[string]*classifier.Result)}
	if in.Query != nil {
		b.plan.NeedsServer = true
		b.plan.Executed = in.Classifier.Classify(in.Query.String).Statements
	}
	for _, m := range in.Messages {
		b.add(m)
	}
	b.plan.simulate(in.InTransaction)
	return b.plan
}

func (b *builder) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		b.plan.NeedsServer = true
		r := b.in.Classifier.Classify(m.Query)
		b.plan.Parsed = append(b.plan.Parsed, r.Statements...)
		b.stmts[m.Name] = r
	case *pgproto3.Bind:
		b.plan.NeedsServer = true
		if r, ok := b.statement(m.PreparedStatement); ok {
			b.portals[m.DestinationPortal] = r
		}
	case *pgproto3.Describe:
		b.plan.NeedsServer = true
		if r, ok := b.statement(m.Name); ok && m.ObjectType == 'S' {
			b.plan.Parsed = append(b.plan.Parsed, r.Statements...)
		}
	case *pgproto3.Execute:
		b.plan.NeedsServer = true
		b.plan.Executed = append(b.plan.Executed, b.portal(m.Portal)...)
	case *pgproto3.Close:
		if m.ObjectType == 'P' {
			b.plan.NeedsServer = b.plan.NeedsServer || b.in.HasServer
		}
	}
}

func (b *builder) statement(name string) (*classifier.Result, bool) {
	if r, ok := b.stmts[name]; ok {
		return r, true
	}
	return b.in.Statement(name)
}

// portal returns the statements of a portal. An unknown portal counts as a
// possible write.
func (b *builder) portal(name string) []classifier.Statement {
	if r, ok := b.portals[name]; ok {
		return r.Statements
	}
	if r, ok := b.in.Portal(name); ok {
		return r.Statements
	}
	return []classifier.Statement{{Kind: classifier.Unparsed}}
}

// simulate follows the transaction state through the statements and sets the
// fields of the plan accordingly.
func (p *Plan) simulate(inTx bool) {
	start, ended := inTx, false
	p.ExplicitTransaction = inTx
	for _, st := range p.Executed {
		p.RequestsReadOnly = p.RequestsReadOnly || st.ReadOnly
		p.CommitsItself = p.CommitsItself || (st.CommitsItself && !inTx)
		switch st.Kind {
		case classifier.Begin:
			inTx, p.ExplicitTransaction = true, true
		case classifier.Commit:
			p.MayCommit, ended = true, true
			inTx = false
		case classifier.Rollback:
			inTx = false
		case classifier.Copy:
			p.refuse("COPY is not supported by the proxy")
		case classifier.TooComplex:
			p.refuseComplex()
		case classifier.Unsupported:
			p.refuse("two-phase commit and AND CHAIN are not supported by the proxy")
		case classifier.Unparsed:
			p.MayCommit, p.ReturnsData = true, true
			p.ImplicitWrite = p.ImplicitWrite || !inTx
		default:
			p.ImplicitWrite = p.ImplicitWrite || (!inTx && st.Kind.MayWrite())
			p.ReturnsData = p.ReturnsData || (!inTx && returnsData(st.Kind))
		}
	}
	for _, st := range p.Parsed {
		switch st.Kind {
		case classifier.Copy:
			p.refuse("COPY is not supported by the proxy")
		case classifier.TooComplex:
			p.refuseComplex()
		}
	}
	if ended && inTx {
		// The proxy could confirm the commit only by a query inside the
		// transaction that follows.
		p.refuse("a batch that commits and leaves another transaction open is not supported by the proxy")
	}
	p.MayCommit = p.MayCommit || p.ImplicitWrite
	p.LeavesTransactionOpen = inTx && !start
}

// returnsData reports whether the response to a statement may contain data of
// the database.
func returnsData(k classifier.Kind) bool { return k == classifier.Read || k.MayWrite() }

func (p *Plan) refuse(why string) {
	if p.Refusal == nil {
		p.Refusal = resolver.Error(resolver.CodeNotSupported, why, "")
	}
}

func (p *Plan) refuseComplex() {
	if p.Refusal == nil {
		p.Refusal = resolver.Error(resolver.CodeTooComplex, "statement is too complex for the proxy", "")
	}
}

// Merge adds the plan of a later part of the same batch.
func (p *Plan) Merge(q *Plan) {
	p.Executed = append(p.Executed, q.Executed...)
	p.MayCommit = p.MayCommit || q.MayCommit
	p.ImplicitWrite = p.ImplicitWrite || q.ImplicitWrite
	p.CommitsItself = p.CommitsItself || q.CommitsItself
	p.ExplicitTransaction = p.ExplicitTransaction || q.ExplicitTransaction
	p.ReturnsData = p.ReturnsData || q.ReturnsData
	p.LeavesTransactionOpen = q.LeavesTransactionOpen
}

// ReadOnly reports whether the batch runs outside a transaction and has only
// reads, whether executed, parsed or described.
func (p *Plan) ReadOnly() bool {
	if p.ExplicitTransaction || p.MayCommit {
		return false
	}
	return len(p.Executed)+len(p.Parsed) > 0 && allReads(p.Executed) && allReads(p.Parsed)
}

func allReads(list []classifier.Statement) bool {
	for _, st := range list {
		if st.Kind != classifier.Read {
			return false
		}
	}
	return true
}

// Tables returns the tables of all reads. If a read names no table, the result
// is nil, so that no read rule applies.
func (p *Plan) Tables() []string {
	if len(p.Executed) == 1 && len(p.Parsed) == 0 {
		return p.Executed[0].Tables
	}
	var tables []string
	for _, list := range [][]classifier.Statement{p.Executed, p.Parsed} {
		for _, st := range list {
			if len(st.Tables) == 0 {
				return nil
			}
			tables = append(tables, st.Tables...)
		}
	}
	return tables
}

// Pins reports whether the batch leaves state in the server connection, which
// then stays with the session.
func (p *Plan) Pins() bool {
	for _, st := range p.Executed {
		if st.Kind == classifier.Pinning || (st.Kind == classifier.SetSession && !IsNonPinning(st)) {
			return true
		}
	}
	return false
}

// IsAnsweredByProxy reports whether the proxy answers a statement itself.
func IsAnsweredByProxy(st classifier.Statement) bool {
	switch st.Kind {
	case classifier.HubShow, classifier.Discard, classifier.Deallocate:
		return true
	case classifier.HubSet:
		return !st.Local
	case classifier.SetSession:
		return IsNonPinning(st)
	}
	return false
}

// AnsweredByProxy reports whether the proxy answers all statements of the batch.
// The result partly is true if it answers only some and one of them cannot be
// answered by a server.
func (p *Plan) AnsweredByProxy() (all, partly bool) {
	all = true
	for _, list := range [][]classifier.Statement{p.Executed, p.Parsed} {
		for _, st := range list {
			if !IsAnsweredByProxy(st) {
				all = false
			} else if st.Kind != classifier.SetSession {
				partly = true
			}
		}
	}
	all = all && len(p.Executed)+len(p.Parsed) > 0
	return all, partly && !all
}
