package forwarder

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/tracker"
)

func encodeRequest(r Request) *wire.ForwardRequest {
	out := &wire.ForwardRequest{
		Service: r.Service, Server: r.Server, Transaction: r.Transaction, Discard: r.Discard, Priority: int32(r.Priority),
		WaitUs: r.MaxWait.Microseconds(), LeftUs: r.Remaining.Microseconds(), TimeoutUs: r.Timeout.Microseconds(),
		IsWrite: r.IsWrite, Plain: r.IsPlain, Team: r.Team,
	}
	for name, value := range r.Context.Values {
		out.Values = append(out.Values, &wire.SessionValue{Name: []byte(name), Value: []byte(value)})
	}
	if key := r.Context.Prepared; key != nil {
		out.Prepared = &wire.PreparedStatement{Target: uint32(key.Kind), Shape: []byte(key.Template)}
	}
	for _, s := range r.Statements {
		out.Statements = append(out.Statements, &wire.ForwardedStatement{
			Kind: uint32(s.Kind), Id: []byte(s.ID), Text: []byte(s.Text), Name: []byte(s.Name), Value: []byte(s.Value),
			Target: uint32(s.PreparedKind), Shape: []byte(s.Template), Arguments: []byte(s.Arguments), Floor: encodePosition(s.MinPosition), Term: s.Term,
		})
	}
	return out
}

func decodeRequest(in *wire.ForwardRequest) Request {
	r := Request{
		Service: in.GetService(), Server: in.GetServer(), Transaction: in.GetTransaction(), Discard: in.GetDiscard(), Priority: int(in.GetPriority()),
		MaxWait: microseconds(in.GetWaitUs()), Remaining: microseconds(in.GetLeftUs()), Timeout: microseconds(in.GetTimeoutUs()),
		IsWrite: in.GetIsWrite(), IsPlain: in.GetPlain(), Team: in.GetTeam(), Context: linker.Context{Values: make(map[string]string, len(in.GetValues()))},
	}
	for _, v := range in.GetValues() {
		r.Context.Values[string(v.GetName())] = string(v.GetValue())
	}
	if p := in.GetPrepared(); p != nil {
		r.Context.Prepared = &exchanger.PreparedKey{Kind: exchanger.Kind(p.GetTarget()), Template: string(p.GetShape())}
	}
	for _, s := range in.GetStatements() {
		r.Statements = append(r.Statements, exchanger.Statement{
			Kind: exchanger.Kind(s.GetKind()), ID: string(s.GetId()), Text: string(s.GetText()), Name: string(s.GetName()), Value: string(s.GetValue()),
			PreparedKind: exchanger.Kind(s.GetTarget()), Template: string(s.GetShape()), Arguments: string(s.GetArguments()),
			MinPosition: decodePosition(s.GetFloor()), Term: s.GetTerm(),
		})
	}
	return r
}

func encodeReply(r Reply) *wire.ForwardResponse {
	out := &wire.ForwardResponse{Failure: uint32(r.Failure), Code: uint32(r.Code), WaitUs: max(r.ExpectedWait, r.Waited).Microseconds(), Text: r.Text}
	for _, a := range r.Answers {
		out.Answers = append(out.Answers, encodeAnswer(a))
	}
	return out
}

func encodeAnswer(a exchanger.Answer) *wire.ForwardedAnswer {
	out := &wire.ForwardedAnswer{
		Signature: []byte(a.Signature), Code: uint32(a.Code), Text: []byte(a.Text), State: uint32(a.State), Position: encodePosition(a.Position),
	}
	for _, row := range a.Rows {
		out.Rows = append(out.Rows, []byte(row))
	}
	if r := a.Report; r != nil {
		out.Report = &wire.ServerReport{
			Role: uint32(r.Role), Term: r.Term, Received: encodePosition(r.Received), PausedFor: r.PausedTerm,
			LagUs: uint64(max(r.Lag, 0).Microseconds()), Busy: uint32(r.BusySlots), Connections: uint32(r.Connections),
		}
	}
	return out
}

func decodeReply(in *wire.ForwardResponse) Reply {
	r := Reply{Failure: Failure(in.GetFailure()), Code: decodeCode(in.GetCode()), Text: in.GetText()}
	if wait := microseconds(in.GetWaitUs()); r.Failure == None {
		r.Waited = wait
	} else {
		r.ExpectedWait = wait
	}
	for _, a := range in.GetAnswers() {
		r.Answers = append(r.Answers, decodeAnswer(a))
	}
	return r
}

func decodeAnswer(in *wire.ForwardedAnswer) exchanger.Answer {
	a := exchanger.Answer{
		Signature: string(in.GetSignature()), Code: decodeCode(in.GetCode()), Text: string(in.GetText()),
		State: exchanger.State(in.GetState()), Position: decodePosition(in.GetPosition()),
	}
	for _, row := range in.GetRows() {
		a.Rows = append(a.Rows, string(row))
	}
	if r := in.GetReport(); r != nil {
		a.Report = &exchanger.Report{
			Role: decodeRole(r.GetRole()), Term: r.GetTerm(), Received: decodePosition(r.GetReceived()), PausedTerm: r.GetPausedFor(),
			Lag: time.Duration(r.GetLagUs()) * time.Microsecond, BusySlots: int(r.GetBusy()), Connections: int(r.GetConnections()),
		}
	}
	return a
}

// decodeCode maps codes of a newer version to Unrecognized, which does not
// promise that nothing ran.
func decodeCode(n uint32) exchanger.Code {
	return exchanger.Code(min(n, uint32(exchanger.Unrecognized)))
}

func decodeRole(n uint32) exchanger.Role {
	if n > uint32(exchanger.Replica) {
		return exchanger.UnknownRole
	}
	return exchanger.Role(n)
}

func encodePosition(p tracker.Position) *wire.Position {
	if p.IsZero() {
		return nil
	}
	return &wire.Position{Term: p.Term, Offset: p.Offset}
}

func decodePosition(p *wire.Position) tracker.Position {
	return tracker.Position{Term: p.GetTerm(), Offset: p.GetOffset()}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
