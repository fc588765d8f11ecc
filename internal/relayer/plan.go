package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/resolver"
)

// plan is what a batch does.
type plan struct {
	// executed are the statements that run, in order.
	executed []classifier.Statement
	// parsed are the statements that are parsed or described only.
	parsed []classifier.Statement
	// needsServer is false for a batch of Sync and Close messages.
	needsServer bool
	// begins is set when the batch starts outside a transaction and leaves one
	// open.
	begins bool
	// commits is set when something may be committed by the batch.
	commits bool
	// implicit is set when a statement outside an explicit transaction may
	// write.
	implicit bool
	// explicit is set when the batch runs in an explicit transaction at any
	// point.
	explicit bool
	// reads is set when results outside an explicit transaction are returned.
	reads bool
	// readOnlyTx is set when a statement asks for a read-only transaction.
	readOnlyTx bool
	// refusal is the reason for which the batch cannot run.
	refusal *pgproto3.ErrorResponse
}

// planner builds the plan of a batch.
type planner struct {
	s *Session
	p *plan
	// stmts and portals are those that the batch itself makes.
	stmts   map[string]*classifier.Result
	portals map[string]*classifier.Result
}

func (s *Session) plan(b *batch) *plan {
	pl := planner{s: s, p: &plan{}}
	if b.query != nil {
		pl.p.needsServer = true
		pl.p.executed = s.r.parts.Classifier.Classify(b.query.String).Statements
	}
	for _, m := range b.msgs {
		pl.add(m)
	}
	pl.p.simulate(s.held.tx.active || s.lost)
	return pl.p
}

func (pl *planner) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		pl.p.needsServer = true
		r := pl.s.r.parts.Classifier.Classify(m.Query)
		pl.p.parsed = append(pl.p.parsed, r.Statements...)
		setEntry(&pl.stmts, m.Name, r)
	case *pgproto3.Bind:
		pl.p.needsServer = true
		if r, ok := pl.statement(m.PreparedStatement); ok {
			setEntry(&pl.portals, m.DestinationPortal, r)
		}
	case *pgproto3.Describe:
		pl.p.needsServer = true
		if r, ok := pl.statement(m.Name); ok && m.ObjectType == 'S' {
			pl.p.parsed = append(pl.p.parsed, r.Statements...)
		}
	case *pgproto3.Execute:
		pl.p.needsServer = true
		pl.p.executed = append(pl.p.executed, pl.portal(m.Portal)...)
	case *pgproto3.Close:
		if m.ObjectType == 'P' {
			pl.p.needsServer = pl.p.needsServer || pl.s.held.conn != nil
		}
	}
}

func (pl *planner) statement(name string) (*classifier.Result, bool) {
	if r, ok := pl.stmts[name]; ok {
		return r, true
	}
	st, ok := pl.s.stmts.Get(name)
	if !ok {
		return nil, false
	}
	return st.Result, true
}

// portal returns the statements behind a portal. One that is not known is
// treated as a write.
func (pl *planner) portal(name string) []classifier.Statement {
	if r, ok := pl.portals[name]; ok {
		return r.Statements
	}
	if r, ok := pl.s.portals[name]; ok {
		return r.Statements
	}
	return []classifier.Statement{{Kind: classifier.Unparsed}}
}

func setEntry[V any](m *map[string]V, key string, value V) {
	if *m == nil {
		*m = make(map[string]V)
	}
	(*m)[key] = value
}

// simulate follows the transaction state through the statements.
func (p *plan) simulate(inTx bool) {
	start, ended := inTx, false
	p.explicit = inTx
	for _, st := range p.executed {
		p.readOnlyTx = p.readOnlyTx || st.ReadOnly
		switch st.Kind {
		case classifier.Begin:
			inTx, p.explicit = true, true
		case classifier.Commit:
			p.commits, ended = true, true
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
			p.commits, p.reads = true, true
			p.implicit = p.implicit || !inTx
		default:
			p.implicit = p.implicit || (!inTx && st.Kind.MayWrite())
			p.reads = p.reads || (!inTx && returnsData(st.Kind))
		}
	}
	for _, st := range p.parsed {
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
	p.commits = p.commits || p.implicit
	p.begins = inTx && !start
}

// returnsData reports whether the answer to a statement shows the database's
// content.
func returnsData(k classifier.Kind) bool { return k == classifier.Read || k.MayWrite() }

func (p *plan) refuse(why string) {
	if p.refusal == nil {
		p.refusal = resolver.Error(resolver.CodeNotSupported, why, "")
	}
}

func (p *plan) refuseComplex() {
	if p.refusal == nil {
		p.refusal = resolver.Error(resolver.CodeTooComplex, "statement is too complex for the proxy", "")
	}
}

// merge adds the plan of a later part of the same open batch.
func (p *plan) merge(q *plan) {
	p.executed = append(p.executed, q.executed...)
	p.commits = p.commits || q.commits
	p.implicit = p.implicit || q.implicit
	p.explicit = p.explicit || q.explicit
	p.reads = p.reads || q.reads
	p.begins = q.begins
}

// readOnly reports whether the batch runs outside a transaction and is proved
// to be read-only. A batch that only parses or describes reads counts.
func (p *plan) readOnly() bool {
	if p.explicit || p.commits {
		return false
	}
	return len(p.executed)+len(p.parsed) > 0 && allReads(p.executed) && allReads(p.parsed)
}

func allReads(list []classifier.Statement) bool {
	for _, st := range list {
		if st.Kind != classifier.Read {
			return false
		}
	}
	return true
}

// tables returns the tables of all reads. A read without a table makes the
// result empty, so that no read rule applies.
func (p *plan) tables() []string {
	if len(p.executed) == 1 && len(p.parsed) == 0 {
		return p.executed[0].Tables
	}
	var tables []string
	for _, list := range [][]classifier.Statement{p.executed, p.parsed} {
		for _, st := range list {
			if len(st.Tables) == 0 {
				return nil
			}
			tables = append(tables, st.Tables...)
		}
	}
	return tables
}

// pins reports whether the batch leaves state in the server connection.
func (p *plan) pins() bool {
	for _, st := range p.executed {
		if st.Kind == classifier.Pinning || (st.Kind == classifier.SetSession && !isHarmless(st)) {
			return true
		}
	}
	return false
}

// isLocal reports whether the proxy answers a statement itself.
func isLocal(st classifier.Statement) bool {
	switch st.Kind {
	case classifier.HubShow, classifier.Discard, classifier.Deallocate:
		return true
	case classifier.HubSet:
		return !st.Local
	case classifier.SetSession:
		return isHarmless(st)
	}
	return false
}

// local reports whether the proxy answers all statements of the batch, and
// mixed whether it answers some of those that only it can answer.
func (p *plan) local() (all, mixed bool) {
	all = true
	for _, list := range [][]classifier.Statement{p.executed, p.parsed} {
		for _, st := range list {
			if !isLocal(st) {
				all = false
			} else if st.Kind != classifier.SetSession {
				mixed = true
			}
		}
	}
	all = all && len(p.executed)+len(p.parsed) > 0
	return all, mixed && !all
}

// evidence is what the command tags of a transaction prove about writes.
type evidence int

const (
	// provedReadOnly means that no statement can have written.
	provedReadOnly evidence = iota
	// unproved means that a statement may have written.
	unproved
	// provedWrite means that a statement wrote a row.
	provedWrite
)

func (e evidence) commit(c resolver.Commit) resolver.Commit {
	c.Wrote = e == provedWrite
	c.ReadOnly = e == provedReadOnly
	return c
}
