package platform

import "time"

// expiryInterval is the time between checks for expired leases.
const expiryInterval = 50 * time.Millisecond

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func (s *kv) grant(req leaseRequest) (leaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.TTL <= 0 {
		return leaseResponse{}, newError(codeInvalidArgument, "etcdserver: TTL must be positive")
	}
	id := int64(req.ID)
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	if s.leases[id] != nil {
		return leaseResponse{}, newError(codeInvalidArgument, "etcdserver: lease already exists")
	}
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return leaseResponse{Header: headerAt(s.revision), ID: int64s(id), TTL: req.TTL}, nil
}

// keepAlive renews a lease. The TTL of a lease that no longer exists is 0.
func (s *kv) keepAlive(id int64) leaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	resp := leaseResponse{Header: headerAt(s.revision), ID: int64s(id)}
	if l := s.leases[id]; l != nil {
		l.expires = time.Now().Add(l.ttl)
		resp.TTL = int64s(l.ttl / time.Second)
	}
	return resp
}

func (s *kv) revoke(id int64) (leaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return leaseResponse{}, newError(codeNotFound, "etcdserver: requested lease not found")
	}
	s.end(id)
	return leaseResponse{Header: headerAt(s.revision)}, nil
}

// expire ends leases whose time is over. The caller holds mu.
func (s *kv) expire() {
	t := time.Now()
	for id, l := range s.leases {
		if t.After(l.expires) {
			s.end(id)
		}
	}
}

// end removes a lease and its keys.
func (s *kv) end(id int64) {
	delete(s.leases, id)
	next, wrote := s.revision+1, len(s.history)
	for _, kv := range s.keys {
		if int64(kv.Lease) == id {
			s.remove(deleteRequest{Key: kv.Key}, next)
		}
	}
	if len(s.history) > wrote {
		s.commit(next)
	}
}
