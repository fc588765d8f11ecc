package store

import "time"

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Grant makes a lease.
func (s *Store) Grant(req LeaseRequest) (LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.TTL <= 0 {
		return LeaseResponse{}, NewError(CodeInvalidArgument, "etcdserver: TTL must be positive")
	}
	id := int64(req.ID)
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	if s.leases[id] != nil {
		return LeaseResponse{}, NewError(CodeInvalidArgument, "etcdserver: lease already exists")
	}
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return LeaseResponse{Header: NewHeader(s.revision), ID: Int64(id), TTL: req.TTL}, nil
}

// KeepAlive renews a lease. The TTL of a lease that no longer exists is 0.
func (s *Store) KeepAlive(id int64) LeaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	resp := LeaseResponse{Header: NewHeader(s.revision), ID: Int64(id)}
	if l := s.leases[id]; l != nil {
		l.expires = time.Now().Add(l.ttl)
		resp.TTL = Int64(l.ttl / time.Second)
	}
	return resp
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(id int64) (LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return LeaseResponse{}, NewError(CodeNotFound, "etcdserver: requested lease not found")
	}
	s.end(id)
	return LeaseResponse{Header: NewHeader(s.revision)}, nil
}

// Expire ends leases whose time is over.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// expire is Expire for callers that hold mu.
func (s *Store) expire() {
	t := time.Now()
	for id, l := range s.leases {
		if t.After(l.expires) {
			s.end(id)
		}
	}
}

// end removes a lease and its keys.
func (s *Store) end(id int64) {
	delete(s.leases, id)
	next, wrote := s.revision+1, len(s.history)
	for _, kv := range s.keys {
		if int64(kv.Lease) == id {
			s.remove(DeleteRequest{Key: kv.Key}, next)
		}
	}
	if len(s.history) > wrote {
		s.commit(next)
	}
}
