package soaker

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds holds two arbitrary seeds and every seed that ever reported a violation,
// with its cause.
var seeds = []uint64{
	1, 2,
	// 23 and 55 reported a request as run and cut off that had not run: callers
	// of the start and of the recovery phase used the same request IDs.
	23,
	// 5028 reported a download as cut off by a stopping entry whose target had broken it
	// off.
	5028,
}

// TestSoak guards against violations of the guarantees without a time bound, by
// real processes under random faults. The time bounds need an otherwise idle
// machine: savorybench soak checks them.
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
		t.Logf("seed %d: requests by status %v, faults %v", seed, r.Replies, r.Faults)
		for _, v := range r.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
}
