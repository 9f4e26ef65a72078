package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

const base = `DataCentres: {Hobart: {}, Burnie: {}}
Services:
  S:
    Routes: {All: {PathPrefix: /, Class: Lookup}}
    Targets: {t: {Address: "10.0.0.1:80", DataCentre: Hobart}}
`

// serveLog starts a log service and returns its URL.
func serveLog(t *testing.T) (*emulator.Log, string) {
	t.Helper()
	log := emulator.NewLog(time.Hour, 1)
	s, err := emulator.Serve("127.0.0.1:0", log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return log, "http://" + s.Addr.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// ctl runs the tool and returns its exit code and everything it printed.
func ctl(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := run(t.Context(), args, &out, &out)
	return code, out.String()
}

func TestPublishFetchHistory(t *testing.T) {
	_, url := serveLog(t)
	file := write(t, "base.yaml", base)
	if code, out := ctl(t, "publish", "--log", url, "--base", file, "--note", "first"); code != 0 || !strings.Contains(out, "published as revision 1") {
		t.Fatalf("%d %s", code, out)
	}
	if code, out := ctl(t, "publish", "--log", url, "--base", file); code != exitFailed || !strings.Contains(out, "--expected") {
		t.Errorf("publish without --expected: %d %s", code, out)
	}
	if code, out := ctl(t, "publish", "--log", url, "--base", file, "--expected", "1"); code != 0 || !strings.Contains(out, "no differences from revision") {
		t.Errorf("same file again: %d %s", code, out)
	}
	if code, out := ctl(t, "drain", "Hobart", "--log", url); code != 0 || !strings.Contains(out, "revision 2") {
		t.Errorf("drain: %d %s", code, out)
	}
	if code, out := ctl(t, "drain", "Nowhere", "--log", url); code != exitFailed || !strings.Contains(out, "no data centre") {
		t.Errorf("drain of an unknown data centre: %d %s", code, out)
	}
	if code, out := ctl(t, "fetch", "--log", url); code != 0 || !strings.Contains(out, "# Revision 2") || !strings.Contains(out, "State: Out") {
		t.Errorf("fetch: %d %s", code, out)
	}
	code, out := ctl(t, "history", "--log", url, "--output", "json")
	var changes []publisher.Accepted
	if err := json.Unmarshal([]byte(out), &changes); err != nil || code != 0 || len(changes) != 2 || changes[0].Note != "first" {
		t.Errorf("history: %d %s %v", code, out, err)
	}
	code, out = ctl(t, "publish", "--log", url, "--base", file, "--expected", "1")
	if code != exitConflict || !strings.Contains(out, "data centre Hobart Out") {
		t.Errorf("publish on an old revision: %d %s", code, out)
	}
}

func TestPublishRefusesFindings(t *testing.T) {
	log, url := serveLog(t)
	file := write(t, "base.yaml", strings.Replace(base, "Lookup", "Guess", 1)+"Bogus: 1\n")
	code, out := ctl(t, "publish", "--log", url, "--base", file)
	if code != exitFindings || strings.Count(out, "base.yaml:") != 2 || log.Appends() != 0 {
		t.Errorf("%d, %d appends, %s", code, log.Appends(), out)
	}
	good := write(t, "good.yaml", base)
	over := write(t, "over.yaml", "Services: {S: {Targets: {t: {DataCentre: Perth}}}}")
	if code, out := ctl(t, "validate", "--base", good, "--overlay", "Burnie="+over); code != exitFindings || !strings.Contains(out, "over.yaml:1:42: ") {
		t.Errorf("validate: %d %s", code, out)
	}
	if code, out := ctl(t, "render", "--base", good, "--overlay", "Burnie="+over); code != 0 || !strings.Contains(out, "DataCentre: Perth") {
		t.Errorf("render: %d %s", code, out)
	}
}

// Two operators publish at once: exactly one wins, and the other is told.
func TestPublishTwiceAtOnce(t *testing.T) {
	_, url := serveLog(t)
	files := []string{write(t, "a.yaml", base), write(t, "b.yaml", "Entries: 3\n"+base)}
	codes, outs := make([]int, 2), make([]string, 2)
	var wg sync.WaitGroup
	for n, file := range files {
		wg.Go(func() { codes[n], outs[n] = ctl(t, "publish", "--log", url, "--base", file, "--expected", "0") })
	}
	wg.Wait()
	if codes[0]+codes[1] != exitConflict {
		t.Fatalf("exit codes %v, want 0 and %d: %q", codes, exitConflict, outs)
	}
	for n, code := range codes {
		if code == exitConflict && !strings.Contains(outs[n], "revision 1 was published first") {
			t.Errorf("loser was told %q", outs[n])
		}
	}
}

func TestPublishWhileTheLogIsDown(t *testing.T) {
	log, url := serveLog(t)
	log.SetFaults(emulator.Faults{Down: true})
	code, out := ctl(t, "publish", "--log", url, "--base", write(t, "base.yaml", base))
	if code != exitFailed {
		t.Errorf("%d %s", code, out)
	}
}

func TestStatusOfASilentEntry(t *testing.T) {
	if code, out := ctl(t, "status", "--entries", "127.0.0.1:1"); code != exitFailed || !strings.Contains(out, "1 of 1 entries did not return their status") {
		t.Errorf("%d %s", code, out)
	}
}

// The tool reads what a running entry answers.
func TestStatusAndDumpOfAnEntry(t *testing.T) {
	f, err := emulator.NewFleet(t.Context(), emulator.FleetOptions{
		Base: loader.MustParse("base.yaml", base), Entries: 1, Retention: time.Hour, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	endpoint := f.Entries[0].OperatorsAddr().String()
	if code, out := ctl(t, "status", "--entries", endpoint); code != 0 || !strings.Contains(out, "entry-01  Stand-in     Serving  1") {
		t.Errorf("status: %d %s", code, out)
	}
	if code, out := ctl(t, "dump", "--entry", endpoint); code != 0 || !strings.Contains(out, `"InForce": 1`) {
		t.Errorf("dump: %d %s", code, out)
	}
	if code, out := ctl(t, "history", "--log", f.LogURL); code != 0 || !strings.Contains(out, "fleet") {
		t.Errorf("history: %d %s", code, out)
	}
}

func TestHelpShowsExamples(t *testing.T) {
	for _, cmd := range []string{"validate", "render", "publish", "fetch", "history", "status", "drain", "restore", "dump"} {
		if code, out := ctl(t, cmd, "--help"); code != 0 || !strings.Contains(out, "Example: savoryctl "+cmd) {
			t.Errorf("%s --help: %d %s", cmd, code, out)
		}
	}
}
