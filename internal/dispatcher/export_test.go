package dispatcher

// Waiting returns how many requests wait for a slot of the server.
func (d *Dispatcher) Waiting(server string) int { return d.backends.Backend(server).Limiter.Waiting() }
