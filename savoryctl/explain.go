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
	// explainWindow is the time before the end of a request from which other
	// lines of the same entry are printed.
	explainWindow = 5 * time.Second
	// maxLineBytes limits a line of a log file; longer lines are an error.
	maxLineBytes = 1 << 20
)

// explainCmd prints the outcome of a request from the logs of entries.
type explainCmd struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" type:"existingfile" help:"Logs of entries; what stands before a line's JSON is taken for the entry's name."`
}

// logLine is a line of an entry's log, with the names of its keys. Time is in Unix
// milliseconds; Took, Left, Least, Objective and the times of an attempt are in
// milliseconds.
type logLine struct {
	// Source is the name of the entry, or of the file if the line has no prefix.
	Source string `json:"-"`
	// Text is the line's JSON.
	Text    string `json:"-"`
	Time    int64
	Message string
	Request string
	Service string
	// Attempts are the attempts of the request. Running, Waiting and Pace are the
	// load that the target reported, LoadAge the age of that report, negative if
	// there was none. Pace is the processing time as a multiple of the usual one.
	// Expected is the predicted response time, and Began the time from the arrival
	// of the request to the start of the attempt.
	Attempts []struct {
		Target, Result                       string
		Running, Waiting                     int
		Pace, LoadAge, Expected, Began, Took float64
		Far, Hedge                           bool
	}
	Status        int
	Reason, Route string
	// Version is that of the router's configuration.
	Version uint64
	// Looks is the number of probe rounds, Asked the number of answered probes.
	Looks, Asked int
	// Left is the time until the request's deadline. Least is the earliest expected
	// answer of a refused request, Objective the target latency of its route.
	Took, Left, Least, Objective float64
	// Ahead is the number of waiting requests that went before a refused one, Rate how
	// many requests per second got a target, and RetryAfter when its caller was told
	// to come back, in milliseconds.
	Ahead            int
	Rate, RetryAfter float64
}

// Run prints the log lines of the request's entry about the fleet, which have
// no request ID, from the explainWindow before the request ended. The attempts
// and the outcome of the request follow.
func (c *explainCmd) Run(w io.Writer) error {
	var lines []logLine
	for _, file := range c.Files {
		fileLines, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return int(a.Time - b.Time) })
	i := slices.IndexFunc(lines, func(l logLine) bool { return l.Request == c.ID })
	if i < 0 {
		return errors.Newf("no log line for request %s; the lines of served requests are sampled, so it may have been served", c.ID)
	}
	requestLine := lines[i]
	for _, l := range lines[:i] {
		if l.Source == requestLine.Source && l.Request == "" && requestLine.Time-l.Time <= explainWindow.Milliseconds() {
			fmt.Fprintf(w, "%7.3f s before: %s\n", float64(requestLine.Time-l.Time)/1000, l.Text)
		}
	}
	for _, a := range requestLine.Attempts {
		fmt.Fprintf(w, "sent to %s %.1f ms after its arrival: %d running, %d waiting, pace %.2f as of %.1f ms before; expected %.0f ms, took %.0f ms: %s\n",
			a.Target, a.Began, a.Running, a.Waiting, a.Pace, a.LoadAge, a.Expected, a.Took, a.Result)
	}
	fmt.Fprintf(w, "%s: status %d, %s; route %s by version %d, service %s; %d targets answered in %d looks; took %.1f ms, %.0f ms were left\n",
		requestLine.Message, requestLine.Status, requestLine.Reason, requestLine.Route, requestLine.Version, requestLine.Service, requestLine.Asked, requestLine.Looks, requestLine.Took, requestLine.Left)
	if requestLine.Message == "refused" && requestLine.Rate > 0 {
		fmt.Fprintf(w, "%d waiting requests went first, at %.1f a second; its caller was told to come back after %.0f ms\n",
			requestLine.Ahead, requestLine.Rate, requestLine.RetryAfter)
	}
	if requestLine.Message == "refused" && requestLine.Least > 0 {
		fmt.Fprintf(w, "the earliest answer was expected after %.0f ms, against an objective of %.0f ms\n", requestLine.Least, requestLine.Objective)
	}
	return nil
}

// readLog reads the JSON lines of an entry's log from a file, and skips other
// lines. The last word before the JSON, if any, is taken as the entry's name.
func readLog(file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer f.Close()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
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
	return lines, errors.Wrapf(scanner.Err(), "read log %s", file)
}
