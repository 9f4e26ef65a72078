// Package recorder is a registry of a process's metrics, which it writes in the
// Prometheus text format.
//
//	rec := recorder.New()
//	calls := rec.Counter("calls_total", recorder.Label{Name: "service", Value: "Sales"})
//	calls.Inc(1)
//	rec.Write(w)
//
// Look each metric up once and keep it: a lookup locks the whole Recorder, an
// update takes at most a lock of the metrics library.
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
	// namePrefix is prepended to the name of every metric.
	namePrefix = "savoryroad_"
	// sampleSize is the size of a histogram's reservoir, in values.
	sampleSize = 512
	// sampleDecay is the alpha of the exponentially decaying reservoir; it
	// weights the last minutes most.
	sampleDecay = 0.015
)

// quantiles lists the quantiles exported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Label is one dimension of a series.
type Label struct {
	// Name is in lower case.
	Name  string
	Value string
}

// Recorder holds metrics by name and labels. It is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	// series is keyed by name and labels, joined by NUL bytes.
	series map[string]*series
}

// series is a metric with its name and labels.
type series struct {
	name   string
	labels []Label
	// metric is a metrics.Counter, metrics.Gauge or metrics.Histogram.
	metric any
}

// New returns an empty recorder.
func New() *Recorder { return &Recorder{series: map[string]*series{}} }

// Counter returns the counter with the name and labels, and creates it on first
// use.
func (r *Recorder) Counter(name string, labels ...Label) metrics.Counter {
	return getOrCreate(r, name, labels, metrics.NewCounter)
}

// Gauge returns the gauge with the name and labels, and creates it on first use.
func (r *Recorder) Gauge(name string, labels ...Label) metrics.Gauge {
	return getOrCreate(r, name, labels, metrics.NewGauge)
}

// Histogram returns the histogram with the name and labels, and creates it on
// first use. Durations are recorded in microseconds, under a name that ends in
// "_us".
func (r *Recorder) Histogram(name string, labels ...Label) metrics.Histogram {
	return getOrCreate(r, name, labels, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
}

// getOrCreate returns the metric with the name and labels, or registers a new
// one. It panics if the metric exists with a type other than M.
func getOrCreate[M any](r *Recorder, name string, labels []Label, newMetric func() M) M {
	key := name
	for _, l := range labels {
		key += "\x00" + l.Name + "\x00" + l.Value
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.series[key]; ok {
		return s.metric.(M)
	}
	m := newMetric()
	r.series[key] = &series{name: name, labels: labels, metric: m}
	return m
}

// Write writes all metrics in the Prometheus text format, sorted by name.
func (r *Recorder) Write(w io.Writer) error {
	for _, family := range r.families() {
		if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
			return errors.Wrap(err, "write metrics")
		}
	}
	return nil
}

// families groups the series by metric name and sorts the groups by that name.
func (r *Recorder) families() []*dto.MetricFamily {
	r.mu.Lock()
	keys := make([]string, 0, len(r.series))
	for key := range r.series {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	sorted := make([]*series, len(keys))
	for i, key := range keys {
		sorted[i] = r.series[key]
	}
	r.mu.Unlock()

	byName := map[string]*dto.MetricFamily{}
	var out []*dto.MetricFamily
	for _, s := range sorted {
		f, ok := byName[s.name]
		if !ok {
			f = &dto.MetricFamily{Name: proto.String(namePrefix + s.name), Type: s.metricType().Enum()}
			byName[s.name] = f
			out = append(out, f)
		}
		f.Metric = append(f.Metric, s.encode())
	}
	slices.SortFunc(out, func(a, b *dto.MetricFamily) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

// metricType returns the Prometheus type of the series; histograms are exported
// as summaries.
func (s *series) metricType() dto.MetricType {
	switch s.metric.(type) {
	case metrics.Counter:
		return dto.MetricType_COUNTER
	case metrics.Gauge:
		return dto.MetricType_GAUGE
	default:
		return dto.MetricType_SUMMARY
	}
}

// encode converts the series to its Prometheus message.
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

// summary converts a histogram to a Prometheus summary.
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
