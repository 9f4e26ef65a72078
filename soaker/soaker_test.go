package soaker

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are run each time: two that were drawn, and every one that ever broke a
// promise, with a line on the cause.
var seeds = []uint64{
	1, 2,
	// 23 and 55 told of a request cut off that had not run: callers of the
	// start and of the recovery had the same ids.
	23,
}

// Promises that hold at any speed are kept by real processes under faults. The
// others need a machine with nothing else to do: savorybench soak.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "savoryroad")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "savoryroad.dev/savoryroad").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range seeds {
		r, err := Run(t.Context(), Options{Program: program, Dir: t.TempDir(), Seed: seed, Entries: 3, Harm: 4 * time.Second, Untimed: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: replies %v, faults %v", seed, r.Replies, r.Faults)
		for _, v := range r.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
}
