package report

import (
	"fmt"
	"html"
	"io"
	"strings"
)

// Series is one line of a plot.
type Series struct {
	Name   string
	Values []float64
}

// Plot is a line plot. The value at index i of a series has the x coordinate i.
type Plot struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
}

// The layout of a plot, in pixels.
const (
	plotWidth         = 760
	plotHeight        = 360
	marginLeft        = 60
	marginRight       = 20
	marginTop         = 40
	marginBottom      = 90
	gridLines         = 5
	legendColumnWidth = 240
	legendRowHeight   = 16
)

var colours = []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555"}

// WriteSVG writes the plot as a standalone SVG document.
func (p *Plot) WriteSVG(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="20" font-size="14">%s</text>`+"\n", marginLeft, html.EscapeString(p.Title))
	p.writeAxes(&b)
	for i := range p.Series {
		p.writeLine(&b, i)
		p.writeLegend(&b, i)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (p *Plot) stepCount() int {
	n := 2
	for _, s := range p.Series {
		n = max(n, len(s.Values))
	}
	return n - 1
}

func (p *Plot) maxY() float64 {
	top := 0.0
	for _, s := range p.Series {
		for _, v := range s.Values {
			top = max(top, v)
		}
	}
	if top == 0 {
		return 1
	}
	return top * 1.05
}

func (p *Plot) x(step int) float64 {
	return marginLeft + float64(step)/float64(p.stepCount())*(plotWidth-marginLeft-marginRight)
}

func (p *Plot) y(value float64) float64 {
	return marginTop + (1-value/p.maxY())*(plotHeight-marginTop-marginBottom)
}

func (p *Plot) writeAxes(b *strings.Builder) {
	axisY := plotHeight - marginBottom
	for i := range gridLines + 1 {
		value := p.maxY() * float64(i) / gridLines
		y := p.y(value)
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#dddddd"/>`+"\n", marginLeft, y, plotWidth-marginRight, y)
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%.4g</text>`+"\n", marginLeft-6, y+4, value)
		step := p.stepCount() * i / gridLines
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle">%d</text>`+"\n", p.x(step), axisY+16, step)
	}
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", marginLeft, axisY+32, html.EscapeString(p.XLabel))
	fmt.Fprintf(b, `<text x="%d" y="34">%s</text>`+"\n", marginLeft, html.EscapeString(p.YLabel))
}

func (p *Plot) writeLine(b *strings.Builder, i int) {
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, colours[i%len(colours)])
	for step, v := range p.Series[i].Values {
		fmt.Fprintf(b, "%.1f,%.1f ", p.x(step), p.y(v))
	}
	b.WriteString("\"/>\n")
}

func (p *Plot) writeLegend(b *strings.Builder, i int) {
	const perRow = 3
	x := marginLeft + i%perRow*legendColumnWidth
	y := plotHeight - marginBottom + 52 + i/perRow*legendRowHeight
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="10" height="10" fill="%s"/>`+"\n", x, y-9, colours[i%len(colours)])
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", x+14, y, html.EscapeString(p.Series[i].Name))
}
