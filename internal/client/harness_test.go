package client

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// testApp is a client with its own store, clock and files.
type testApp struct {
	App
	store      platform.Store
	stdout     bytes.Buffer
	stderr     bytes.Buffer
	files      map[string]string
	clock      time.Time
	writeCount int
}

func newTestApp(store platform.Store) *testApp {
	p := &testApp{store: store, files: map[string]string{}, clock: time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)}
	p.App = App{
		Stdout: &p.stdout, Stderr: &p.stderr,
		Getenv: func(string) string { return "http://127.0.0.1:1" },
		Dial:   func(string) platform.Store { return p.store },
		ReadFile: func(path string, limit int64) ([]byte, error) {
			data, ok := p.files[path]
			if !ok || int64(len(data)) > limit {
				return nil, fs.ErrNotExist
			}
			return []byte(data), nil
		},
		User: "ana",
		Now: func() time.Time {
			p.clock = p.clock.Add(time.Minute)
			return p.clock
		},
		NewWriteID: func() string {
			p.writeCount++
			return fmt.Sprintf("%p-%d", p, p.writeCount)
		},
	}
	return p
}

// run executes a command line and returns its exit status and output.
func (p *testApp) run(args ...string) (status int, stdout, stderr string) {
	p.stdout.Reset()
	p.stderr.Reset()
	status = p.Run(context.Background(), args)
	return status, p.stdout.String(), p.stderr.String()
}

func (p *testApp) mustRun(t *testing.T, args ...string) string {
	t.Helper()
	status, stdout, stderr := p.run(args...)
	assert.Equal(t, status, 0, "%v: %s", args, stderr)
	return stdout
}

// hookStore calls beforeUpdate once, before the next update, to create a race.
type hookStore struct {
	platform.Store
	beforeUpdate func()
}

func (s *hookStore) Update(ctx context.Context, key string, ifVersion int64, value []byte) (platform.Object, error) {
	if hook := s.beforeUpdate; hook != nil {
		s.beforeUpdate = nil
		hook()
	}
	return s.Store.Update(ctx, key, ifVersion, value)
}

// Era implements platform.EraStore.
func (s *hookStore) Era() uint64 { return s.Store.(platform.EraStore).Era() }

func put(t *testing.T, store *platformtest.Store, key, value string) {
	t.Helper()
	version := int64(0)
	if object, err := store.Get(context.Background(), key); err == nil {
		version = object.Version
	}
	_, err := store.Update(context.Background(), key, version, []byte(value))
	assert.NilError(t, err)
}
