package replier

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/rewriter"
)

// run runs one statement that needs no server.
func (r *Replier) run(st classifier.Statement) (answer, *pgproto3.ErrorResponse) {
	switch st.Kind {
	case classifier.SetSession:
		return answer{tag: "SET", status: reportedStatus(st)}, nil
	case classifier.HubSet:
		return r.set(st)
	case classifier.HubShow:
		return r.show(st)
	case classifier.Deallocate:
		return r.deallocate(st)
	case classifier.Discard:
		return r.discardAll()
	}
	return answer{}, resolver.Error(resolver.CodeNotSupported, "statement is not supported by the proxy", "")
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

func (r *Replier) deallocate(st classifier.Statement) (answer, *pgproto3.ErrorResponse) {
	if st.Setting == "" {
		r.cfg.Statements.Clear()
		return answer{tag: "DEALLOCATE ALL"}, nil
	}
	if _, ok := r.cfg.Statements.Get(st.Setting); !ok {
		return answer{}, unknownStatement(st.Setting)
	}
	r.cfg.Statements.Remove(st.Setting)
	return answer{tag: "DEALLOCATE"}, nil
}

// discardAll resets the session. A pinned connection is discarded, because the
// session state on it must end.
func (r *Replier) discardAll() (answer, *pgproto3.ErrorResponse) {
	if r.cfg.Retainer.Transaction().IsOpen {
		return answer{}, resolver.Error("25001", "DISCARD ALL cannot run inside a transaction block", "")
	}
	r.cfg.Statements.Clear()
	r.requestKey = ""
	r.cfg.Retainer.Reset()
	return answer{tag: "DISCARD ALL"}, nil
}

// set runs SET or RESET of a marigold setting for the session.
func (r *Replier) set(st classifier.Statement) (answer, *pgproto3.ErrorResponse) {
	if st.Setting != rewriter.KeySetting {
		return answer{}, rewriter.UnknownSetting(st.Setting)
	}
	if !st.HasValue {
		r.requestKey = ""
		return answer{tag: "RESET"}, nil
	}
	if failure := rewriter.CheckKey(st.Value); failure != nil {
		return answer{}, failure
	}
	r.requestKey = st.Value
	return answer{tag: "SET"}, nil
}

func (r *Replier) show(st classifier.Statement) (answer, *pgproto3.ErrorResponse) {
	a := answer{column: st.Setting, tag: "SHOW"}
	switch st.Setting {
	case rewriter.KeySetting:
		a.value = r.requestKey
		return a, nil
	case rewriter.OutcomeSetting:
		var failure *pgproto3.ErrorResponse
		a.value, failure = r.requestOutcome()
		return a, failure
	}
	return a, rewriter.UnknownSetting(st.Setting)
}

// requestOutcome returns the outcome of the request with the session's key. It
// inserts the key with outcome not_run. If that commit is confirmed, the
// request can never commit. If the key exists already, its row has the outcome.
func (r *Replier) requestOutcome() (string, *pgproto3.ErrorResponse) {
	switch {
	case r.requestKey == "":
		return "", resolver.Error(resolver.CodeInvalidValue, "marigold.request_key is not set", "")
	case r.cfg.Retainer.Transaction().IsOpen:
		return "", resolver.Error("25001", "SHOW marigold.request_outcome cannot run inside a transaction block", "")
	}
	return r.cfg.Outcome(r.requestKey)
}
