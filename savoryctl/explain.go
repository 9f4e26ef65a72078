package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// explainBefore is how long before a request's end its surroundings are
	// told.
	explainBefore = 5 * time.Second
	// maxLine bounds a line of a log, in bytes.
	maxLine = 1 << 20
)

// explainCmd tells what became of one request.
type explainCmd struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" type:"existingfile" help:"Logs of entries; what stands before a line's JSON is taken for the entry's name."`
}

// logLine is a line of an entry's log.
type logLine struct {
	Source   string `json:"-"`
	Text     string `json:"-"`
	Time     int64
	Message  string
	Request  string
	Service  string
	Attempts []struct {
		Target, Result                       string
		Running, Waiting                     int
		Pace, LoadAge, Expected, Began, Took float64
		Far, Hedge                           bool
	}
	Status                       int
	Reason, Route                string
	Version                      uint64
	Looks, Asked                 int
	Took, Left, Least, Objective float64
}

// Run prints the end of the request, its attempts, and what the same entry
// noted of its fleet shortly before.
func (c *explainCmd) Run(w io.Writer) error {
	var lines []logLine
	for _, file := range c.Files {
		found, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return int(a.Time - b.Time) })
	i := slices.IndexFunc(lines, func(l logLine) bool { return l.Request == c.ID })
	if i < 0 {
		return errors.Newf("no line of request %s; served requests are sampled, so it may have been served", c.ID)
	}
	end := lines[i]
	for _, l := range lines[:i] {
		if l.Source == end.Source && l.Request == "" && end.Time-l.Time <= explainBefore.Milliseconds() {
			fmt.Fprintf(w, "%7.3f s before: %s\n", float64(end.Time-l.Time)/1000, l.Text)
		}
	}
	for _, a := range end.Attempts {
		fmt.Fprintf(w, "sent to %s %.1f ms after its arrival: %d running, %d waiting, pace %.2f as of %.1f ms before; expected %.0f ms, took %.0f ms: %s\n",
			a.Target, a.Began, a.Running, a.Waiting, a.Pace, a.LoadAge, a.Expected, a.Took, a.Result)
	}
	fmt.Fprintf(w, "%s: status %d, %s; route %s by version %d, service %s; %d targets answered in %d looks; took %.1f ms, %.0f ms were left\n",
		end.Message, end.Status, end.Reason, end.Route, end.Version, end.Service, end.Asked, end.Looks, end.Took, end.Left)
	if end.Message == "refused" && end.Least > 0 {
		fmt.Fprintf(w, "the earliest answer was expected after %.0f ms, against an objective of %.0f ms\n", end.Least, end.Objective)
	}
	return nil
}

// readLog reads the lines of a log. Lines that are not an entry's are passed
// over.
func readLog(file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer f.Close()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(text[start:], &l) != nil || l.Message == "" {
			continue
		}
		l.Source, l.Text = file, string(text[start:])
		if fields := bytes.Fields(text[:start]); len(fields) > 0 {
			l.Source = string(fields[len(fields)-1])
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrapf(scanner.Err(), "log %s", file)
}
