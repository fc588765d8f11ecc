package keyer

import (
	"io"
	"io/fs"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

const (
	maxFileBytes = 1 << 20
	// groupOrOtherBits are the permission bits that a secret file must not have.
	groupOrOtherBits fs.FileMode = 0o077
)

// PermissionError states that a secret file is accessible to others.
type PermissionError struct {
	Path string
	Mode fs.FileMode
}

func (e *PermissionError) Error() string {
	return "secret file " + e.Path + " has mode " + e.Mode.Perm().String() + "; it must not be accessible to group or others"
}

// readSecret reads a file that only its owner may access.
func readSecret(path string) ([]byte, error) { return readFile(path, true) }

func readFile(path string, secret bool) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	// The opened file is checked, so that it cannot be exchanged in between.
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, errors.Errorf("%s is not a regular file", path)
	}
	if secret && info.Mode().Perm()&groupOrOtherBits != 0 {
		return nil, &PermissionError{Path: path, Mode: info.Mode()}
	}
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("%s is larger than %d bytes", path, maxFileBytes)
	}
	return data, nil
}

// Password reads a password file: one line, whose line end is not part of the
// password. It is read at every call, so a change needs no notice.
func Password(path string) (string, error) {
	data, err := readSecret(path)
	if err != nil {
		return "", errors.Wrap(err, "read password file")
	}
	password, err := parsePassword(string(data))
	if err != nil {
		return "", errors.Wrapf(err, "password file %s", path)
	}
	return password, nil
}

func parsePassword(text string) (string, error) {
	text = strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")
	switch {
	case text == "":
		return "", errors.New("no password in file")
	case strings.ContainsAny(text, "\r\n\x00"):
		return "", errors.New("more than one line in file")
	}
	return text, nil
}
