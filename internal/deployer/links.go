package deployer

import (
	"time"

	"marigoldhub.example/hub/standin/link"
)

// Links controls standin-link, which carries all traffic between processes.
type Links struct{ controlURL string }

// Set activates a rule. It replaces a rule with the same source and link.
func (l *Links) Set(r link.Rule) error { return call("POST", l.controlURL+"/v1/rule", r, nil) }

// Heal removes every rule that Set activated; the delays of the plan stay.
func (l *Links) Heal() error { return call("DELETE", l.controlURL+"/v1/rules", nil, nil) }

// Cut drops the bytes in both directions between source and the links that
// match. Connections stay open, as during a network partition.
func (l *Links) Cut(source, links string) error {
	return l.Set(link.Rule{Source: source, Link: links, CutToTarget: true, CutToSource: true})
}

// CutOneWay drops only the bytes from source to the links that match.
func (l *Links) CutOneWay(source, links string) error {
	return l.Set(link.Rule{Source: source, Link: links, CutToTarget: true})
}

// Bytes returns the traffic from every sender over every link.
func (l *Links) Bytes() ([]link.Usage, error) {
	var list []link.Usage
	err := call("GET", l.controlURL+"/v1/bytes", nil, &list)
	return list, err
}

func delayRule(source, links string, d time.Duration) link.Rule {
	delay := link.Duration(d)
	return link.Rule{Source: source, Link: links, DelayToTarget: &delay, DelayToSource: &delay}
}
