package informer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

// maxUnpackedSize bounds a configuration that another instance sent. A value in the
// store has at most 1 MiB; digests are longer than the keys that they replace.
const maxUnpackedSize = 4 << 20

// pack compresses an encoded configuration. All instances fetch a new configuration
// within some tenths of a second, many of them from the same one: 60 times 25 KB take
// longer than a second on a link of 10 Mbit/s.
func pack(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack reverses pack. It fails for data that is larger than maxUnpackedSize.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedSize+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "unpack the configuration")
	case len(raw) > maxUnpackedSize:
		return nil, errors.Errorf("the configuration is larger than %d bytes", maxUnpackedSize)
	}
	return raw, nil
}
