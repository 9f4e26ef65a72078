package gateway

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitter shortens d by a random part of up to 20%, so that entries that started
// together don't act at the same moments.
func jitter(d time.Duration) time.Duration {
	const maxJitter = 0.2
	return time.Duration(float64(d) * (1 - maxJitter*rand.Float64()))
}

// randomUpTo returns a random time from zero to limit.
func randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(limit))
}

// sleep pauses for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
