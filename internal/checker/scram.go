package checker

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	scramPrefix        = "SCRAM-SHA-256$"
	minScramIterations = 4096 // RFC 7677, section 4
	maxScramIterations = 1_000_000
	scramKeyBytes      = 32
	minScramSaltBytes  = 8
)

// checkScramVerifier checks PostgreSQL's form
// "SCRAM-SHA-256$iterations:salt$stored_key:server_key".
func checkScramVerifier(verifier string) error {
	rest, ok := strings.CutPrefix(verifier, scramPrefix)
	if !ok {
		return errors.New("is not of the form SCRAM-SHA-256$iterations:salt$stored_key:server_key")
	}
	head, keys, ok1 := strings.Cut(rest, "$")
	iterations, salt, ok2 := strings.Cut(head, ":")
	storedKey, serverKey, ok3 := strings.Cut(keys, ":")
	if !ok1 || !ok2 || !ok3 {
		return errors.New("is not of the form SCRAM-SHA-256$iterations:salt$stored_key:server_key")
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < minScramIterations || n > maxScramIterations {
		return fmt.Errorf("iterations must be from %d to %d", minScramIterations, maxScramIterations)
	}
	if raw, err := base64.StdEncoding.DecodeString(salt); err != nil || len(raw) < minScramSaltBytes {
		return fmt.Errorf("salt must be base64 of at least %d bytes", minScramSaltBytes)
	}
	for _, key := range []string{storedKey, serverKey} {
		if raw, err := base64.StdEncoding.DecodeString(key); err != nil || len(raw) != scramKeyBytes {
			return fmt.Errorf("stored_key and server_key must be base64 of %d bytes", scramKeyBytes)
		}
	}
	return nil
}
