//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/quota"
)

// store is a stand-in of the platform's metadata store: logs with one partition each, the
// newest record of each key, and consumer groups.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
	parts   int
}

type topic struct {
	records [][]byte
	newest  map[string]int // key -> offset
}

func startStore(addr string, parts int) (*store, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, groups: map[string]*group{}, changed: make(chan struct{}), parts: parts}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cassialoom/log-append", s.append)
	mux.HandleFunc("GET /cassialoom/log-read", s.read)
	mux.HandleFunc("GET /cassialoom/log-newest", s.serveNewest)
	mux.HandleFunc("POST /cassialoom/log-join", s.join)
	mux.HandleFunc("POST /cassialoom/log-leave", s.leave)
	go http.Serve(ln, mux)
	return s, nil
}

// topic returns a topic, created on first use. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// add appends one record. The caller holds the lock.
func (s *store) add(name string, record []byte) {
	t := s.topic(name)
	if strings.HasPrefix(name, "keyed.") && len(record) > int(record[0]) {
		t.newest[string(record[1:1+int(record[0])])] = len(t.records)
	}
	t.records = append(t.records, record)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish writes a manifest, as the operator does. Its return is the confirmation.
func (s *store) publish(text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add("keyed.op", append([]byte("\x06config"), text...))
	s.notify()
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topic(name).records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(name, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	s.notify()
	reply(w, map[string]int{"offset": offset, "end": len(s.topic(name).records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		records, changed := t.records, s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			io.WriteString(w, `{"first":0}`)
			return
		}
		if from < len(records) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, offset := range t.newest {
		value := t.records[offset][1+len(key):]
		if len(value) > 0 {
			items = append(items, map[string]any{"key": key, "value": value, "offset": offset})
		}
	}
	reply(w, map[string]any{"items": items, "more": false, "end": len(t.records)})
}

// group distributes the partitions of a topic among its members. A partition that is
// withdrawn from a member goes to the next one only when the member joins with the present
// generation, leaves or expires.
type group struct {
	generation uint64
	members    map[string]*member
	owner      []string // the member that holds each partition
	next       []string // the member that is to hold it
}

type member struct {
	expires time.Time
	seen    uint64 // generation of its last join
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        float64  `json:"ttl-s"`
	Generation uint64   `json:"generation"`
}

func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}, owner: make([]string, s.parts), next: make([]string, s.parts)}
		s.groups[name] = g
	}
	return g
}

// distribute plans an even distribution after a change of the members.
func (g *group) distribute() {
	g.generation++
	names := g.names()
	if len(names) == 0 {
		return
	}
	for part := range g.next {
		g.next[part] = names[part%len(names)]
	}
}

func (g *group) names() []string {
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// settle removes expired members and hands over the partitions whose holders have let go.
func (g *group) settle(now time.Time) {
	changed := false
	for name, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, name)
			changed = true
		}
	}
	if changed {
		g.distribute()
	}
	for part, holder := range g.owner {
		m := g.members[holder]
		if holder != g.next[part] && (m == nil || m.seen >= g.generation) {
			g.owner[part] = g.next[part]
		}
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g := s.group(c.Group)
	m := g.members[c.Member]
	if m == nil {
		m = &member{}
		g.members[c.Member] = m
		m.expires = now.Add(time.Hour)
		g.distribute()
	}
	m.expires = now.Add(time.Duration(c.TTL * float64(time.Second)))
	m.seen = c.Generation
	g.settle(now)
	rows := [][]any{}
	for part, holder := range g.owner {
		if holder == c.Member && g.next[part] == c.Member {
			rows = append(rows, []any{c.Topics[0], part, 0})
		}
	}
	reply(w, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(c.Group)
	if g.members[c.Member] != nil {
		delete(g.members, c.Member)
		g.distribute()
	}
	g.settle(time.Now())
	reply(w, map[string]any{})
}

// reassign deals all partitions anew at once, without waiting for their holders.
func (s *store) reassign(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(group)
	g.generation++
	names := g.names()
	for part, holder := range g.owner {
		i := slices.Index(names, holder)
		g.owner[part] = names[(i+1)%len(names)]
		g.next[part] = g.owner[part]
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// holder returns the member that holds a partition.
func (s *store) holder(group string, part int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group(group).owner[part]
}

// partitionOf returns the partition of the topic in which the nodes keep a tenant.
func partitionOf(tenant string, parts int) int {
	return quota.Config{Parts: parts}.PartitionOf(tenant)
}
