package session

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/standin/server/executor"
	"marigoldhub.example/hub/standin/server/rows"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// simpleQuery answers a Query message up to ReadyForQuery. Its error ends the
// connection.
func (s *Session) simpleQuery(src string) error {
	list, known := s.plans[src]
	if !known || list.schema != s.cfg.Node.Schema() {
		list = plan{schema: s.cfg.Node.Schema()}
		for _, stmt := range sqltext.Parse(src) {
			list.statements = append(list.statements, &executor.Prepared{Statement: stmt})
		}
		if len(s.plans) >= maxPlans {
			clear(s.plans)
		}
		s.plans[src] = list
	}
	if len(list.statements) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for i, p := range list.statements {
		err := s.simpleStatement(p, i == len(list.statements)-1)
		if errors.Is(err, executor.ErrLost) {
			return err
		}
		if err != nil {
			s.fail(err)
			return nil
		}
	}
	return nil
}

func (s *Session) simpleStatement(p *executor.Prepared, last bool) error {
	if err := s.exec.CheckFailed(p.Kind); err != nil {
		return err
	}
	if p.Params > 0 {
		return &rows.Error{Code: "42P02", Message: "there is no parameter $1"}
	}
	if p.ParamTypes == nil {
		full, err := s.exec.Prepare(p.Statement, nil)
		if err != nil {
			return err
		}
		*p = *full
		p.ParamTypes = []uint32{}
	}
	res, err := s.exec.Execute(p, nil)
	if err != nil {
		return err
	}
	if last {
		if err := s.exec.EndImplicit(); err != nil {
			return err
		}
	}
	if len(p.Columns) > 0 {
		s.sendColumns(p.Columns, nil)
		if err := s.sendRows(&portal{Prepared: p}, res.Rows); err != nil {
			return err
		}
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.Tag)})
	return nil
}
