package loader

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// capacityBase returns a base document with a number of targets, 35 in each
// service.
func capacityBase(targets int) string {
	const perService = 35
	var b strings.Builder
	b.WriteString("DataCentres: {A: {}, B: {}}\nServices:\n")
	for n := range targets {
		if n%perService == 0 {
			fmt.Fprintf(&b, "  s%d:\n    Routes: {r: {PathPrefix: /s%d, Class: Lookup}}\n    Targets:\n", n, n)
		}
		fmt.Fprintf(&b, "      t%d: {Address: \"10.%d.%d.%d:80\", DataCentre: A}\n", n, n>>16, n>>8&255, n&255)
	}
	return b.String()
}

var capacityTargets = []int{500, 2000, 8000, 14000}

// BenchmarkCapacityRender measures the cost of a new revision at an entry: the
// base in canonical form is parsed, merged with an overlay, decoded and checked.
func BenchmarkCapacityRender(b *testing.B) {
	for _, n := range capacityTargets {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			data, err := MustParse("base", capacityBase(n)).JSON()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				d, findings := Parse("base", data)
				_, renderFindings := Render(d, Document{})
				if len(findings)+len(renderFindings) > 0 {
					b.Fatal(findings, renderFindings)
				}
			}
			b.ReportMetric(float64(len(data)), "document-B")
		})
	}
}

// BenchmarkCapacityConfig measures the heap memory of a rendered configuration.
// The text of its names isn't counted, since the document shares it.
func BenchmarkCapacityConfig(b *testing.B) {
	for _, n := range capacityTargets {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			doc := MustParse("base", capacityBase(n))
			var heapBytes uint64
			for b.Loop() {
				before := liveHeapBytes()
				cfg, _ := Render(doc, Document{})
				heapBytes = liveHeapBytes() - before
				runtime.KeepAlive(cfg)
			}
			b.ReportMetric(float64(heapBytes), "held-B")
		})
	}
}

// liveHeapBytes returns the size of the live heap objects, in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
