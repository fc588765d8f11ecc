package replier

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/translator"
)

// textOID is the type of the column that SHOW returns.
const textOID = 25

// Config holds the parts of a session that its own answers use.
type Config struct {
	Output *responder.Output
	// Retainer keeps the connection that DISCARD ALL gives up.
	Retainer *retainer.Retainer
	// Statements are the caller's prepared statements.
	Statements *preparer.Set
	Parser     translator.Parser
	// Outcome settles and returns the outcome of the request with the key.
	Outcome func(key string) (string, *pgproto3.ErrorResponse)
}

// Replier answers batches of one session. It is used by one goroutine.
type Replier struct {
	cfg        Config
	requestKey string // marigold.request_key
}

// New returns a replier.
func New(cfg Config) *Replier { return &Replier{cfg: cfg} }

// answer is the proxy's own answer to one statement.
type answer struct {
	// value is the only column of the only row, if column is set.
	column, value string
	// status is a setting whose new value is reported to the caller.
	status *pgproto3.ParameterStatus
	tag    string
}

// Reply answers a batch of statements that the proxy runs itself. It returns the error that
// ends the batch, if any.
func (r *Replier) Reply(b *batcher.Batch) *pgproto3.ErrorResponse {
	if r.cfg.Retainer.Transaction().HasFailed {
		return resolver.Error(resolver.CodeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block", "")
	}
	return r.serve(b, r.run)
}

// ReplyRollback answers a batch that ends a transaction which has no server connection any
// more.
func (r *Replier) ReplyRollback(b *batcher.Batch) *pgproto3.ErrorResponse {
	return r.serve(b, func(classifier.Statement) (answer, *pgproto3.ErrorResponse) { return answer{tag: "ROLLBACK"}, nil })
}

// ReplyClosed answers a batch that only closes statements and portals with which no server is
// concerned.
func (r *Replier) ReplyClosed(b *batcher.Batch) {
	for _, m := range b.Messages {
		if c, ok := m.(*pgproto3.Close); ok && c.ObjectType == 'S' {
			r.cfg.Statements.Remove(c.Name)
		}
		r.cfg.Output.Send(&pgproto3.CloseComplete{})
	}
}

// run runs one statement that needs no server.
type run func(classifier.Statement) (answer, *pgproto3.ErrorResponse)

func (r *Replier) serve(b *batcher.Batch, do run) *pgproto3.ErrorResponse {
	x := exchange{cfg: &r.cfg, run: do, portals: make(map[string]portal)}
	if b.Query != nil {
		return x.query(b.Query)
	}
	for _, m := range b.Messages {
		if failure := x.message(m); failure != nil {
			return failure
		}
	}
	return nil
}

// exchange answers one batch without a server connection.
type exchange struct {
	cfg     *Config
	run     run
	portals map[string]portal
}

type portal struct {
	result *classifier.Result
	format int16
}

func (x *exchange) query(q *pgproto3.Query) *pgproto3.ErrorResponse {
	for _, st := range x.cfg.Parser.Classifier.Classify(q.String).Statements {
		a, failure := x.run(st)
		if failure != nil {
			return failure
		}
		if a.column != "" {
			x.cfg.Output.Send(rowDescription(a.column, 0))
		}
		x.send(a)
	}
	return nil
}

func (x *exchange) message(m pgproto3.FrontendMessage) *pgproto3.ErrorResponse {
	switch m := m.(type) {
	case *pgproto3.Parse:
		st := x.cfg.Parser.Statement(m)
		if err := x.cfg.Statements.Put(m.Name, st); err != nil {
			return resolver.Error(resolver.CodeLimitExceeded, err.Error(), "")
		}
		x.cfg.Output.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return x.bind(m)
	case *pgproto3.Describe:
		return x.describe(m)
	case *pgproto3.Execute:
		return x.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			x.cfg.Statements.Remove(m.Name)
		}
		x.cfg.Output.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (x *exchange) bind(m *pgproto3.Bind) *pgproto3.ErrorResponse {
	st, ok := x.cfg.Statements.Get(m.PreparedStatement)
	if !ok {
		return unknownStatement(m.PreparedStatement)
	}
	if len(m.Parameters) > 0 {
		return resolver.Error(resolver.CodeProtocolViolation, "statement takes no parameters", "")
	}
	p := portal{result: st.Result}
	if len(m.ResultFormatCodes) > 0 {
		p.format = m.ResultFormatCodes[0]
	}
	x.portals[m.DestinationPortal] = p
	x.cfg.Output.Send(&pgproto3.BindComplete{})
	return nil
}

func (x *exchange) describe(m *pgproto3.Describe) *pgproto3.ErrorResponse {
	if m.ObjectType == 'P' {
		p, ok := x.portals[m.Name]
		if !ok {
			return unknownPortal(m.Name)
		}
		x.cfg.Output.Send(description(p.result, p.format))
		return nil
	}
	st, ok := x.cfg.Statements.Get(m.Name)
	if !ok {
		return unknownStatement(m.Name)
	}
	x.cfg.Output.Send(&pgproto3.ParameterDescription{}, description(st.Result, 0))
	return nil
}

func (x *exchange) execute(m *pgproto3.Execute) *pgproto3.ErrorResponse {
	p, ok := x.portals[m.Portal]
	if !ok {
		return unknownPortal(m.Portal)
	}
	st, ok := p.result.Single()
	if !ok {
		x.cfg.Output.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	a, failure := x.run(st)
	if failure != nil {
		return failure
	}
	x.send(a)
	return nil
}

func (x *exchange) send(a answer) {
	if a.column != "" {
		x.cfg.Output.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(a.value)}})
	}
	if a.status != nil {
		x.cfg.Output.Send(a.status)
	}
	x.cfg.Output.Send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
}

func description(r *classifier.Result, format int16) pgproto3.BackendMessage {
	if st, ok := r.Single(); ok && st.Kind == classifier.HubShow {
		return rowDescription(st.Setting, format)
	}
	return &pgproto3.NoData{}
}

func rowDescription(column string, format int16) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1, Format: format,
	}}}
}

func unknownStatement(name string) *pgproto3.ErrorResponse {
	return resolver.Error(resolver.CodeUnknownStatement, "prepared statement \""+name+"\" does not exist", "")
}

func unknownPortal(name string) *pgproto3.ErrorResponse {
	return resolver.Error(resolver.CodeUnknownPortal, "portal \""+name+"\" does not exist", "")
}
