package session

import (
	"database/sql/driver"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/standin/server/pgvalue"
	"marigoldhub.example/hub/standin/server/rows"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// extended processes one message of the extended protocol.
func (s *Session) extended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(msg)
	case *pgproto3.Bind:
		return s.bind(msg)
	case *pgproto3.Describe:
		return s.describe(msg)
	case *pgproto3.Execute:
		return s.run(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.statements, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.be.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return &rows.Error{Code: "08P01", Message: fmt.Sprintf("unexpected message %T", msg)}
}

func (s *Session) parse(msg *pgproto3.Parse) error {
	list := sqltext.Parse(msg.Query)
	if len(list) > 1 {
		return &rows.Error{Code: "42601", Message: "cannot insert multiple commands into a prepared statement"}
	}
	stmt := &sqltext.Statement{Kind: sqltext.Empty}
	if len(list) == 1 {
		stmt = list[0]
	}
	if err := s.exec.CheckFailed(stmt.Kind); err != nil {
		return err
	}
	if _, ok := s.statements[msg.Name]; ok && msg.Name != "" {
		return &rows.Error{Code: "42P05", Message: fmt.Sprintf("prepared statement %q already exists", msg.Name)}
	}
	p, err := s.exec.Prepare(stmt, msg.ParameterOIDs)
	if err != nil {
		return err
	}
	s.statements[msg.Name] = p
	s.be.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *Session) bind(msg *pgproto3.Bind) error {
	p, ok := s.statements[msg.PreparedStatement]
	if !ok {
		return errNoStatement(msg.PreparedStatement)
	}
	if err := s.exec.CheckFailed(p.Kind); err != nil {
		return err
	}
	if len(msg.Parameters) != len(p.ParamTypes) {
		return &rows.Error{Code: "08P01", Message: fmt.Sprintf(
			"bind message supplies %d parameters, but prepared statement %q requires %d",
			len(msg.Parameters), msg.PreparedStatement, len(p.ParamTypes))}
	}
	args := make([]driver.Value, len(msg.Parameters))
	for i, b := range msg.Parameters {
		v, err := pgvalue.Decode(b, p.ParamTypes[i], formatOf(msg.ParameterFormatCodes, i) == 1)
		if err != nil {
			return &rows.Error{Code: "22P02", Message: fmt.Sprintf("parameter $%d: %v", i+1, err)}
		}
		args[i] = v
	}
	s.portals[msg.DestinationPortal] = &portal{
		Prepared: p,
		args:     args,
		formats:  append([]int16(nil), msg.ResultFormatCodes...),
	}
	s.be.Send(&pgproto3.BindComplete{})
	return nil
}

func formatOf(codes []int16, i int) int16 {
	p := portal{formats: codes}
	return p.format(i)
}

func errNoStatement(name string) error {
	return &rows.Error{Code: "26000", Message: fmt.Sprintf("prepared statement %q does not exist", name)}
}

func errNoPortal(name string) error {
	return &rows.Error{Code: "34000", Message: fmt.Sprintf("portal %q does not exist", name)}
}

func (s *Session) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'S' {
		p, ok := s.statements[msg.Name]
		if !ok {
			return errNoStatement(msg.Name)
		}
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.ParamTypes})
		s.sendColumns(p.Columns, nil)
		return nil
	}
	p, ok := s.portals[msg.Name]
	if !ok {
		return errNoPortal(msg.Name)
	}
	s.sendColumns(p.Columns, p)
	return nil
}

func (s *Session) run(msg *pgproto3.Execute) error {
	p, ok := s.portals[msg.Portal]
	if !ok {
		return errNoPortal(msg.Portal)
	}
	if p.Kind == sqltext.Empty {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !p.started {
		if err := s.exec.CheckFailed(p.Kind); err != nil {
			return err
		}
		res, err := s.exec.Execute(p.Prepared, p.args)
		if err != nil {
			return err
		}
		p.started, p.rest, p.tag = true, res.Rows, res.Tag
	}
	n := len(p.rest)
	if msg.MaxRows > 0 {
		n = min(n, int(msg.MaxRows))
	}
	batch := p.rest[:n]
	p.rest = p.rest[n:]
	if len(p.Columns) > 0 {
		if err := s.sendRows(p, batch); err != nil {
			return err
		}
	}
	if len(p.rest) > 0 {
		s.be.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.tag)})
	return nil
}

// sendColumns describes result columns in the formats of p, or as text if p is
// nil.
func (s *Session) sendColumns(columns []rows.Column, p *portal) {
	if len(columns) == 0 {
		s.be.Send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(c.Name), DataTypeOID: c.OID, DataTypeSize: pgvalue.Size(c.OID), TypeModifier: -1,
		}
		if p != nil {
			fields[i].Format = p.format(i)
		}
	}
	s.be.Send(&pgproto3.RowDescription{Fields: fields})
}

func (s *Session) sendRows(p *portal, list [][]driver.Value) error {
	values := make([][]byte, len(p.Columns))
	for _, row := range list {
		for i, c := range p.Columns {
			b, err := pgvalue.Encode(row[i], c.OID, p.format(i) == 1)
			if err != nil {
				return &rows.Error{Code: "22P03", Message: fmt.Sprintf("column %q: %v", c.Name, err)}
			}
			values[i] = b
		}
		s.be.Send(&pgproto3.DataRow{Values: values})
	}
	return nil
}
