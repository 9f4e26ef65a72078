package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

const baseYAML = `DataCentres: {Hobart: {}, Burnie: {}}
Services:
  S:
    Routes: {All: {PathPrefix: /, Class: Lookup}}
    Targets: {t: {Address: "10.0.0.1:80", DataCentre: Hobart}}
`

// serveLog starts an emulated log service, and returns it with its URL.
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

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// runCtl runs savoryctl and returns its exit code, and its standard output and
// error together.
func runCtl(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := run(t.Context(), args, &out, &out)
	return code, out.String()
}

func TestPublishFetchHistory(t *testing.T) {
	_, url := serveLog(t)
	file := writeFile(t, "base.yaml", baseYAML)
	if code, out := runCtl(t, "publish", "--log", url, "--base", file, "--note", "first"); code != 0 || !strings.Contains(out, "published as revision 1") {
		t.Fatalf("publish: %d %s", code, out)
	}
	if code, out := runCtl(t, "publish", "--log", url, "--base", file); code != exitFailed || !strings.Contains(out, "--expected") {
		t.Errorf("publish without --expected: %d %s", code, out)
	}
	if code, out := runCtl(t, "publish", "--log", url, "--base", file, "--expected", "1"); code != 0 || !strings.Contains(out, "no differences from revision") {
		t.Errorf("publish unchanged file: %d %s", code, out)
	}
	if code, out := runCtl(t, "drain", "Hobart", "--log", url); code != 0 || !strings.Contains(out, "revision 2") {
		t.Errorf("drain: %d %s", code, out)
	}
	if code, out := runCtl(t, "drain", "Nowhere", "--log", url); code != exitFailed || !strings.Contains(out, "no data centre") {
		t.Errorf("drain unknown data centre: %d %s", code, out)
	}
	if code, out := runCtl(t, "fetch", "--log", url); code != 0 || !strings.Contains(out, "# Revision 2") || !strings.Contains(out, "State: Out") {
		t.Errorf("fetch: %d %s", code, out)
	}
	code, out := runCtl(t, "history", "--log", url, "--output", "json")
	var changes []publisher.Accepted
	if err := json.Unmarshal([]byte(out), &changes); err != nil || code != 0 || len(changes) != 2 || changes[0].Note != "first" {
		t.Errorf("history: %d %s %v", code, out, err)
	}
	code, out = runCtl(t, "publish", "--log", url, "--base", file, "--expected", "1")
	if code != exitConflict || !strings.Contains(out, "data centre Hobart Out") {
		t.Errorf("publish with old revision: %d %s", code, out)
	}
}

func TestPublishRejectsFindings(t *testing.T) {
	log, url := serveLog(t)
	file := writeFile(t, "base.yaml", strings.Replace(baseYAML, "Lookup", "Guess", 1)+"Bogus: 1\n")
	code, out := runCtl(t, "publish", "--log", url, "--base", file)
	if code != exitFindings || strings.Count(out, "base.yaml:") != 2 || log.Appends() != 0 {
		t.Errorf("publish: %d, %d appends, %s", code, log.Appends(), out)
	}
	validBase := writeFile(t, "good.yaml", baseYAML)
	overlay := writeFile(t, "over.yaml", "Services: {S: {Targets: {t: {DataCentre: Perth}}}}")
	if code, out := runCtl(t, "validate", "--base", validBase, "--overlay", "Burnie="+overlay); code != exitFindings || !strings.Contains(out, "over.yaml:1:42: ") {
		t.Errorf("validate: %d %s", code, out)
	}
	if code, out := runCtl(t, "render", "--base", validBase, "--overlay", "Burnie="+overlay); code != 0 || !strings.Contains(out, "DataCentre: Perth") {
		t.Errorf("render: %d %s", code, out)
	}
}

