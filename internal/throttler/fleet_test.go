package throttler

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/placer"
)

// step is the resolution of the model's time.
const step = time.Millisecond

// fleet is a model of instances in one goroutine: ledgers and allocators are the real
// ones, messages take time, and links behave as [link] does.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	budget allocator.Budget
	quotas *allocator.Quotas
	// version is that of the last configuration, 0 as long as they have none.
	version int64
	// allocated are the quotas that allocators have; nil means those that all have.
	allocated *allocator.Quotas
	instances []*instance
	byName    map[string]*instance
	// ran has the times at which operations of each team were admitted.
	ran map[string][]time.Time
	// ranPriority counts the admitted operations of each priority.
	ranPriority map[int]int
	// asked and refused count operations by team and instance.
	asked, admitted map[string]map[string]int
	// delay is the time of a message from one instance to another.
	delay time.Duration
	// answerTime is how long the instance takes to answer a request; nil means no time.
	answerTime func(in *instance) time.Duration
	// pausing are instances whose processes stand still for 50 to 200 ms now and then.
	pausing []*instance
	// lossEvery loses every n-th answer; 0 loses none.
	lossEvery, answers int
	// bytes is the size of all requests and answers.
	bytes int
	// isCut reports whether two instances cannot reach each other.
	isCut func(a, b *instance) bool
	// refunds is true if operations may be given back. If lateRefund is set, those that
	// begin before refundUntil all are, that much later.
	refunds     bool
	lateRefund  time.Duration
	refundUntil time.Time
	late        []lateOperation
	log         logrus.FieldLogger
}

// instance is a machine of the model.
type instance struct {
	f         *fleet
	name      string
	peers     []placer.Peer
	ledger    *ledger
	allocator *allocator.Allocator
	chooser   allocatorChoice
	roster    roster
	regular   time.Time
	pending   *message
	inbox     []*message
	// current is the instance that allocates for this one; changes counts how often another one
	// did.
	current string
	changes int
	// down is until when the process is dead, frozen until when it is suspended.
	down, frozen time.Time
	waiting      []*waiting
}

// message is a request on its way, its answer, or the error that came back.
type message struct {
	from, to *instance
	request  request
	isProbe  bool
	out      *wire.QuotaResponse
	isAnswer bool
	refused  bool
	at       time.Time
	// late is how much later than usual it arrives.
	late time.Duration
}

// waiting is an operation that waits.
type waiting struct {
	team     string
	priority int
	account  *account
	w        *waiter
}

// lateOperation is an operation that is given back at a time.
type lateOperation struct {
	outcome
	at time.Time
}

// clock gives the model's time.
type clock struct {
	clockwork.Clock
	f *fleet
}

func (c clock) Now() time.Time { return c.f.now }

var ruleBudget = allocator.Budget{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

func newFleet(seed uint64, n int, teams ...testTeam) *fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), budget: ruleBudget, byName: map[string]*instance{}, log: log,
		ran: map[string][]time.Time{}, ranPriority: map[int]int{}, asked: map[string]map[string]int{}, admitted: map[string]map[string]int{}, delay: step,
	}
	f.configure(teams...)
	var peers []placer.Peer
	for i := range n {
		peers = append(peers, placer.Peer{Name: fmt.Sprintf("i%d", i), Processor: 200})
	}
	for _, p := range peers {
		in := &instance{f: f, name: p.Name, peers: peers}
		f.instances = append(f.instances, in)
		f.byName[p.Name] = in
		in.start()
	}
	return f
}

func (f *fleet) configure(teams ...testTeam) {
	byTeam := map[string]allocator.Quota{}
	for _, t := range teams {
		byTeam[t.Name] = t.Quota
	}
	f.quotas = allocator.NewQuotas(byTeam).WithVersion(f.version)
}

// reconfigure makes another configuration known to instances, but not to allocators.
func (f *fleet) reconfigure(hasVersions bool, teams ...testTeam) {
	f.allocated = f.quotas
	if hasVersions {
		f.allocated = f.quotas.WithVersion(1)
		f.version = 2
	}
	f.configure(teams...)
}

func (f *fleet) quotasOfAllocators() *allocator.Quotas {
	if f.allocated != nil {
		return f.allocated
	}
	return f.quotas
}

