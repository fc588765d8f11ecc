package relayer

import (
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/concluder"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/runner"
)

// retainFlushed passes on the answer to a batch that ended with Flush and
// retains its connection until Sync. Results that are passed on before Sync are
// provisional: the implicit transaction commits at Sync, and ReadyForQuery is
// withheld until the position of this commit is confirmed.
func (s *Session) retainFlushed(x *runner.Exchange) error {
	s.retainer.KeepUntilSync(x.Conn)
	s.flushed = x
	x.ApplyStatements()
	x.PartlySent = true
	return s.out.Flush()
}

// continueFlushed runs the next batch of an exchange that awaits Sync.
func (s *Session) continueFlushed(b *batcher.Batch) error {
	x := s.flushed
	s.flushed = nil
	p := s.plan(b)
	if p.Refusal != nil {
		return s.refuseFlushed(b, p)
	}
	x.Continue(b, p)
	if err := x.Run(); err != nil {
		return s.answerFlushed(x, s.concluder.Lost(x, err))
	}
	if b.Flushed {
		return s.retainFlushed(x)
	}
	s.retainer.EndSync()
	return s.answerFlushed(x, s.concluder.Conclude(x, nil))
}

func (s *Session) answerFlushed(x *runner.Exchange, a concluder.Verdict) error {
	if a.Failure != nil {
		return s.fail(x.Batch, a.Failure)
	}
	x.ApplyStatements()
	return s.ready()
}

// refuseFlushed ends an exchange that awaits Sync with an error. Nothing of it
// is committed, because Sync was not sent.
func (s *Session) refuseFlushed(b *batcher.Batch, p *planner.Plan) error {
	s.retainer.SetLostTransaction(s.retainer.Transaction().IsOpen)
	s.retainer.Discard()
	if p.Refusal.Code == resolver.CodeNotSupported {
		p.Refusal.Hint = "The batch was rolled back."
	}
	return s.fail(b, p.Refusal)
}
