package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// aheadCrowd is the number of connections of the crowd at each entry, and aheadCalls the
	// number of requests that each sends.
	aheadCrowd, aheadCalls = 200, 4
	// aheadLines is the number of header lines of a request. Together they take 15750 bytes,
	// less than the limit of 16384 bytes.
	aheadLines = 2250
)

// runAhead sends safe requests with many header lines, one behind the other before the first
// is answered, or without the disruption one after the other.
func runAhead(rec *record, trouble bool) (bool, error) {
	var lines []string
	for i := range aheadLines {
		lines = append(lines, shortName(i)+":")
	}
	return runCrowd(rec, aheadCrowd, func(e *entry, l *ledger) {
		c, err := dial(e)
		if err != nil {
			return
		}
		defer c.Close()
		var calls []string
		for range aheadCalls {
			calls = append(calls, head(http.MethodGet, host, "/balance/9", l.newID(), readDeadline, lines...))
		}
		if trouble {
			calls = []string{strings.Join(calls, "")}
		}
		until := time.Now().Add(readDeadline)
		_ = c.SetDeadline(until)
		for _, text := range calls {
			if _, err := fmt.Fprint(c, text); err != nil {
				return
			}
			for range aheadCalls / len(calls) {
				if _, err := c.read(http.MethodGet, until); err != nil {
					return
				}
			}
		}
	})
}
