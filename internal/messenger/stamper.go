package messenger

import (
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/recorder"
)

// Stamper fills and reads the headers of messages. A nil Recorder is allowed:
// the Lamport time is then always 0.
type Stamper struct {
	Instance string
	Recorder *recorder.Recorder
}

// Header returns a header for a message that is about to be sent.
func (s Stamper) Header() *wire.Header {
	return &wire.Header{Instance: s.Instance, Lamport: s.Recorder.Tick()}
}

// Observe advances the Lamport time past that of a received message.
func (s Stamper) Observe(h *wire.Header) { s.Recorder.Observe(h.GetLamport()) }
