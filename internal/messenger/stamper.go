package messenger

import (
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/recorder"
)

// Stamper sets and reads the headers of messages, so that the Lamport times of
// the instances' events agree with cause and effect. With a nil Recorder the
// Lamport time is always 0.
type Stamper struct {
	// Instance is the name of the sending instance.
	Instance string
	// Recorder holds the Lamport time.
	Recorder *recorder.Recorder
}

// Header returns a header for a message that is about to be sent.
func (s Stamper) Header() *wire.Header {
	return &wire.Header{Instance: s.Instance, Lamport: s.Recorder.Tick()}
}

// Observe advances the Lamport time to at least that of a received message;
// the next local event is later than it.
func (s Stamper) Observe(h *wire.Header) { s.Recorder.Observe(h.GetLamport()) }
