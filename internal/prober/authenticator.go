package prober

import (
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const scramMechanism = "SCRAM-SHA-256"

// authenticator answers the authentication requests of a server. It supports
// SCRAM only: a clear-text or MD5 password could be captured and replayed.
type authenticator struct {
	frontend *pgproto3.Frontend
	user     string
	password string

	conversation *scram.ClientConversation
}

// run answers requests, beginning with msg, until the server accepts.
func (a *authenticator) run(msg pgproto3.BackendMessage) error {
	for {
		switch m := msg.(type) {
		case *pgproto3.AuthenticationOk:
			return a.finish()
		case *pgproto3.AuthenticationSASL:
			if err := a.begin(m.AuthMechanisms); err != nil {
				return err
			}
		case *pgproto3.AuthenticationSASLContinue:
			if err := a.step(m.Data); err != nil {
				return err
			}
		case *pgproto3.AuthenticationSASLFinal:
			if err := a.verify(m.Data); err != nil {
				return err
			}
		case *pgproto3.ErrorResponse:
			return newServerError(m)
		case *pgproto3.NoticeResponse:
		default:
			return fmt.Errorf("unsupported authentication request %T", msg)
		}
		var err error
		if msg, err = a.frontend.Receive(); err != nil {
			return err
		}
	}
}

func (a *authenticator) begin(mechanisms []string) error {
	if !slices.Contains(mechanisms, scramMechanism) {
		return fmt.Errorf("backend server offers %q, not %s", mechanisms, scramMechanism)
	}
	client, err := scram.SHA256.NewClient(a.user, a.password, "")
	if err != nil {
		return err
	}
	a.conversation = client.NewConversation()
	first, err := a.conversation.Step("")
	if err != nil {
		return err
	}
	a.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
	return a.frontend.Flush()
}

func (a *authenticator) step(challenge []byte) error {
	if a.conversation == nil {
		return fmt.Errorf("backend server continued an authentication that did not begin")
	}
	answer, err := a.conversation.Step(string(challenge))
	if err != nil {
		return err
	}
	a.frontend.Send(&pgproto3.SASLResponse{Data: []byte(answer)})
	return a.frontend.Flush()
}

func (a *authenticator) verify(final []byte) error {
	if a.conversation == nil {
		return fmt.Errorf("backend server ended an authentication that did not begin")
	}
	_, err := a.conversation.Step(string(final))
	return err
}

// finish checks that a server that requested SCRAM has also proved that it knows
// the password.
func (a *authenticator) finish() error {
	if a.conversation != nil && !a.conversation.Valid() {
		return fmt.Errorf("backend server did not prove that it knows the password")
	}
	return nil
}
