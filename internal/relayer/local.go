package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/resolver"
)

// textOID is the type of the column that SHOW returns.
const textOID = 25

// localAnswer is the proxy's own answer to one statement.
type localAnswer struct {
	// value is the only column of the only row, if column is set.
	column, value string
	// status is a setting whose new value is reported to the caller.
	status *pgproto3.ParameterStatus
	tag    string
}

// serveLocal answers a batch of statements that the proxy runs itself.
func (s *Session) serveLocal(b *batcher.Batch) error {
	if s.retainer.Transaction().HasFailed {
		return s.fail(b, resolver.Error(resolver.CodeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block", ""))
	}
	return s.answerLocal(b, s.runLocal)
}

type localRunner func(classifier.Statement) (localAnswer, *pgproto3.ErrorResponse)

// answerLocal answers a batch by running each statement with run.
func (s *Session) answerLocal(b *batcher.Batch, run localRunner) error {
	l := localExchange{s: s, run: run, portals: make(map[string]localPortal)}
	if failure := l.serve(b); failure != nil {
		return s.fail(b, failure)
	}
	if b.Flushed {
		return s.out.Flush()
	}
	return s.ready()
}

// localExchange answers one batch without a server connection.
type localExchange struct {
	s       *Session
	run     localRunner
	portals map[string]localPortal
}

type localPortal struct {
	result *classifier.Result
	format int16
}

func (l *localExchange) serve(b *batcher.Batch) *pgproto3.ErrorResponse {
	if b.Query != nil {
		return l.query(b.Query)
	}
	for _, m := range b.Messages {
		if failure := l.message(m); failure != nil {
			return failure
		}
	}
	return nil
}

func (l *localExchange) query(q *pgproto3.Query) *pgproto3.ErrorResponse {
	for _, st := range l.s.r.deps.Classifier.Classify(q.String).Statements {
		a, failure := l.run(st)
		if failure != nil {
			return failure
		}
		if a.column != "" {
			l.s.out.Send(rowDescription(a.column, 0))
		}
		l.answer(a)
	}
	return nil
}

func (l *localExchange) message(m pgproto3.FrontendMessage) *pgproto3.ErrorResponse {
	s := l.s
	switch m := m.(type) {
	case *pgproto3.Parse:
		st := s.parser.Statement(m)
		if err := s.stmts.Put(m.Name, st); err != nil {
			return resolver.Error(resolver.CodeLimitExceeded, err.Error(), "")
		}
		s.out.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return l.bind(m)
	case *pgproto3.Describe:
		return l.describe(m)
	case *pgproto3.Execute:
		return l.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			s.stmts.Remove(m.Name)
		}
		s.out.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (l *localExchange) bind(m *pgproto3.Bind) *pgproto3.ErrorResponse {
	st, ok := l.s.stmts.Get(m.PreparedStatement)
	if !ok {
		return unknownStatement(m.PreparedStatement)
	}
	if len(m.Parameters) > 0 {
		return resolver.Error(resolver.CodeProtocolViolation, "statement takes no parameters", "")
	}
	p := localPortal{result: st.Result}
	if len(m.ResultFormatCodes) > 0 {
		p.format = m.ResultFormatCodes[0]
	}
	l.portals[m.DestinationPortal] = p
	l.s.out.Send(&pgproto3.BindComplete{})
	return nil
}

func (l *localExchange) describe(m *pgproto3.Describe) *pgproto3.ErrorResponse {
	if m.ObjectType == 'P' {
		p, ok := l.portals[m.Name]
		if !ok {
			return unknownPortal(m.Name)
		}
		l.s.out.Send(describeLocal(p.result, p.format))
		return nil
	}
	st, ok := l.s.stmts.Get(m.Name)
	if !ok {
		return unknownStatement(m.Name)
	}
	l.s.out.Send(&pgproto3.ParameterDescription{}, describeLocal(st.Result, 0))
	return nil
}

func (l *localExchange) execute(m *pgproto3.Execute) *pgproto3.ErrorResponse {
	p, ok := l.portals[m.Portal]
	if !ok {
		return unknownPortal(m.Portal)
	}
	st, ok := p.result.Single()
	if !ok {
		l.s.out.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	a, failure := l.run(st)
	if failure != nil {
		return failure
	}
	l.answer(a)
	return nil
}

func (l *localExchange) answer(a localAnswer) {
	if a.column != "" {
		l.s.out.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(a.value)}})
	}
	if a.status != nil {
		l.s.out.Send(a.status)
	}
	l.s.out.Send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
}

func describeLocal(r *classifier.Result, format int16) pgproto3.BackendMessage {
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

// runLocal runs one statement that needs no server.
func (s *Session) runLocal(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	switch st.Kind {
	case classifier.SetSession:
		return localAnswer{tag: "SET", status: reportedStatus(st)}, nil
	case classifier.HubSet:
		return s.setMarigoldSetting(st)
	case classifier.HubShow:
		return s.showMarigoldSetting(st)
	case classifier.Deallocate:
		return s.deallocate(st)
	case classifier.Discard:
		return s.discardAll()
	}
	return localAnswer{}, resolver.Error(resolver.CodeNotSupported, "statement is not supported by the proxy", "")
}

// reportedNames are the settings whose changes a server reports, by their names
// in lower case.
var reportedNames = map[string]string{
	"application_name": "application_name", "client_encoding": "client_encoding", "datestyle": "DateStyle",
	"timezone": "TimeZone", "standard_conforming_strings": "standard_conforming_strings",
}

func reportedStatus(st classifier.Statement) *pgproto3.ParameterStatus {
	name, ok := reportedNames[st.Setting]
	if !ok {
		return nil
	}
	value := st.Value
	switch name {
	case "client_encoding":
		value = "UTF8"
	case "DateStyle":
		value = "ISO, MDY"
	}
	return &pgproto3.ParameterStatus{Name: name, Value: value}
}

func (s *Session) deallocate(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	if st.Setting == "" {
		s.stmts.Clear()
		return localAnswer{tag: "DEALLOCATE ALL"}, nil
	}
	if _, ok := s.stmts.Get(st.Setting); !ok {
		return localAnswer{}, unknownStatement(st.Setting)
	}
	s.stmts.Remove(st.Setting)
	return localAnswer{tag: "DEALLOCATE"}, nil
}

// discardAll resets the session. A pinned connection is discarded, because the
// session state on it must end.
func (s *Session) discardAll() (localAnswer, *pgproto3.ErrorResponse) {
	if s.retainer.Transaction().IsOpen {
		return localAnswer{}, resolver.Error("25001", "DISCARD ALL cannot run inside a transaction block", "")
	}
	s.stmts.Clear()
	s.requestKey = ""
	s.retainer.Reset()
	return localAnswer{tag: "DISCARD ALL"}, nil
}