// start begins a new process of the instance.
func (in *instance) start() {
	f := in.f
	in.allocator = allocator.New(allocator.Config{
		Quotas: f.quotasOfAllocators, Budget: f.budget, Instances: func() int { return len(in.peers) },
		Clock: clock{f: f}, Metrics: metrics.NewRegistry(), Log: f.log,
	})
	in.ledger = &ledger{instance: in.name, group: "1/1", accounts: map[string]*account{}, contributed: f.now, capacity: func(team string, limits allocator.Limits) float64 {
		return reserveCapacity(team, in.name, limits, in.peers, len(in.peers))
	}}
	in.roster = roster{}
	in.chooser, in.pending, in.inbox, in.waiting = allocatorChoice{}, nil, nil, nil
	in.regular = f.now.Add(time.Duration(f.rng.Int64N(int64(allocator.PollInterval))))
	in.ledger.observe(len(in.peers), f.now)
}

func (in *instance) isDown() bool   { return in.f.now.Before(in.down) }
func (in *instance) isFrozen() bool { return in.f.now.Before(in.frozen) }

// kill ends the process for a while.
func (in *instance) kill(d time.Duration) { in.down = in.f.now.Add(d) }

// freeze suspends the process for a while.
func (in *instance) freeze(d time.Duration) { in.frozen = in.f.now.Add(d) }

// ask runs an operation of the team at the instance.
func (in *instance) ask(team string) { in.askPriority(team, 0) }

// askPriority is ask for an operation of the priority.
func (in *instance) askPriority(team string, priority int) {
	if in.isDown() || in.isFrozen() {
		return
	}
	f := in.f
	quota, _ := f.quotas.Of(team)
	limits := f.budget.Limits(quota)
	a := in.ledger.account(team, limits, f.quotas.Version())
	count(f.asked, team, in.name)
	o, w := in.ledger.admit(a, priority, f.now, f.now.Add(40*time.Millisecond))
	if w != nil {
		in.waiting = append(in.waiting, &waiting{team, priority, a, w})
		return
	}
	in.finish(team, priority, o)
}

func count(m map[string]map[string]int, team, instance string) {
	if m[team] == nil {
		m[team] = map[string]int{}
	}
	m[team][instance]++
}

// finish records the outcome of an operation.
func (in *instance) finish(team string, priority int, o outcome) {
	f := in.f
	switch {
	case o.refusal != nil:
	case f.now.Before(f.refundUntil):
		f.late = append(f.late, lateOperation{o, f.now.Add(f.lateRefund)})
	case f.refunds && f.rng.IntN(5) == 0:
		f.giveBack(o)
	default:
		o.account.end(o.expires, f.now)
		f.ran[team] = append(f.ran[team], f.now)
		count(f.admitted, team, in.name)
		f.ranPriority[priority]++
	}
}

// giveBack refunds an operation.
func (f *fleet) giveBack(o outcome) {
	if o.expires.IsZero() {
		o.account.putReserve()
	} else if o.account.end(o.expires, f.now) {
		o.account.put(lot{1, o.expires}, f.now)
	}
}

// advance runs the model for a millisecond.
func (f *fleet) advance() {
	f.now = f.now.Add(step)
	for len(f.late) > 0 && !f.now.Before(f.late[0].at) {
		f.giveBack(f.late[0].outcome)
		f.late = f.late[1:]
	}
	for _, in := range f.pausing {
		if !in.isFrozen() && f.rng.IntN(100) == 0 {
			in.freeze(time.Duration(50+f.rng.IntN(150)) * time.Millisecond)
		}
	}
	for _, in := range f.instances {
		in.advance()
	}
}

func (in *instance) advance() {
	f := in.f
	if in.isDown() {
		for _, m := range in.inbox {
			if !m.isAnswer && !m.refused {
				f.send(&message{from: in, to: m.from, request: m.request, refused: true})
			}
		}
		in.inbox = nil
		in.ledger = nil
		return
	}
	if in.ledger == nil {
		in.start()
	}
	if in.isFrozen() {
		return
	}
	in.receive()
	in.wait()
	in.exchange()
}

