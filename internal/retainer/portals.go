package retainer

import "marigoldhub.example/hub/internal/classifier"

// Portals are the portals on a server connection by name. The zero value is empty.
type Portals struct{ byName map[string]*classifier.Result }

// Get returns the classification of a portal's statement.
func (p *Portals) Get(name string) (*classifier.Result, bool) {
	r, ok := p.byName[name]
	return r, ok
}

// Set adds a portal or replaces the one of that name.
func (p *Portals) Set(name string, r *classifier.Result) {
	if p.byName == nil {
		p.byName = make(map[string]*classifier.Result)
	}
	p.byName[name] = r
}

// Clear removes all portals.
func (p *Portals) Clear() { p.byName = nil }
