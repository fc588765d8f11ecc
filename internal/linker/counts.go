package linker

// counts counts connections by user. The zero counts are ready for use.
type counts struct {
	sum int
	of  map[string]int
}

// add adds n connections of the user.
func (c *counts) add(user string, n int) {
	if c.of == nil {
		c.of = map[string]int{}
	}
	c.sum += n
	if c.of[user] += n; c.of[user] == 0 {
		delete(c.of, user)
	}
}
