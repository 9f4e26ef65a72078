// Package recorder keeps a process's metrics and writes them in the text
// format that scrapers read.
//
//	rec := recorder.New()
//	calls := rec.Counter("calls_total", recorder.Label{Name: "service", Value: "Sales"})
//	calls.Inc(1)
//	rec.Write(w)
//
// Handles are looked up once and then used without further locking than that
// of the metrics library.
package recorder

import (
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

const (
	// namePrefix starts the name of every metric.
	namePrefix = "savoryroad_"
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 512
	// sampleDecay weighs a histogram's sample towards the last minutes.
	sampleDecay = 0.015
)

// quantiles are those that a histogram is written with.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Label is one dimension of a series.
type Label struct {
	// Name is the dimension, in lower case.
	Name string
	// Value is the series' place in it.
	Value string
}

// Recorder holds series by name and labels. It is safe for use by several
// goroutines.
type Recorder struct {
	mu sync.Mutex
	// series holds each series under its name and labels.
	series map[string]*series
}

type series struct {
	name   string
	labels []Label
	// metric is a metrics.Counter, metrics.Gauge or metrics.Histogram.
	metric any
}

// New returns an empty recorder.
func New() *Recorder { return &Recorder{series: map[string]*series{}} }

// Counter returns the counter of that name and labels.
func (r *Recorder) Counter(name string, labels ...Label) metrics.Counter {
	return lookup(r, name, labels, metrics.NewCounter)
}

// Gauge returns the gauge of that name and labels.
func (r *Recorder) Gauge(name string, labels ...Label) metrics.Gauge {
	return lookup(r, name, labels, metrics.NewGauge)
}

// Histogram returns the histogram of that name and labels. Durations are
// given to it in microseconds, and its name then ends in "_us".
func (r *Recorder) Histogram(name string, labels ...Label) metrics.Histogram {
	return lookup(r, name, labels, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
}

func lookup[M any](r *Recorder, name string, labels []Label, fresh func() M) M {
	key := name
	for _, l := range labels {
		key += "\x00" + l.Name + "\x00" + l.Value
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.series[key]; ok {
		return s.metric.(M)
	}
	m := fresh()
	r.series[key] = &series{name: name, labels: labels, metric: m}
	return m
}

// Write writes every series in the Prometheus text format, in order of name.
func (r *Recorder) Write(w io.Writer) error {
	for _, family := range r.families() {
		if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
			return errors.Wrap(err, "metrics")
		}
	}
	return nil
}

// families groups the series by name.
func (r *Recorder) families() []*dto.MetricFamily {
	r.mu.Lock()
	keys := make([]string, 0, len(r.series))
	for key := range r.series {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	all := make([]*series, len(keys))
	for i, key := range keys {
		all[i] = r.series[key]
	}
	r.mu.Unlock()

	byName := map[string]*dto.MetricFamily{}
	var out []*dto.MetricFamily
	for _, s := range all {
		f, ok := byName[s.name]
		if !ok {
			f = &dto.MetricFamily{Name: proto.String(namePrefix + s.name), Type: s.kind().Enum()}
			byName[s.name] = f
			out = append(out, f)
		}
		f.Metric = append(f.Metric, s.encode())
	}
	slices.SortFunc(out, func(a, b *dto.MetricFamily) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

func (s *series) kind() dto.MetricType {
	switch s.metric.(type) {
	case metrics.Counter:
		return dto.MetricType_COUNTER
	case metrics.Gauge:
		return dto.MetricType_GAUGE
	default:
		return dto.MetricType_SUMMARY
	}
}

func (s *series) encode() *dto.Metric {
	m := &dto.Metric{}
	for _, l := range s.labels {
		m.Label = append(m.Label, &dto.LabelPair{Name: proto.String(l.Name), Value: proto.String(l.Value)})
	}
	switch v := s.metric.(type) {
	case metrics.Counter:
		m.Counter = &dto.Counter{Value: proto.Float64(float64(v.Count()))}
	case metrics.Gauge:
		m.Gauge = &dto.Gauge{Value: proto.Float64(float64(v.Value()))}
	case metrics.Histogram:
		m.Summary = summary(v.Snapshot())
	}
	return m
}

func summary(h metrics.Histogram) *dto.Summary {
	s := &dto.Summary{
		SampleCount: proto.Uint64(uint64(h.Count())),
		SampleSum:   proto.Float64(float64(h.Sum())),
	}
	for i, v := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{
			Quantile: proto.Float64(quantiles[i]),
			Value:    proto.Float64(v),
		})
	}
	return s
}
