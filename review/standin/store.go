//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// storeState is how the store treats calls.
type storeState int

// States of the store for all machines, or for one.
const (
	storeServes storeState = iota
	// storeBusy refuses every call with 503.
	storeBusy
)

type metadata struct {
	Name     string   `json:"name"`
	Revision int64    `json:"revision"`
	Created  int64    `json:"created"`
	Final    []string `json:"finalizers"`
	Deletion bool     `json:"deletion_requested"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	Kind    string `json:"-"`
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store plays the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []storeEvent
	changed  chan struct{}
	state    storeState
	servers  []*http.Server
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// listen serves the store at a new loopback address.
func (s *store) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func (s *store) setState(state storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	s.wake()
}

// wake ends waiting watches. The lock must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(unable{err.Error()})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(kind, name, raw)
}

// apply stores a new spec. The lock must be held.
func (s *store) apply(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, ok := s.objects[kind][name]
	if ok && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata = metadata{Name: name, Created: s.revision}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.events = append(s.events, storeEvent{Kind: kind, Object: o})
	s.wake()
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	if r.Method == http.MethodGet && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	status, answer := s.call(r, kind, name, named, body)
	s.mu.Unlock()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// call makes one call other than a watch. The lock must be held.
func (s *store) call(r *http.Request, kind, name string, named bool, body []byte) (int, any) {
	if s.state == storeBusy {
		return http.StatusServiceUnavailable, nil
	}
	if r.Method == http.MethodGet && !named {
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	}
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	o, exists := s.objects[kind][name]
	condition := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, o
	case r.Method == http.MethodPost:
		return http.StatusOK, s.apply(kind, name, in.Spec)
	case !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, o
	case condition != 0 && condition != o.Metadata.Revision:
		return http.StatusConflict, o
	case r.Method == http.MethodPut:
		return http.StatusOK, s.apply(kind, name, in.Spec)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		s.events = append(s.events, storeEvent{Kind: kind, Object: o, Deleted: true})
		s.wake()
		return http.StatusOK, o
	}
	return http.StatusMethodNotAllowed, nil
}

// list returns the objects of a kind. The lock must be held.
func (s *store) list(kind, after string) any {
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return map[string]any{"items": items, "has_more": false, "as_of": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		if s.state == storeBusy {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events := []storeEvent{}
		for _, e := range s.events {
			if e.Kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
