package attempter

import (
	"errors"
	"sync"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
)

const (
	// retryRatio is how many further tries the requests to a service earn each. A full
	// queue gets at most that much more to refuse, whatever the number of requests.
	retryRatio = 0.2
	// maxRetryTokens is how many further tries a service may save up. While refusals are
	// rare, each request has all its tries.
	maxRetryTokens = 20
)

// ErrNoRetries means that a request was refused at a full queue and that the service has no
// further tries left.
var ErrNoRetries = errors.New("too many requests were refused at full queues to try again")

// retryBudget limits the tries that this instance makes after a refusal at a full queue, for
// each service. It answers an overload in which each refused request would come back at
// once, several times, to a server that cannot run the first tries.
type retryBudget struct {
	mu sync.Mutex
	// spent is by how much each service is below maxRetryTokens.
	spent map[string]float64
}

// earn records the first try of a request.
func (rb *retryBudget) earn(service string) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if left := rb.spent[service] - retryRatio; left > 0 {
		rb.spent[service] = left
	} else {
		delete(rb.spent, service)
	}
}

// spend takes a further try and reports whether there was one.
func (rb *retryBudget) spend(service string) bool {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if rb.spent[service] > maxRetryTokens-1 {
		return false
	}
	if rb.spent == nil {
		rb.spent = map[string]float64{}
	}
	rb.spent[service]++
	return true
}

// IsFull reports whether an attempt that ran nothing was refused at a full queue, by the
// server or by the gateway that orders its work.
func IsFull(code exchanger.Code, err error) bool {
	return errors.Is(err, connector.ErrOverloaded) && !errors.Is(err, connector.ErrCallerLeft) || err == nil && code == exchanger.Busy
}

// EarnRetry records the first try of a request to the service.
func (t *Attempter) EarnRetry(service string) { t.retryBudget.earn(service) }

// MayRetry reports whether an attempt that ran nothing may be followed by another one.
func (t *Attempter) MayRetry(service string, code exchanger.Code, err error) bool {
	return !IsFull(code, err) || t.SpendRetry(service)
}

// SpendRetry takes a further try from the budget of the service and reports whether there
// was one.
func (t *Attempter) SpendRetry(service string) bool {
	if t.retryBudget.spend(service) {
		return true
	}
	t.count.retriesRefused.Inc(1)
	return false
}
