package forwarder

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/recorder"
)

// capacityConfig returns a configuration with that many targets, 35 a service.
func capacityConfig(targets int) loader.Config {
	cfg := loader.Config{Entries: 18, Services: map[loader.ServiceName]loader.Service{}}
	for n := range targets {
		name := loader.ServiceName(fmt.Sprintf("s%d", n/35))
		s, ok := cfg.Services[name]
		if !ok {
			s = loader.Service{
				Routes:   map[loader.RouteName]loader.Route{"r": {PathPrefix: "/" + string(name)}},
				Defaults: loader.TargetDefaults{ColdAnswers: 20, ConnectTimeout: time.Second, IdleTimeout: time.Second},
				Targets:  map[loader.TargetName]loader.Target{},
				Policy:   loader.Permits,
			}
			cfg.Services[name] = s
		}
		s.Targets[loader.TargetName(fmt.Sprintf("t%d", n))] = loader.Target{
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 80),
			DataCentre: "A", Slots: 6, Connections: 250, ColdLimit: 1,
		}
	}
	return cfg
}

// BenchmarkCapacityInstall is the cost of putting a revision in force that
// changes nothing, and the memory that the traffic path holds for its targets.
func BenchmarkCapacityInstall(b *testing.B) {
	for _, n := range []int{500, 2000, 8000, 14000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			cfg := capacityConfig(n)
			before := heapInUse()
			f := New(recorder.New(), WithSeed(1))
			f.Install(1, cfg)
			held := heapInUse() - before
			for b.Loop() {
				f.Install(1, cfg)
			}
			runtime.KeepAlive(f)
			b.ReportMetric(float64(held)/float64(n), "held-B/target")
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
