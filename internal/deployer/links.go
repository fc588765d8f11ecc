package deployer

import (
	"time"

	"marigoldhub.example/hub/standin/link"
)

// Links controls the stand-in that carries all traffic.
type Links struct{ controlURL string }

// Set puts a rule in force.
func (l *Links) Set(r link.Rule) error { return call("POST", l.controlURL+"/v1/rule", r, nil) }

// Heal removes every rule that Set put in force.
func (l *Links) Heal() error { return call("DELETE", l.controlURL+"/v1/rules", nil, nil) }

// Cut swallows the bytes from source to the links that match, and back.
func (l *Links) Cut(source, links string) error {
	return l.Set(link.Rule{Source: source, Link: links, CutToTarget: true, CutToSource: true})
}

// CutOneWay swallows only the bytes from source to the links that match.
func (l *Links) CutOneWay(source, links string) error {
	return l.Set(link.Rule{Source: source, Link: links, CutToTarget: true})
}

// Bytes returns the traffic of every sender over every link.
func (l *Links) Bytes() ([]link.Usage, error) {
	var list []link.Usage
	err := call("GET", l.controlURL+"/v1/bytes", nil, &list)
	return list, err
}

func delayRule(source, links string, d time.Duration) link.Rule {
	delay := link.Duration(d)
	return link.Rule{Source: source, Link: links, DelayToTarget: &delay, DelayToSource: &delay}
}
