package storer

// Transaction is a set of compares and the operations that run if all of them
// hold. It is immutable; the With methods return an extended copy.
type Transaction struct {
	compares   []compare
	operations []operation
}

// compare requires that the key has the ModRevision; 0 means that it is absent.
type compare struct {
	key      string
	revision int64
}

type operation struct {
	key    string
	value  []byte
	lease  int64
	delete bool
}

// WithUnchanged requires that the key was last modified at the revision.
func (t Transaction) WithUnchanged(key string, modRevision int64) Transaction {
	t.compares = append(t.compares[:len(t.compares):len(t.compares)], compare{key, modRevision})
	return t
}

// WithAbsent requires that the key does not exist.
func (t Transaction) WithAbsent(key string) Transaction { return t.WithUnchanged(key, 0) }

// WithPut sets the key.
func (t Transaction) WithPut(key string, value []byte) Transaction {
	return t.withOperation(operation{key: key, value: value})
}

// WithLeasedPut sets the key until the lease ends.
func (t Transaction) WithLeasedPut(key string, value []byte, lease int64) Transaction {
	return t.withOperation(operation{key: key, value: value, lease: lease})
}

// WithDelete deletes the key.
func (t Transaction) WithDelete(key string) Transaction {
	return t.withOperation(operation{key: key, delete: true})
}

func (t Transaction) withOperation(o operation) Transaction {
	t.operations = append(t.operations[:len(t.operations):len(t.operations)], o)
	return t
}

// Apply runs the transaction on a simple map of keys, for implementations of
// Store without leases. It returns whether the compares held. modRevision returns
// 0 for an absent key.
func (t Transaction) Apply(modRevision func(key string) int64, put func(key string, value []byte), remove func(key string)) bool {
	for _, c := range t.compares {
		if modRevision(c.key) != c.revision {
			return false
		}
	}
	for _, o := range t.operations {
		if o.delete {
			remove(o.key)
		} else {
			put(o.key, o.value)
		}
	}
	return true
}

// Each calls the functions for all compares and then for all operations, for
// implementations of Store that translate them.
func (t Transaction) Each(unchanged func(key string, modRevision int64), put func(key string, value []byte, lease int64), remove func(key string)) {
	for _, c := range t.compares {
		unchanged(c.key, c.revision)
	}
	for _, o := range t.operations {
		if o.delete {
			remove(o.key)
		} else {
			put(o.key, o.value, o.lease)
		}
	}
}
