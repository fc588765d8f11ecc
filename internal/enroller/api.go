package enroller

// Member is one entry instance.
type Member struct {
	Instance string
	// Address is the "host:port" of the instance's drpc listener.
	Address string
	// Zone is the availability zone.
	Zone string
	// Incarnation distinguishes restarts of one instance name.
	Incarnation uint64
	Leaving     bool
}

// Directory tells who is alive and who holds which duty.
type Directory interface {
	// Self returns this instance.
	Self() Member
	// Members returns the members alive at first hand that are not leaving,
	// this instance included, in ascending order of Instance.
	Members() []Member
	// Holder returns the member that holds the duty. It falls back to Self
	// when no member is known.
	Holder(role string) Member
	// HolderInZone is Holder over the members of one availability zone.
	HolderInZone(role, zone string) (Member, bool)
	// Changed returns a channel that is closed when Members next changes.
	Changed() <-chan struct{}
}
