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
	// remoteWait is the time that the monitor may take to answer a call whose
	// positions are not confirmed yet. It is below monitorSilence, so that an
	// undecided answer arrives before the monitor counts as silent.
	remoteWait = 200 * time.Millisecond
	// remoteCallTimeout bounds one call.
	remoteCallTimeout = 300 * time.Millisecond
	// remoteCallAge is the age of a call in flight past which the next call
	// does not wait for it: one late position must not delay later requests.
	remoteCallAge = 5 * time.Millisecond
	// maxRemoteCalls bounds the calls in flight of one group.
	maxRemoteCalls = 8
)

// Remote confirms by asking the instance that monitors the group. Requests of
// one group that arrive while a call is in flight travel together in the next
// call. Every call begins after its requests, so a fresh proof of the call is
// fresh for each of them.
type Remote struct {
	instance string
	dialer   messenger.Dialer
	clock    clockwork.Clock
	recorder *recorder.Recorder

	mu      sync.Mutex
	senders map[senderKey]*sender
}

type senderKey struct{ address, group string }

// NewRemote returns a confirmer that asks other instances.
func NewRemote(instance string, dialer messenger.Dialer, clock clockwork.Clock, rec *recorder.Recorder) *Remote {
	return &Remote{
		instance: instance,
		dialer:   dialer,
		clock:    clock,
		recorder: rec,
		senders:  make(map[senderKey]*sender),
	}
}

// question is one request on its way.
type question struct {
	ctx    context.Context
	req    Request
	answer chan answer
}

type answer struct {
	result Result
	err    error
}

// Confirm asks the instance at the address once. It returns [ErrUndecided] or
// [ErrNotMonitor] when that is the answer, and any other error when there was
// no answer.
func (r *Remote) Confirm(ctx context.Context, address string, req Request) (Result, error) {
	q := &question{ctx: ctx, req: req, answer: make(chan answer, 1)}
	r.enqueue(senderKey{address, req.Group}, q)
	select {
	case a := <-q.answer:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}

// sender holds the waiting questions for one group and address. Its goroutine
// runs while there are any.
type sender struct {
	remote  *Remote
	key     senderKey
	waiting []*question
	// slots holds one token for each call in flight.
	slots chan struct{}
	// idle is signalled when a call ends.
	idle chan struct{}
}

func (r *Remote) enqueue(key senderKey, q *question) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.senders[key]
	if !ok {
		s = &sender{remote: r, key: key, slots: make(chan struct{}, maxRemoteCalls), idle: make(chan struct{}, 1)}
		r.senders[key] = s
		go s.run()
	}
	s.waiting = append(s.waiting, q)
}

// take returns the questions that still have an asker. It returns false and
// ends the sender when there are none and no call is in flight.
func (s *sender) take() ([]*question, bool) {
	s.remote.mu.Lock()
	defer s.remote.mu.Unlock()
	var questions []*question
	for _, q := range s.waiting {
		if q.ctx.Err() == nil {
			questions = append(questions, q)
		}
	}
	s.waiting = nil
	if len(questions) == 0 && len(s.slots) == 0 {
		delete(s.remote.senders, s.key)
		return nil, false
	}
	return questions, true
}

func (s *sender) run() {
	for {
		questions, ok := s.take()
		if !ok {
			return
		}
		if len(questions) > 0 {
			s.start(questions)
		}
		select {
		case <-s.idle:
		case <-s.remote.clock.After(remoteCallAge):
		}
	}
}

// start makes a call in the background.
func (s *sender) start(questions []*question) {
	s.slots <- struct{}{}
	go func() {
		s.ask(questions)
		<-s.slots
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}()
}

// ask makes one call and answers all questions.
func (s *sender) ask(questions []*question) {
	ctx, cancel := context.WithTimeout(context.Background(), remoteCallTimeout)
	defer cancel()
	resp, err := s.remote.call(ctx, s.key, questions)
	if err == nil && len(resp.Results) != len(questions) {
		err = fmt.Errorf("confirm: %d results for %d items", len(resp.Results), len(questions))
	}
	for i, q := range questions {
		if err != nil {
			q.answer <- answer{err: err}
			continue
		}
		q.answer <- decodeResult(resp.Results[i])
	}
}

func (r *Remote) call(ctx context.Context, key senderKey, questions []*question) (*wire.ConfirmResponse, error) {
	conn, err := r.dialer.Dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	req := &wire.ConfirmRequest{
		Header: &wire.Header{Instance: r.instance, Lamport: r.recorder.Tick()},
		Group:  key.group,
		WaitMs: uint32(remoteWait.Milliseconds()),
	}
	for _, q := range questions {
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
