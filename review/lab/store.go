//go:build review

// Package lab holds the stand-ins of the review: a store, targets, a proxy and a
// client that follow the users' pages, and what starts entries as processes.
package lab

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store. Only the calls that entries make
// are there.
type Store struct {
	// Refuse, if not nil, reports whether a call of a machine gets 503.
	Refuse func(ip string) bool

	mu     sync.Mutex
	topics map[string]*topic
	group  group
	// Joined is called after each join, without the lock.
	Joined func(member string)
	ln     net.Listener
}

type topic struct {
	records [][]byte
	newest  map[string]item
}

type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

// group deals the partitions of the group in their order: partition i belongs to member
// (i+shift) modulo the number of members.
type group struct {
	generation uint64
	members    map[string]*member
	owner      map[part]string
	shift      int
}

type part struct {
	topic  string
	number int
}

type member struct {
	generation uint64
	expires    time.Time
}

// NewStore starts a store on a free port of an address.
func NewStore(ip string) *Store {
	s := &Store{topics: map[string]*topic{}, group: group{members: map[string]*member{}, owner: map[part]string{}}}
	var err error
	if s.ln, err = net.Listen("tcp4", ip+":0"); err != nil {
		Fail("store: %v", err)
	}
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(s.ln) }()
	return s
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.ln.Addr().String() }

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	body, _ := io.ReadAll(r.Body)
	if s.Refuse != nil && s.Refuse(ip) {
		http.Error(w, `{"error":"busy"}`, http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/savoryroad/log-append":
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		first := len(t.records)
		for len(body) >= 4 {
			n := int(binary.BigEndian.Uint32(body))
			t.add(body[4 : 4+n])
			body = body[4+n:]
		}
		end := len(t.records)
		s.mu.Unlock()
		reply(w, map[string]any{"offset": first, "endOffset": end})
	case "/savoryroad/log-read":
		s.read(w, q.Get("topic"), q.Get("fromRev"), q.Get("waitMs"))
	case "/savoryroad/log-newest":
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		items := []item{}
		for _, i := range t.newest {
			items = append(items, i)
		}
		end := len(t.records)
		s.mu.Unlock()
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		reply(w, map[string]any{"items": items, "hasMore": false, "endOffset": end})
	case "/savoryroad/log-join":
		s.join(w, body)
	case "/savoryroad/log-leave":
		reply(w, map[string]any{})
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]item{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(record []byte) {
	record = append([]byte(nil), record...)
	n := int(record[0])
	key, value := string(record[1:1+n]), record[1+n:]
	if len(value) > 0 {
		t.newest[key] = item{key, base64.StdEncoding.EncodeToString(value), len(t.records)}
	} else {
		delete(t.newest, key)
	}
	t.records = append(t.records, record)
}

func (s *Store) read(w http.ResponseWriter, name, fromText, waitText string) {
	from, _ := strconv.Atoi(fromText)
	wait, _ := strconv.Atoi(waitText)
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		t := s.topic(name)
		n := len(t.records)
		if from < n || !time.Now().Before(end) {
			out := binary.BigEndian.AppendUint64(nil, uint64(n))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < n; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
				out = append(out, t.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
	}
}

// Put writes a record as operators and targets do; a nil value removes the key.
func (s *Store) Put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			Fail("store: %v", err)
		}
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(record)
}

func (s *Store) join(w http.ResponseWriter, body []byte) {
	var r struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTL        string   `json:"ttl_time"`
		Generation uint64   `json:"generation"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, _ := time.ParseDuration(r.TTL)
	s.mu.Lock()
	g := &s.group
	now := time.Now()
	for _, name := range r.Topics {
		for n := range 24 {
			if _, ok := g.owner[part{name, n}]; !ok {
				g.owner[part{name, n}] = ""
			}
		}
	}
	if g.members[r.Member] == nil {
		g.members[r.Member] = &member{}
		g.generation++
	}
	*g.members[r.Member] = member{r.Generation, now.Add(ttl)}
	for name, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, name)
			g.generation++
		}
	}
	g.deal(false)
	rows := [][3]any{}
	for _, p := range g.sorted() {
		if g.owner[p] == r.Member {
			rows = append(rows, [3]any{p.topic, p.number, 0})
		}
	}
	generation := g.generation
	s.mu.Unlock()
	reply(w, map[string]any{"generation": generation, "ttl_time": r.TTL, "parts": rows})
	if s.Joined != nil {
		s.Joined(r.Member)
	}
}

// deal gives each partition to the member whose turn it is. Unless it is dealt at once,
// one that a live member holds moves only after that member has sent the generation.
func (g *group) deal(atOnce bool) {
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) == 0 {
		return
	}
	for i, p := range g.sorted() {
		to := names[(i+g.shift)%len(names)]
		m := g.members[g.owner[p]]
		if atOnce || m == nil || m.generation >= g.generation {
			g.owner[p] = to
		}
	}
}

func (g *group) sorted() []part {
	var all []part
	for p := range g.owner {
		all = append(all, p)
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].topic != all[b].topic {
			return all[a].topic < all[b].topic
		}
		return all[a].number < all[b].number
	})
	return all
}

// Reassign reassigns all partitions at once, without any request. Those of member i go to
// member i+shift.
func (s *Store) Reassign(shift int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.generation++
	s.group.shift += shift
	s.group.deal(true)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
