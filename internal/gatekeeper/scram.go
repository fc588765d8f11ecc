package gatekeeper

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/resolver"
)

const (
	scramMechanism = "SCRAM-SHA-256"
	// mockIterations is the iteration count that unknown callers see, which is
	// the default of PostgreSQL.
	mockIterations = 4096
	// mockSaltBytes is the length of PostgreSQL's salts, in bytes.
	mockSaltBytes = 16
)

// parseVerifier parses a SCRAM verifier in the format of PostgreSQL.
func parseVerifier(v string) (scram.StoredCredentials, error) {
	fields := strings.Split(v, "$")
	if len(fields) != 3 || fields[0] != scramMechanism {
		return scram.StoredCredentials{}, fmt.Errorf("verifier is not of the form %s$iterations:salt$stored_key:server_key", scramMechanism)
	}
	iterations, salt, ok := strings.Cut(fields[1], ":")
	stored, server, ok2 := strings.Cut(fields[2], ":")
	if !ok || !ok2 {
		return scram.StoredCredentials{}, fmt.Errorf("verifier lacks a colon")
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < 1 {
		return scram.StoredCredentials{}, fmt.Errorf("verifier has no valid iteration count")
	}
	c := scram.StoredCredentials{KeyFactors: scram.KeyFactors{Iters: n}}
	var saltBytes []byte
	for _, f := range []struct {
		text  string
		value *[]byte
	}{{salt, &saltBytes}, {stored, &c.StoredKey}, {server, &c.ServerKey}} {
		if *f.value, err = base64.StdEncoding.DecodeString(f.text); err != nil {
			return scram.StoredCredentials{}, fmt.Errorf("verifier: %w", err)
		}
	}
	if len(c.StoredKey) != sha256.Size || len(c.ServerKey) != sha256.Size {
		return scram.StoredCredentials{}, fmt.Errorf("verifier has keys of a wrong length")
	}
	c.Salt = string(saltBytes)
	return c, nil
}

// mockCredentials returns credentials that no password matches. The salt is the
// same for each attempt, as it is for a caller that exists.
func (g *Gatekeeper) mockCredentials(user string) scram.StoredCredentials {
	digest := func(label string) []byte {
		h := hmac.New(sha256.New, g.cfg.MockKey)
		h.Write([]byte(label + "\x00" + user))
		return h.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(digest("salt")[:mockSaltBytes]), Iters: mockIterations},
		StoredKey:  digest("stored"),
		ServerKey:  digest("server"),
	}
}

// credentials returns the credentials to check a user against, and whether the
// user is a caller with a usable verifier.
func (g *Gatekeeper) credentials(user string) (scram.StoredCredentials, checker.Caller, bool) {
	caller, ok := g.deps.Catalogs.Catalog().Caller(user)
	mock := g.mockCredentials(user)
	if !ok {
		return mock, caller, false
	}
	c, err := parseVerifier(caller.ScramVerifier)
	if err != nil {
		g.log.WithError(err).WithField("caller", user).Warn("gatekeeper: caller has no usable verifier")
		return mock, caller, false
	}
	return c, caller, true
}

// authenticate authenticates the user. The peer cannot distinguish the causes of a
// failed authentication.
func (l *login) authenticate() error {
	failed := &loginError{resolver.CodeInvalidPassword, "password authentication failed for user \"" + printable(l.startup.user) + "\""}
	if team, ok := checker.TeamOfUser(l.startup.user); ok {
		return l.authenticateTeam(team, failed)
	}
	return l.authenticateScram(failed)
}

// authenticateScram performs SCRAM-SHA-256.
func (l *login) authenticateScram(failed error) error {
	credentials, caller, known := l.g.credentials(l.startup.user)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return failed
	}
	first, err := l.receiveInitial()
	if err != nil {
		return err
	}
	conv := server.NewConversation()
	challenge, err := conv.Step(first)
	if err != nil {
		return failed
	}
	final, err := l.exchange(challenge)
	if err != nil {
		return err
	}
	signature, err := conv.Step(final)
	if err != nil || !conv.Valid() || !known {
		return failed
	}
	l.caller = caller
	l.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(signature)})
	return nil
}

func (l *login) receiveInitial() (string, error) {
	l.write(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	_ = l.backend.SetAuthType(pgproto3.AuthTypeSASL)
	msg, err := l.backend.Receive()
	if err != nil {
		return "", errConnectionEnded
	}
	m, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || m.AuthMechanism != scramMechanism {
		return "", &loginError{resolver.CodeProtocolViolation, "expected SASL response with mechanism " + scramMechanism}
	}
	return string(m.Data), nil
}

func (l *login) exchange(challenge string) (string, error) {
	l.write(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	_ = l.backend.SetAuthType(pgproto3.AuthTypeSASLContinue)
	msg, err := l.backend.Receive()
	if err != nil {
		return "", errConnectionEnded
	}
	m, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return "", &loginError{resolver.CodeProtocolViolation, "expected SASL response"}
	}
	return string(m.Data), nil
}
