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

// PermissionError means that group or others may access a secret file.
type PermissionError struct {
	Path string
	Mode fs.FileMode
}

// Error implements error.
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
	// The mode is read from the open file, so that the file cannot be replaced
	// between the check and the read.
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
// password. The file is read at every call, so a change needs no reload.
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
