package main

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/rig/load"
)

// bucketWidth is the resolution of the timelines and plots.
const bucketWidth = 250 * time.Millisecond

// runKey identifies the runs that are repeats of each other.
type runKey struct {
	user     string
	scenario string
	policy   string
}

// report collects the results of runs and writes them to a folder.
type report struct {
	dir   string
	order []runKey
	runs  map[runKey][]load.Figures
	plots map[string]*plot
}

func newReport(dir string) *report {
	return &report{dir: dir, runs: make(map[runKey][]load.Figures), plots: make(map[string]*plot)}
}

// add adds a run and writes its timeline, its row and its plot at once, so that
// an interrupted measurement keeps its results.
func (r *report) add(u *user, s scenario, policy string, repeat int, out outcome) error {
	k := runKey{user: u.name, scenario: s.name, policy: policy}
	if _, ok := r.runs[k]; !ok {
		r.order = append(r.order, k)
	}
	r.runs[k] = append(r.runs[k], out.figures)
	line := newRow(out.figures)
	fmt.Printf("%-11s %-18s %-8s %s\n", u.name, s.name, policy, line.short())
	if out.stall > maxStall {
		fmt.Printf("%-11s %-18s %-8s NOT VALID: the machine stalled for %v\n", u.name, s.name, policy, out.stall)
	}
	buckets := out.run.Timeline(bucketWidth)
	name := fmt.Sprintf("%s-%s-%s-%d", u.name, s.name, policy, repeat+1)
	if err := r.writeTimeline(name, buckets); err != nil {
		return err
	}
	if err := r.writeRow(k, repeat, out); err != nil {
		return err
	}
	if repeat == 0 {
		return r.addPlot(u, s, policy, buckets)
	}
	return nil
}

func (r *report) addPlot(u *user, s scenario, policy string, buckets []load.Bucket) error {
	name := u.name + "-" + s.name
	p, ok := r.plots[name]
	if !ok {
		p = &plot{title: u.name + ": " + s.title, trigger: triggerTime, width: bucketWidth}
		r.plots[name] = p
	}
	p.panels = append(p.panels, panel{title: policy, buckets: buckets})
	return r.writeFile(name+".svg", p.svg())
}

func (r *report) writeFile(name string, content []byte) error {
	return os.WriteFile(filepath.Join(r.dir, name), content, 0o644)
}

func (r *report) writeTimeline(name string, buckets []load.Bucket) error {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	header := []string{"seconds", "attempts"}
	for level := range importance.Count {
		name := importance.Importance(level).String()
		header = append(header, "offered_"+name, "good_"+name)
	}
	w.Write(header)
	for _, bucket := range buckets {
		line := []string{fmt.Sprintf("%.2f", bucket.At.Seconds()), strconv.Itoa(bucket.Attempts)}
		for level := range importance.Count {
			line = append(line, strconv.Itoa(bucket.Offered[level]), strconv.Itoa(bucket.Good[level]))
		}
		w.Write(line)
	}
	w.Flush()
	return r.writeFile("timeline-"+name+".csv", b.Bytes())
}

// writeRow appends one run to runs.csv.
func (r *report) writeRow(k runKey, repeat int, out outcome) error {
	path := filepath.Join(r.dir, "runs.csv")
	_, err := os.Stat(path)
	fresh := os.IsNotExist(err)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	cells := newRow(out.figures)
	if fresh {
		header := []string{"user", "scenario", "policy", "repeat", "stall_ms"}
		for _, c := range cells {
			header = append(header, c.name)
		}
		w.Write(header)
	}
	line := []string{k.user, k.scenario, k.policy, strconv.Itoa(repeat + 1), strconv.FormatInt(out.stall.Milliseconds(), 10)}
	for _, c := range cells {
		line = append(line, fmt.Sprintf("%.4g", c.value))
	}
	w.Write(line)
	w.Flush()
	return w.Error()
}

// writeTable writes the median, minimum and maximum of each figure to table.md.
func (r *report) writeTable() error {
	var b bytes.Buffer
	names := newRow(load.Figures{})
	fmt.Fprint(&b, "| user | scenario | policy | runs |")
	for _, c := range names {
		fmt.Fprintf(&b, " %s |", c.name)
	}
	fmt.Fprint(&b, "\n|---|---|---|---|")
	for range names {
		fmt.Fprint(&b, "---|")
	}
	fmt.Fprintln(&b)
	for _, k := range r.order {
		fmt.Fprintf(&b, "| %s | %s | %s | %d |", k.user, k.scenario, k.policy, len(r.runs[k]))
		for _, text := range spread(r.runs[k]) {
			fmt.Fprintf(&b, " %s |", text)
		}
		fmt.Fprintln(&b)
	}
	return r.writeFile("table.md", b.Bytes())
}

func spread(runs []load.Figures) []string {
	rows := make([]row, len(runs))
	for i, f := range runs {
		rows[i] = newRow(f)
	}
	texts := make([]string, len(rows[0]))
	for column := range texts {
		values := make([]float64, len(rows))
		for i := range rows {
			values[i] = rows[i][column].value
		}
		slices.Sort(values)
		texts[column] = rows[0][column].spread(values)
	}
	return texts
}