// Of two operators who publish concurrently, one succeeds, and the other gets
// the exit code and the message of a conflict.
func TestConcurrentPublishHasOneWinner(t *testing.T) {
	_, url := serveLog(t)
	files := []string{writeFile(t, "a.yaml", baseYAML), writeFile(t, "b.yaml", "Entries: 3\n"+baseYAML)}
	codes, outs := make([]int, 2), make([]string, 2)
	var wg sync.WaitGroup
	for i, file := range files {
		wg.Go(func() { codes[i], outs[i] = runCtl(t, "publish", "--log", url, "--base", file, "--expected", "0") })
	}
	wg.Wait()
	if codes[0]+codes[1] != exitConflict {
		t.Fatalf("exit codes %v, want 0 and %d: %q", codes, exitConflict, outs)
	}
	for i, code := range codes {
		if code == exitConflict && !strings.Contains(outs[i], "revision 1 was published first") {
			t.Errorf("conflict message = %q", outs[i])
		}
	}
}

func TestPublishFailsWhileLogIsDown(t *testing.T) {
	log, url := serveLog(t)
	log.SetFaults(emulator.Faults{Down: true})
	code, out := runCtl(t, "publish", "--log", url, "--base", writeFile(t, "base.yaml", baseYAML))
	if code != exitFailed {
		t.Errorf("publish: %d %s", code, out)
	}
}

func TestStatusFailsForUnreachableEntry(t *testing.T) {
	if code, out := runCtl(t, "status", "--entries", "127.0.0.1:1"); code != exitFailed || !strings.Contains(out, "1 of 1 entries did not return their status") {
		t.Errorf("status: %d %s", code, out)
	}
}

// savoryctl decodes the responses of a running entry.
func TestStatusAndDumpOfRunningEntry(t *testing.T) {
	f, err := emulator.NewFleet(t.Context(), emulator.FleetOptions{
		Base: loader.MustParse("base.yaml", baseYAML), Entries: 1, Retention: time.Hour, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	endpoint := f.Entries[0].OperatorsAddr().String()
	if code, out := runCtl(t, "status", "--entries", endpoint); code != 0 || !strings.Contains(out, "entry-01  Stand-in     Serving  1") {
		t.Errorf("status: %d %s", code, out)
	}
	if code, out := runCtl(t, "dump", "--entry", endpoint); code != 0 || !strings.Contains(out, `"InForce": 1`) {
		t.Errorf("dump: %d %s", code, out)
	}
	if code, out := runCtl(t, "history", "--log", f.LogURL); code != 0 || !strings.Contains(out, "fleet") {
		t.Errorf("history: %d %s", code, out)
	}
}

func TestHelpShowsExamples(t *testing.T) {
	for _, cmd := range []string{"validate", "render", "publish", "fetch", "history", "status", "drain", "restore", "dump"} {
		if code, out := runCtl(t, cmd, "--help"); code != 0 || !strings.Contains(out, "Example: savoryctl "+cmd) {
			t.Errorf("%s --help: %d %s", cmd, code, out)
		}
	}
}

// Draining a data centre must work once an overlay is published: the check of the
// change wrote the published overlays to a nil map and panicked.
func TestDrainWithPublishedOverlay(t *testing.T) {
	_, url := serveLog(t)
	base := writeFile(t, "base.yaml", baseYAML)
	overlay := writeFile(t, "overlay.yaml", "Entries: 3\n")
	if code, out := runCtl(t, "publish", "--log", url, "--base", base, "--overlay", "Burnie="+overlay); code != 0 {
		t.Fatalf("publish: %d %s", code, out)
	}
	if code, out := runCtl(t, "drain", "Hobart", "--log", url); code != 0 || !strings.Contains(out, "revision 2") {
		t.Errorf("drain: %d %s", code, out)
	}
}

// A publish with an unknown outcome must print the change ID with which it can be
// repeated safely. The log loses the acknowledgement and then goes down.
func TestUnknownOutcomePrintsChangeID(t *testing.T) {
	log := emulator.NewLog(time.Hour, 1)
	srv, err := emulator.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			log.SetFaults(emulator.Faults{LostAcks: 1})
			defer log.SetFaults(emulator.Faults{Down: true})
		}
		log.ServeHTTP(w, r)
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	base := writeFile(t, "base.yaml", baseYAML)
	code, out := runCtl(t, "publish", "--log", "http://"+srv.Addr.String(), "--base", base, "--expected", "0", "--timeout", "1s")
	if code != exitUnknownOutcome || !regexp.MustCompile(`--change-id [0-9a-f-]{36}`).MatchString(out) {
		t.Errorf("publish: %d %s", code, out)
	}
}
