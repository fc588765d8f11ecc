package enroller

// Member is one entry instance, or more exactly one process of it.
type Member struct {
	// Instance is the name of the instance.
	Instance string
	// Address is the "host:port" of the instance's drpc listener.
	Address string
	// Zone is the availability zone.
	Zone string
	// Incarnation distinguishes successive processes with the same instance
	// name; the higher one is the newer process.
	Incarnation uint64
	// Leaving is set when the member has announced that it is about to stop.
	Leaving bool
}

// Directory provides the members that are alive and the holder of each role.
type Directory interface {
	// Self returns this instance.
	Self() Member
	// Members returns the members that are alive and not leaving, this
	// instance included, in ascending order of Instance.
	Members() []Member
	// Holder returns the member that holds the role. It returns Self when no
	// member is known.
	Holder(role string) Member
	// HolderInZone returns the holder among the members of one availability
	// zone, and false if there is none. It ignores declined roles.
	HolderInZone(role, zone string) (Member, bool)
	// Changed returns a channel that is closed when Members next changes.
	Changed() <-chan struct{}
}
