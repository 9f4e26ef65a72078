package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// runTenant sends requests whose Connection header names the header Tenant-Id.
func runTenant(rec *record, trouble bool) (bool, error) {
	const (
		clients  = 6
		requests = 40
		tenant   = "sese880"
		key      = "z48wuakn2ftimaj3nr26"
	)
	f, err := newFleet(rec, options{
		entries: 3, memoryMB: 284,
		tenants: map[string]any{tenant: map[string]any{"apiKeys": []string{key}, "priority": 1}},
		bounds:  "revokeStrict = false\nrevoke = \"5000ms\"\nquotaWindow = \"5s\"\nquotaExcess = 0.1\nquotaSlack = 20\n",
		routes: map[string]map[string]any{
			"r-read": route("/balance/", "safe", "balances", 1500*time.Millisecond, 300*time.Millisecond),
			"r-pay":  route("/purchase/", "unsafe", "packsales", 2000*time.Millisecond, 400*time.Millisecond),
		},
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.add("balances", 6, 6, 40*time.Millisecond); err != nil {
		return false, err
	}
	if err := f.add("packsales", 3, 6, 40*time.Millisecond); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran, wrong := 0, 0
	for _, t := range f.targets {
		t.ran = func(t *target, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			ran++
			names, keys := r.Header.Values("Tenant-Id"), r.Header.Values("Authorization")
			if len(names) != 1 || names[0] != tenant || len(keys) > 0 {
				wrong++
				rec.note("run %s at %s for tenant %q instead of %q, with %d keys", r.Header.Get("Request-Id"), t.id, names, tenant, len(keys))
			} else {
				rec.note("run %s at %s for tenant %q", r.Header.Get("Request-Id"), t.id, names)
			}
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	l := newLedger(rec)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			e := f.entries[i%len(f.entries)]
			c, err := dial(e)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			for n := range requests {
				id, method, uri, body := l.newID(), http.MethodGet, "/balance/7", ""
				lines := []string{"Authorization: Token " + key}
				if n%2 == 1 {
					method, uri, body = http.MethodPost, "/purchase/7", "minutes=30"
					lines = append(lines, "Content-Length: 10")
				}
				if trouble && n%4 >= 2 {
					lines = append(lines, "Connection: Tenant-Id")
				}
				rec.note("send %s %s %s to %s with %q", id, method, uri, e.name, lines[1:])
				_, err := c.Write([]byte(head(method, host, uri, id, readDeadline, lines...) + body))
				var a answer
				if err == nil {
					a, err = c.read(method, time.Now().Add(readDeadline))
				}
				rec.note("answer %s %d %v", id, a.status, err)
				l.note(a.status)
				if err != nil && !errors.Is(err, errClosing) {
					return
				}
			}
		})
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.say("answers by status: %v; requests that ran: %d; for another tenant than the one that holds the key: %d", l.answered, ran, wrong)
	if ran < clients*requests/2 {
		return false, errors.New("too few requests ran")
	}
	return wrong > 0, nil
}
