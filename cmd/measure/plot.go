package main

import (
	"bytes"
	"fmt"
	"html"
	"time"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/rig/load"
)

// plot shows goodput over time by importance, with a panel of the same scale for
// each policy. The time of the trigger is shaded.
type plot struct {
	title   string
	trigger time.Duration
	width   time.Duration // of a bucket
	panels  []panel
}

type panel struct {
	title   string
	buckets []load.Bucket
}

// Layout in pixels.
const (
	panelWidth  = 900
	panelHeight = 220
	marginLeft  = 70
	marginTop   = 50
	gap         = 50
	legendStep  = 110
	gridLines   = 4
)

// colours are indexed by importance, from low to critical.
var colours = [importance.Count]string{"#b0b0b0", "#6baed6", "#fd8d3c", "#d7301f"}

func (p *plot) svg() []byte {
	var b bytes.Buffer
	height := marginTop + len(p.panels)*(panelHeight+gap)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		marginLeft+panelWidth+gap, height)
	fmt.Fprintln(&b, `<rect width="100%" height="100%" fill="white"/>`)
	fmt.Fprintf(&b, `<text x="%d" y="20" font-size="15">%s</text>`+"\n", marginLeft, html.EscapeString(p.title))
	p.legend(&b)
	top := p.top()
	for i, panel := range p.panels {
		p.drawPanel(&b, panel, marginTop+i*(panelHeight+gap), top)
	}
	fmt.Fprintln(&b, "</svg>")
	return b.Bytes()
}

func (p *plot) legend(b *bytes.Buffer) {
	for level := range importance.Count {
		x := marginLeft + level*legendStep
		fmt.Fprintf(b, `<rect x="%d" y="28" width="12" height="12" fill="%s"/>`, x, colours[level])
		fmt.Fprintf(b, `<text x="%d" y="39">%s</text>`+"\n", x+16, importance.Importance(level))
	}
	fmt.Fprintf(b, `<text x="%d" y="39">good requests a second, stacked; shaded: trigger</text>`+"\n",
		marginLeft+importance.Count*legendStep)
}

// top returns the highest goodput of all panels, in requests a second.
func (p *plot) top() float64 {
	top := 1.0
	for _, panel := range p.panels {
		for _, bucket := range panel.buckets {
			sum := 0
			for _, good := range bucket.Good {
				sum += good
			}
			top = max(top, float64(sum)/p.width.Seconds())
		}
	}
	return top
}

func (p *plot) drawPanel(b *bytes.Buffer, panel panel, y int, top float64) {
	if len(panel.buckets) == 0 {
		return
	}
	first := panel.buckets[0].At
	span := panel.buckets[len(panel.buckets)-1].At + p.width - first
	x := func(at time.Duration) float64 {
		return marginLeft + float64(panelWidth)*float64(at-first)/float64(span)
	}
	fmt.Fprintf(b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#fff3c4"/>`+"\n", x(0), y, x(p.trigger)-x(0), panelHeight)
	for _, bucket := range panel.buckets {
		p.drawBucket(b, bucket, x(bucket.At), x(bucket.At+p.width), float64(y+panelHeight), top)
	}
	drawAxes(b, panel.title, y, top)
	for s := first.Truncate(time.Second); s < first+span; s += 2 * time.Second {
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle">%.0f s</text>`+"\n", x(s), y+panelHeight+15, s.Seconds())
	}
}

func (p *plot) drawBucket(b *bytes.Buffer, bucket load.Bucket, from, to, base, top float64) {
	for level := importance.Count - 1; level >= 0; level-- {
		height := panelHeight * float64(bucket.Good[level]) / p.width.Seconds() / top
		base -= height
		if height > 0 {
			fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`+"\n", from, base, to-from, height, colours[level])
		}
	}
}

func drawAxes(b *bytes.Buffer, title string, y int, top float64) {
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#444"/>`+"\n", marginLeft, y, panelWidth, panelHeight)
	fmt.Fprintf(b, `<text x="%d" y="%d" font-weight="bold">%s</text>`+"\n", marginLeft+8, y+18, title)
	for i := range gridLines + 1 {
		lineY := float64(y) + panelHeight*(1-float64(i)/gridLines)
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%.0f</text>`+"\n", marginLeft-6, lineY+4, top*float64(i)/gridLines)
	}
}
