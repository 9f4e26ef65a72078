package router

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"savoryroad.dev/loader"
)

func config(routes ...Route) Config {
	cfg := Config{Version: 1, Routes: map[loader.RouteName]Route{}}
	for i, r := range routes {
		r.Name = loader.RouteName(fmt.Sprintf("r%d", i))
		cfg.Routes[r.Name] = r
	}
	return cfg
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	parts := func(s loader.ServiceName) []Part { return []Part{{Service: s, Weight: 1}} }
	r := New(config(
		Route{Host: "a.example", PathPrefix: "/", Parts: parts("root")},
		Route{Host: "a.example", PathPrefix: "/x/", Parts: parts("x")},
		Route{Host: "a.example", PathPrefix: "/x/y/", Parts: parts("xy")},
		Route{Host: "b.example", PathPrefix: "/x/", Parts: parts("b")},
	), 0)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"},
		{"a.example", "/x/y/", "xy"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/x/yy/z", "x"},
		{"a.example", "/xx/y", "root"},
		{"A.Example:8080", "/x/1", "x"},
		{"b.example", "/y/", ""},
		{"b.example", "/x%2Fy", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if a, ok := r.Match(c.host, c.path); ok {
			got = string(a.Next())
		}
		if got != c.want {
			t.Errorf("%s%s is routed to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// In any run of 300 requests, each part of a split must get its share within 3
// percentage points, for any split offset and after any number of requests.
func TestPropertySplitKeepsItsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 4).Draw(t, "weights")
		var total float64
		route := Route{Host: "a", PathPrefix: "/"}
		for i, w := range weights {
			total += w
			route.Parts = append(route.Parts, Part{Service: loader.ServiceName(fmt.Sprint(i)), Weight: w})
		}
		if total < 1 {
			t.Skip("the sum of the weights is below 1")
		}
		a, _ := New(config(route), rapid.Float64Range(0, 1).Draw(t, "split offset")).Match("a", "/")
		for range rapid.IntRange(0, 500).Draw(t, "earlier requests") {
			a.Next()
		}
		const n = 300
		got := map[loader.ServiceName]int{}
		for range n {
			got[a.Next()]++
		}
		for _, p := range route.Parts {
			if deviation := math.Abs(float64(got[p.Service])/n - p.Weight/total); deviation > 0.03 {
				t.Fatalf("part %s of the split %v got %d of %d requests", p.Service, weights, got[p.Service], n)
			}
		}
	})
}
