package recorder

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Kinds of the promotion events with which LastPromotion begins and ends.
const (
	kindDetected    = "detected"
	kindEstablished = "established"
)

// ErrNoPromotion means that the events contain no promotion of the group.
var ErrNoPromotion = errors.New("the events contain no promotion of the group")

// LastPromotion returns the events of the group from the first event "detected"
// after the previous established term up to the newest established term. Without
// an established term it returns the events up to the last one.
func LastPromotion(events []Event, group string) ([]Event, error) {
	list := OfGroup(events, group)
	end := len(list)
	for i, e := range slices.Backward(list) {
		if e.Kind == kindEstablished {
			end = i + 1
			break
		}
	}
	start := -1
	for i, e := range slices.Backward(list[:end]) {
		if e.Kind == kindDetected {
			start = i
		}
		if e.Kind == kindEstablished && i < end-1 {
			break
		}
	}
	if start < 0 {
		return nil, ErrNoPromotion
	}
	return list[start:end], nil
}

// Lengths in units of the SVG's coordinate system.
const (
	svgWidth      = 1100
	svgLeft       = 170
	svgRight      = 190
	svgTop        = 60
	svgLaneHeight = 90
	svgLabelStep  = 14
	svgLabelRows  = 5
)

// WriteSVG draws the events with one lane per instance and wall time to the
// right. Wall clocks of instances may differ; the numbers in front of the
// labels give the order of the list.
func WriteSVG(w io.Writer, title string, events []Event) error {
	d := newDrawing(events)
	var b strings.Builder
	height := svgTop + svgLaneHeight*len(d.lanes)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="11">`+"\n", svgWidth, height)
	fmt.Fprintf(&b, `<text x="10" y="20" font-size="14">%s, %s</text>`+"\n", escape(title), d.span.Round(time.Microsecond))
	for i, lane := range d.lanes {
		y := d.laneY(i)
		fmt.Fprintf(&b, `<text x="10" y="%d">%s</text>`, y+4, escape(lane))
		fmt.Fprintf(&b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#999"/>`+"\n", svgLeft, y, svgWidth-svgRight, y)
	}
	for i, e := range events {
		d.writeEvent(&b, i, e)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// drawing holds the lanes and the time scale of a picture.
type drawing struct {
	lanes []string
	start time.Time
	span  time.Duration
}

func newDrawing(events []Event) drawing {
	var d drawing
	var end time.Time
	for _, e := range events {
		if !slices.Contains(d.lanes, e.Instance) {
			d.lanes = append(d.lanes, e.Instance)
		}
		if d.start.IsZero() || e.Wall.Before(d.start) {
			d.start = e.Wall
		}
		if e.Wall.After(end) {
			end = e.Wall
		}
	}
	slices.Sort(d.lanes)
	d.span = end.Sub(d.start)
	return d
}

func (d drawing) laneY(i int) int { return svgTop + i*svgLaneHeight }

func (d drawing) x(t time.Time) int {
	if d.span <= 0 {
		return svgLeft
	}
	return svgLeft + int(float64(svgWidth-svgLeft-svgRight)*float64(t.Sub(d.start))/float64(d.span))
}

func (d drawing) writeEvent(b *strings.Builder, i int, e Event) {
	x, y := d.x(e.Wall), d.laneY(slices.Index(d.lanes, e.Instance))
	label := fmt.Sprintf("%d %s +%s", i+1, e.Kind, e.Wall.Sub(d.start).Round(100*time.Microsecond))
	fmt.Fprintf(b, `<g><title>%s%s</title>`, escape(e.Kind), escape(e.details()))
	fmt.Fprintf(b, `<circle cx="%d" cy="%d" r="4" fill="#06c"/>`, x, y)
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text></g>`+"\n", x+6, y+svgLabelStep*(1+i%svgLabelRows), escape(label))
}

func escape(s string) string {
	var b strings.Builder
	if err := xml.EscapeText(&b, []byte(s)); err != nil {
		return ""
	}
	return b.String()
}
