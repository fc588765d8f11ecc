package planner

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/resolver"
)

// Plan is what a batch does.
type Plan struct {
	// Executed are the statements that run, in order.
	Executed []classifier.Statement
	// Parsed are the statements that are parsed or described only.
	Parsed []classifier.Statement
	// NeedsServer is false for a batch of Sync and Close messages.
	NeedsServer bool
	// Begins is set when the batch starts outside a transaction and leaves one
	// open.
	Begins bool
	// Commits is set when something may be committed by the batch.
	Commits bool
	// Implicit is set when a statement outside an explicit transaction may
	// write.
	Implicit bool
	// Explicit is set when the batch runs in an explicit transaction at any
	// point.
	Explicit bool
	// Reads is set when results outside an explicit transaction are returned.
	Reads bool
	// ReadOnlyTx is set when a statement asks for a read-only transaction.
	ReadOnlyTx bool
	// Procedure is set when a procedure runs, which may commit before it fails.
	Procedure bool
	// Refusal is the reason for which the batch cannot run.
	Refusal *pgproto3.ErrorResponse
}

// Input is a batch and what the session knows when it arrives.
type Input struct {
	// Query is set for a simple query, Messages for the extended protocol.
	Query    *pgproto3.Query
	Messages []pgproto3.FrontendMessage
	// InTransaction is set inside an explicit transaction, and HasServer while
	// the session keeps a server connection.
	InTransaction bool
	HasServer     bool
	Classifier    *classifier.Classifier
	// Statement and Portal look up what earlier batches prepared and bound.
	Statement func(name string) (*classifier.Result, bool)
	Portal    func(name string) (*classifier.Result, bool)
}

// planner builds the plan of a batch.
type planner struct {
	in Input
	p  *Plan
	// stmts and portals are those that the batch itself makes.
	stmts   map[string]*classifier.Result
	portals map[string]*classifier.Result
}

// Make returns the plan of a batch.
func Make(in Input) *Plan {
	pl := planner{in: in, p: &Plan{}, stmts: make(map[string]*classifier.Result), portals: make(map[string]*classifier.Result)}
	if in.Query != nil {
		pl.p.NeedsServer = true
		pl.p.Executed = in.Classifier.Classify(in.Query.String).Statements
	}
	for _, m := range in.Messages {
		pl.add(m)
	}
	pl.p.simulate(in.InTransaction)
	return pl.p
}

func (pl *planner) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		pl.p.NeedsServer = true
		r := pl.in.Classifier.Classify(m.Query)
		pl.p.Parsed = append(pl.p.Parsed, r.Statements...)
		pl.stmts[m.Name] = r
	case *pgproto3.Bind:
		pl.p.NeedsServer = true
		if r, ok := pl.statement(m.PreparedStatement); ok {
			pl.portals[m.DestinationPortal] = r
		}
	case *pgproto3.Describe:
		pl.p.NeedsServer = true
		if r, ok := pl.statement(m.Name); ok && m.ObjectType == 'S' {
			pl.p.Parsed = append(pl.p.Parsed, r.Statements...)
		}
	case *pgproto3.Execute:
		pl.p.NeedsServer = true
		pl.p.Executed = append(pl.p.Executed, pl.portal(m.Portal)...)
	case *pgproto3.Close:
		if m.ObjectType == 'P' {
			pl.p.NeedsServer = pl.p.NeedsServer || pl.in.HasServer
		}
	}
}

func (pl *planner) statement(name string) (*classifier.Result, bool) {
	if r, ok := pl.stmts[name]; ok {
		return r, true
	}
	return pl.in.Statement(name)
}

// portal returns the statements behind a portal. One that is not known is
// treated as a write.
func (pl *planner) portal(name string) []classifier.Statement {
	if r, ok := pl.portals[name]; ok {
		return r.Statements
	}
	if r, ok := pl.in.Portal(name); ok {
		return r.Statements
	}
	return []classifier.Statement{{Kind: classifier.Unparsed}}
}

// simulate follows the transaction state through the statements.
func (p *Plan) simulate(inTx bool) {
	start, ended := inTx, false
	p.Explicit = inTx
	for _, st := range p.Executed {
		p.ReadOnlyTx = p.ReadOnlyTx || st.ReadOnly
		p.Procedure = p.Procedure || (st.Procedure && !inTx)
		switch st.Kind {
		case classifier.Begin:
			inTx, p.Explicit = true, true
		case classifier.Commit:
			p.Commits, ended = true, true
			inTx = false
		case classifier.Rollback:
			inTx = false
		case classifier.Copy:
			p.refuse("COPY is not supported by the proxy")
		case classifier.TooComplex:
			p.refuseComplex()
		case classifier.Refused:
			p.refuse("two-phase commit and AND CHAIN are not supported by the proxy")
		case classifier.Unparsed:
			p.Commits, p.Reads = true, true
			p.Implicit = p.Implicit || !inTx
		default:
			p.Implicit = p.Implicit || (!inTx && st.Kind.MayWrite())
			p.Reads = p.Reads || (!inTx && returnsData(st.Kind))
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
		// The commit could only be confirmed by a query inside the transaction
		// that follows it.
		p.refuse("a batch that commits and leaves another transaction open is not supported by the proxy")
	}
	p.Commits = p.Commits || p.Implicit
	p.Begins = inTx && !start
}

// returnsData reports whether the answer to a statement shows the database's
// content.
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

// Merge adds the plan of a later part of the same open batch.
func (p *Plan) Merge(q *Plan) {
	p.Executed = append(p.Executed, q.Executed...)
	p.Commits = p.Commits || q.Commits
	p.Implicit = p.Implicit || q.Implicit
	p.Procedure = p.Procedure || q.Procedure
	p.Explicit = p.Explicit || q.Explicit
	p.Reads = p.Reads || q.Reads
	p.Begins = q.Begins
}

// ReadOnly reports whether the batch runs outside a transaction and is proved
// to be read-only. A batch that only parses or describes reads counts.
func (p *Plan) ReadOnly() bool {
	if p.Explicit || p.Commits {
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

// Tables returns the tables of all reads. A read without a table makes the
// result empty, so that no read rule applies.
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

// Pins reports whether the batch leaves state in the server connection.
func (p *Plan) Pins() bool {
	for _, st := range p.Executed {
		if st.Kind == classifier.Pinning || (st.Kind == classifier.SetSession && !IsHarmless(st)) {
			return true
		}
	}
	return false
}

// IsLocal reports whether the proxy answers a statement itself.
func IsLocal(st classifier.Statement) bool {
	switch st.Kind {
	case classifier.HubShow, classifier.Discard, classifier.Deallocate:
		return true
	case classifier.HubSet:
		return !st.Local
	case classifier.SetSession:
		return IsHarmless(st)
	}
	return false
}

// Local reports whether the proxy answers all statements of the batch, and
// mixed whether it answers some of those that only it can answer.
func (p *Plan) Local() (all, mixed bool) {
	all = true
	for _, list := range [][]classifier.Statement{p.Executed, p.Parsed} {
		for _, st := range list {
			if !IsLocal(st) {
				all = false
			} else if st.Kind != classifier.SetSession {
				mixed = true
			}
		}
	}
	all = all && len(p.Executed)+len(p.Parsed) > 0
	return all, mixed && !all
}