// receive processes the messages that have arrived.
func (in *instance) receive() {
	f := in.f
	var rest []*message
	inbox := in.inbox
	in.inbox = nil
	for _, m := range inbox {
		switch {
		case f.now.Before(m.at):
			rest = append(rest, m)
		case !m.isAnswer && !m.refused:
			out, _ := in.allocator.Acquire(context.Background(), m.request.QuotaRequest)
			f.bytes += proto.Size(m.request.QuotaRequest) + proto.Size(out)
			if f.answers++; f.lossEvery == 0 || f.answers%f.lossEvery != 0 {
				f.send(&message{from: in, to: m.from, request: m.request, isProbe: m.isProbe, out: out, isAnswer: true, late: in.answerTime()})
			}
		case in.pending == nil || in.pending.request.Sequence != m.request.Sequence:
			// The sender has given up.
		case m.refused || m.out.GetDeclined():
			in.ledger.takeBack(m.request)
			in.chooser.reached[m.from.name].unreached(f.now)
			in.pending, in.regular = nil, f.now
		default:
			in.chooser.reached[m.from.name].answered(m.out, f.now)
			in.ledger.accept(m.request, m.out, f.now)
			if m.isProbe {
				in.pending, in.regular = nil, f.now
				continue
			}
			in.chooser.adopt(in.chooser.reached[m.from.name], f.now)
			in.setCurrent(m.from.name)
			poll := pollAfter(m.out)
			in.pending, in.regular = nil, f.now.Add(poll*3/4+time.Duration(f.rng.Int64N(int64(poll/2))))
		}
	}
	in.inbox = append(rest, in.inbox...)
}

// answerTime returns how long this instance takes to answer.
func (in *instance) answerTime() time.Duration {
	if in.f.answerTime == nil {
		return 0
	}
	return in.f.answerTime(in)
}

// setCurrent counts the changes of the allocator as [link.setCurrent] logs them.
func (in *instance) setCurrent(name string) {
	if name != in.current {
		in.current = name
		in.changes++
	}
}

// send puts a message into the receiver's inbox, unless the two are cut.
func (f *fleet) send(m *message) {
	m.at = f.now.Add(f.delay + m.late)
	if m.from == m.to {
		m.at = f.now.Add(m.late)
	}
	if m.from != m.to && f.isCut != nil && f.isCut(m.from, m.to) {
		return
	}
	m.to.inbox = append(m.to.inbox, m)
}

// wait ends the waits that are over.
func (in *instance) wait() {
	var rest []*waiting
	waits := in.waiting
	in.waiting = nil
	for _, w := range waits {
		select {
		case o := <-w.w.outcome:
			in.finish(w.team, w.priority, o)
			continue
		default:
		}
		if in.f.now.Before(w.w.giveUp) {
			rest = append(rest, w)
			continue
		}
		in.ledger.giveUp(w.account, w.w)
	}
	in.waiting = append(rest, in.waiting...)
}

// exchange sends a request if one is due.
func (in *instance) exchange() {
	f := in.f
	if in.pending != nil {
		if f.now.Sub(in.pending.request.sent) < requestTimeout {
			return
		}
		var known []*reachability
		for _, r := range in.chooser.reached {
			known = append(known, r)
		}
		in.chooser.reached[in.pending.to.name].timedOut(timeoutLimit(known, f.now), f.now)
		in.pending, in.regular = nil, f.now
	}
	due := in.ledger.next(f.now)
	isUrgent := !due.IsZero() && !due.After(f.now)
	if !isUrgent && f.now.Before(in.regular) {
		return
	}
	peers := in.roster.observe(in.peers, f.now)
	in.ledger.observe(len(peers), f.now)
	chosen := chosenBy(peers)
	i, isProbe := in.chooser.choose(in.chooser.candidates(chosen), isUrgent, f.now)
	if i < 0 {
		in.setCurrent("")
		in.ledger.goAlone(f.now)
		in.regular = f.now.Add(alonePause)
		return
	}
	in.ledger.endSilence(f.now)
	in.pending = &message{from: in, to: f.byName[chosen[i].Name], request: in.ledger.request(isProbe, f.now), isProbe: isProbe}
	f.send(in.pending)
}

// mostInWindow returns the largest number of the team's operations in a span of the
// window that begins at from or later.
func (f *fleet) mostInWindow(team string, from time.Time) int {
	most, first := 0, 0
	ran := f.ran[team]
	for i, t := range ran {
		for t.Sub(ran[first]) >= f.budget.Window || ran[first].Before(from) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed returns how many operations the rule allows the team in a window.
func (f *fleet) allowed(t testTeam) int {
	w := f.budget.Window.Seconds()
	return int((t.RatePerSecond*w+t.Burst)*(1+f.budget.Excess) + f.budget.Slack)
}

// chosenBy returns the candidates of an instance with the list.
func chosenBy(peers []placer.Peer) []placer.Peer {
	return placer.Gateways("quota/1/1", "", peers, candidates)
}
