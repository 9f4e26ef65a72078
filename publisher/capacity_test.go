package publisher_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"savoryroad.dev/appender"
	"savoryroad.dev/publisher"
)

// capacityState returns a state whose base has that many targets.
func capacityState(b *testing.B, targets int) publisher.State {
	b.Helper()
	services := map[string]map[string]map[string]map[string]string{}
	for n := range targets {
		service := fmt.Sprintf("s%d", n/35)
		if services[service] == nil {
			services[service] = map[string]map[string]map[string]string{"Targets": {}}
		}
		services[service]["Targets"][fmt.Sprintf("t%d", n)] = map[string]string{
			"Address": fmt.Sprintf("10.%d.%d.%d:80", n>>16, n>>8&255, n&255), "DataCentre": "A",
		}
	}
	base, err := json.Marshal(map[string]any{"Services": services})
	if err != nil {
		b.Fatal(err)
	}
	return publisher.State{Base: base}
}

// BenchmarkCapacityFold is the cost of one accepted change of one target.
func BenchmarkCapacityFold(b *testing.B) {
	for _, n := range []int{500, 2000, 8000, 14000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			s := capacityState(b, n)
			c := publisher.Change{ID: "c", Author: "operator", Base: json.RawMessage(`{"Services":{"s3":{"Targets":{"t110":{"State":"Draining"}}}}}`)}
			data, err := json.Marshal(publisher.Entry{Change: &c})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, v := s.Fold(appender.Record{Data: data}); fmt.Sprintf("%T", v) != "publisher.Accept" {
					b.Fatalf("%#v", v)
				}
			}
			snapshot, err := publisher.Reader{State: s, Next: 1}.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "change-B")
			b.ReportMetric(float64(len(snapshot)), "snapshot-B")
		})
	}
}
