package confirmer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// remoteWait is the time for which the monitor may hold a call whose
	// positions are not confirmed yet. It is shorter than monitorSilenceLimit, so
	// that an undecided answer arrives before the monitor counts as silent.
	remoteWait = 200 * time.Millisecond
	// remoteCallTimeout bounds one call.
	remoteCallTimeout = 300 * time.Millisecond
	// remoteCallAge is the time after the start of a call at which the next call
	// starts although the first has not ended: a position that is confirmed late
	// must not delay later requests.
	remoteCallAge = 5 * time.Millisecond
	// maxRemoteCalls bounds the concurrent calls for one group to one address.
	maxRemoteCalls = 8
)

// Remote confirms by asking the instance that monitors the group. Requests for
// one group that arrive during a call are sent together in the next call. Every
// call starts after its requests, so a fresh proof of the call is fresh for each
// of them.
type Remote struct {
	instance string
	dialer   messenger.Dialer
	clock    clockwork.Clock
	recorder *recorder.Recorder

	mu      sync.Mutex
	senders map[senderKey]*sender
}

type senderKey struct{ address, group string }

// NewRemote returns a confirmer that sends requests to other instances.
func NewRemote(instance string, dialer messenger.Dialer, clock clockwork.Clock, rec *recorder.Recorder) *Remote {
	return &Remote{
		instance: instance,
		dialer:   dialer,
		clock:    clock,
		recorder: rec,
		senders:  make(map[senderKey]*sender),
	}
}

// pendingRequest is a request that was not answered yet.
type pendingRequest struct {
	ctx    context.Context
	req    Request
	answer chan answer
}

type answer struct {
	result Result
	err    error
}

// Confirm asks the instance at the address once. It returns [ErrUndecided] or
// [ErrNotMonitor] if that is the answer. Any other error means that there was no
// valid answer.
func (r *Remote) Confirm(ctx context.Context, address string, req Request) (Result, error) {
	q := &pendingRequest{ctx: ctx, req: req, answer: make(chan answer, 1)}
	r.enqueue(senderKey{address, req.Group}, q)
	select {
	case a := <-q.answer:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}

// sender batches the pending requests for one group and address. Its goroutine
// runs while there are any, or calls in flight.
type sender struct {
	remote  *Remote
	key     senderKey
	pending []*pendingRequest
	// slots holds one token for each call in flight.
	slots chan struct{}
	// callEnded receives a value when a call ends.
	callEnded chan struct{}
}

// enqueue adds a request to the sender of the key, which it starts if necessary.
func (r *Remote) enqueue(key senderKey, q *pendingRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.senders[key]
	if !ok {
		s = &sender{remote: r, key: key, slots: make(chan struct{}, maxRemoteCalls), callEnded: make(chan struct{}, 1)}
		r.senders[key] = s
		go s.run()
	}
	s.pending = append(s.pending, q)
}

// takeBatch returns the pending requests whose caller still waits. It returns
// false and removes the sender if there are none and no call is in flight.
func (s *sender) takeBatch() ([]*pendingRequest, bool) {
	s.remote.mu.Lock()
	defer s.remote.mu.Unlock()
	var batch []*pendingRequest
	for _, q := range s.pending {
		if q.ctx.Err() == nil {
			batch = append(batch, q)
		}
	}
	s.pending = nil
	if len(batch) == 0 && len(s.slots) == 0 {
		delete(s.remote.senders, s.key)
		return nil, false
	}
	return batch, true
}

func (s *sender) run() {
	for {
		batch, ok := s.takeBatch()
		if !ok {
			return
		}
		if len(batch) > 0 {
			s.startCall(batch)
		}
		select {
		case <-s.callEnded:
		case <-s.remote.clock.After(remoteCallAge):
		}
	}
}

// startCall sends the batch in the background. It waits while maxRemoteCalls are
// in flight.
func (s *sender) startCall(batch []*pendingRequest) {
	s.slots <- struct{}{}
	go func() {
		s.send(batch)
		<-s.slots
		select {
		case s.callEnded <- struct{}{}:
		default:
		}
	}()
}

// send makes one call and answers all requests of the batch.
func (s *sender) send(batch []*pendingRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), remoteCallTimeout)
	defer cancel()
	resp, err := s.remote.call(ctx, s.key, batch)
	if err == nil && len(resp.Results) != len(batch) {
		err = fmt.Errorf("confirm: %d results for %d items", len(resp.Results), len(batch))
	}
	for i, q := range batch {
		if err != nil {
			q.answer <- answer{err: err}
			continue
		}
		q.answer <- decodeResult(resp.Results[i])
	}
}

func (r *Remote) call(ctx context.Context, key senderKey, batch []*pendingRequest) (*wire.ConfirmResponse, error) {
	conn, err := r.dialer.Dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	req := &wire.ConfirmRequest{
		Header: &wire.Header{Instance: r.instance, Lamport: r.recorder.Tick()},
		Group:  key.group,
		WaitMs: uint32(remoteWait.Milliseconds()),
	}
	for _, q := range batch {
		req.Items = append(req.Items, &wire.ConfirmItem{
			Position: encodePosition(q.req.Position),
			Fresh:    q.req.Fresh,
		})
	}
	resp, err := wire.NewDRPCGroupsClient(conn).Confirm(ctx, req)
	if err != nil {
		return nil, err
	}
	r.recorder.Observe(resp.GetHeader().GetLamport())
	return resp, nil
}

func encodePosition(p tracker.Position) *wire.Position {
	return &wire.Position{Term: p.Term, Offset: p.Offset}
}

func decodeResult(r *wire.ConfirmResult) answer {
	result := Result{
		Position: tracker.Position{Term: r.GetPosition().GetTerm(), Offset: r.GetPosition().GetOffset()},
	}
	switch r.GetOutcome() {
	case wire.ConfirmOutcome_CONFIRM_OUTCOME_CONFIRMED:
		result.Outcome = Confirmed
	case wire.ConfirmOutcome_CONFIRM_OUTCOME_SUPERSEDED:
		result.Outcome = Superseded
	case wire.ConfirmOutcome_CONFIRM_OUTCOME_TIMEOUT:
		return answer{err: ErrUndecided}
	case wire.ConfirmOutcome_CONFIRM_OUTCOME_NOT_MONITOR:
		return answer{err: ErrNotMonitor}
	default:
		return answer{err: fmt.Errorf("confirm: unknown outcome %v", r.GetOutcome())}
	}
	lineage, err := tracker.ParseLineage(r.GetLineage())
	if err != nil {
		return answer{err: fmt.Errorf("confirm: %w", err)}
	}
	result.Lineage = lineage
	return answer{result: result}
}
