package deduplicator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"savoryroad.dev/registrar"
)

// BenchmarkCapacityKeys is the cost of one claim and its result, and the
// memory that a remembered key holds.
func BenchmarkCapacityKeys(b *testing.B) {
	table, _ := registrar.Table{}.Fold(registrar.Record{Claim: &registrar.Claim{
		Owner: registrar.Owner{Incarnation: "i"}, Shares: registrar.Table{}.Vacant(),
	}}, 0, time.Time{})
	for _, n := range []int{10_000, 100_000, 500_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var held uint64
			for b.Loop() {
				m := New()
				m.Own(table, "i")
				before := heapInUse()
				now := time.Now()
				for range n {
					key := uuid.Must(uuid.NewV7()).String()
					m.Claim(Claim{Key: key, Attempt: "a", Deadline: now}, now)
					m.Settle(key, "a", Result{Known: true, Status: 201, Body: []byte("receipt")})
				}
				held = heapInUse() - before
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(held)/float64(n), "held-B/key")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/key")
		})
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
