package sampler

import "fmt"

// Point is one measured value at a size.
type Point struct{ X, Y float64 }

// Slope is a measured quantity over a size, with its least squares line.
type Slope struct {
	Name string
	// Unit is the unit of Y, Per the unit of X.
	Unit, Per string
	Points    []Point
}

// Fit returns the line y = base + rate*x through the points. The rate is 0
// when all points have the same size.
func (s Slope) Fit() (base, rate float64) {
	n := float64(len(s.Points))
	if n == 0 {
		return 0, 0
	}
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	if d := n*sxx - sx*sx; d != 0 {
		rate = (n*sxy - sx*sy) / d
	}
	return (sy - rate*sx) / n, rate
}

// At returns the value that the line predicts.
func (s Slope) At(x float64) float64 {
	base, rate := s.Fit()
	return base + rate*x
}

func (s Slope) pointList() string {
	text := ""
	for i, p := range s.Points {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%g:%.5g", p.X, p.Y)
	}
	return text
}
