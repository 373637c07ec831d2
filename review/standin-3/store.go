package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is the platform's metadata store: objects by kind and name, one revision counter, watches.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]*object
	events   []event
	changed  chan struct{}
	// down makes the store answer every call with 503.
	down atomic.Bool
}

type object struct {
	kind, name        string
	created, revision int64
	spec, status      json.RawMessage
}

type event struct {
	kind     string
	revision int64
	raw      string
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]*object), changed: make(chan struct{})}
}

// render returns the JSON form of an object.
func (o *object) render() string {
	raw := func(m json.RawMessage) json.RawMessage {
		if len(m) == 0 {
			return json.RawMessage("null")
		}
		return m
	}
	b, _ := json.Marshal(map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deletion_requested": false},
		"spec":     raw(o.spec), "status": raw(o.status),
	})
	return string(b)
}

// put writes a spec without a condition, as the operator does.
func (s *store) put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
}

// write stores a spec. The lock must be held.
func (s *store) write(kind, name string, spec []byte) *object {
	key := kind + "/" + name
	o := s.objects[key]
	if o == nil {
		o = &object{kind: kind, name: name, created: s.revision + 1}
		s.objects[key] = o
	} else if string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	o.spec, o.revision = slices.Clone(spec), s.revision
	s.publish(o, false)
	return o
}

// publish adds an event for an object and wakes the watches. The lock must be held.
func (s *store) publish(o *object, deleted bool) {
	raw := `{"deleted":` + strconv.FormatBool(deleted) + `,"object":` + o.render() + `}`
	s.events = append(s.events, event{o.kind, s.revision, raw})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && !named && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind+"/"+name]; o != nil {
			_, _ = w.Write([]byte(o.render()))
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		s.change(w, r, kind, name, query.Get("revision"))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, o := range s.objects {
		if o.kind == kind && o.name > after {
			names = append(names, o.name)
		}
	}
	slices.Sort(names)
	var items []string
	for _, name := range names {
		items = append(items, s.objects[kind+"/"+name].render())
	}
	_, _ = w.Write([]byte(`{"items":[` + strings.Join(items, ",") + `],"has_more":false,"as_of":` + strconv.FormatInt(s.revision, 10) + `}`))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		var found []string
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e.raw)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || over {
			_, _ = w.Write([]byte(`{"events":[` + strings.Join(found, ",") + `],"as_of":` + strconv.FormatInt(asOf, 10) + `}`))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// change serves POST, PUT and DELETE, with a condition on the revision if there is one.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name, wanted string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	condition := body.Metadata.Revision
	if wanted != "" {
		condition, _ = strconv.ParseInt(wanted, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	switch {
	case o == nil && r.Method != http.MethodPost:
		w.WriteHeader(http.StatusNotFound)
		return
	case o != nil && (r.Method == http.MethodPost || condition != 0 && condition != o.revision):
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(o.render()))
		return
	}
	if r.Method == http.MethodDelete {
		delete(s.objects, kind+"/"+name)
		s.revision++
		s.publish(o, true)
		_, _ = w.Write([]byte("{}"))
		return
	}
	_, _ = w.Write([]byte(s.write(kind, name, body.Spec).render()))
}
