package gateway

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitter spreads the calls of entries that started together.
func jitter(d time.Duration) time.Duration {
	const spread = 0.2
	return time.Duration(float64(d) * (1 - spread*rand.Float64()))
}

// sleep waits, or returns earlier when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
