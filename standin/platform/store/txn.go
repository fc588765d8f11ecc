package store

import (
	"bytes"
	"cmp"
)

// Txn runs a transaction: if all comparisons hold it runs the success branch,
// otherwise the failure branch. All its writes share one revision.
func (s *Store) Txn(req TxnRequest) (TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	ok := true
	for _, c := range req.Compare {
		holds, err := s.holds(c)
		if err != nil {
			return TxnResponse{}, NewError(CodeInvalidArgument, err.Error())
		}
		ok = ok && holds
	}
	ops := req.Failure
	if ok {
		ops = req.Success
	}
	if err := s.check(ops); err != nil {
		return TxnResponse{}, err
	}
	resp := TxnResponse{Succeeded: ok}
	next, wrote := s.revision+1, len(s.history)
	for _, op := range ops {
		resp.Responses = append(resp.Responses, s.apply(op, next))
	}
	if len(s.history) > wrote {
		s.commit(next)
	}
	resp.Header = NewHeader(s.revision)
	return resp, nil
}

// check refuses operations that the store cannot run, before any runs.
func (s *Store) check(ops []RequestOp) error {
	seen := map[string]bool{}
	for _, op := range ops {
		switch {
		case op.Put != nil:
			if err := s.checkPut(*op.Put); err != nil {
				return err
			}
			if seen[string(op.Put.Key)] {
				return NewError(CodeInvalidArgument, "etcdserver: duplicate key given in txn request")
			}
			seen[string(op.Put.Key)] = true
		case op.Range != nil, op.Delete != nil:
		default:
			return NewError(CodeInvalidArgument, "etcdserver: request is empty")
		}
	}
	return nil
}

func (s *Store) checkPut(req PutRequest) error {
	if len(req.Key) == 0 {
		return NewError(CodeInvalidArgument, "etcdserver: key is not provided")
	}
	if len(req.Value) > MaxValue {
		return NewError(CodeInvalidArgument, "etcdserver: request is too large")
	}
	if req.Lease != 0 && s.leases[int64(req.Lease)] == nil {
		return NewError(CodeNotFound, "etcdserver: requested lease not found")
	}
	return nil
}

func (s *Store) apply(op RequestOp, revision int64) ResponseOp {
	switch {
	case op.Put != nil:
		resp := s.put(*op.Put, revision)
		resp.Header = NewHeader(revision)
		return ResponseOp{Put: &resp}
	case op.Delete != nil:
		resp := s.remove(*op.Delete, revision)
		resp.Header = NewHeader(revision)
		return ResponseOp{Delete: &resp}
	}
	resp := find(s.keys, *op.Range)
	resp.Header = NewHeader(s.revision)
	return ResponseOp{Range: &resp}
}

// holds evaluates a comparison. A missing key has version and revisions 0, and
// no value.
func (s *Store) holds(c Compare) (bool, error) {
	target, err := c.Target.index("VERSION", "CREATE", "MOD", "VALUE", "LEASE")
	if err != nil {
		return false, err
	}
	result, err := c.Result.index("EQUAL", "GREATER", "LESS", "NOT_EQUAL")
	if err != nil {
		return false, err
	}
	kv, ok := s.keys[string(c.Key)]
	var order int
	switch target {
	case 0:
		order = cmp.Compare(kv.Version, c.Version)
	case 1:
		order = cmp.Compare(kv.CreateRevision, c.CreateRevision)
	case 2:
		order = cmp.Compare(kv.ModRevision, c.ModRevision)
	case 3:
		if !ok {
			return false, nil
		}
		order = bytes.Compare(kv.Value, c.Value)
	case 4:
		order = cmp.Compare(kv.Lease, c.Lease)
	}
	switch result {
	case 0:
		return order == 0, nil
	case 1:
		return order > 0, nil
	case 2:
		return order < 0, nil
	}
	return order != 0, nil
}

// One runs a single operation as a transaction.
func (s *Store) One(op RequestOp) (ResponseOp, error) {
	resp, err := s.Txn(TxnRequest{Success: []RequestOp{op}})
	if err != nil {
		return ResponseOp{}, err
	}
	return resp.Responses[0], nil
}
