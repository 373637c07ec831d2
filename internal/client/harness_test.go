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

// program is the client with a store, a clock and files of its own.
type program struct {
	App
	store  platform.Store
	out    bytes.Buffer
	err    bytes.Buffer
	files  map[string]string
	clock  time.Time
	writes int
}

func newProgram(store platform.Store) *program {
	p := &program{store: store, files: map[string]string{}, clock: time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)}
	p.App = App{
		Stdout: &p.out, Stderr: &p.err,
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
			p.writes++
			return fmt.Sprintf("%p-%d", p, p.writes)
		},
	}
	return p
}

// run returns the exit status and what was printed since the last run.
func (p *program) run(args ...string) (status int, stdout, stderr string) {
	p.out.Reset()
	p.err.Reset()
	status = p.Run(context.Background(), args)
	return status, p.out.String(), p.err.String()
}

func (p *program) mustRun(t *testing.T, args ...string) string {
	t.Helper()
	status, stdout, stderr := p.run(args...)
	assert.Equal(t, status, 0, "%v: %s", args, stderr)
	return stdout
}

// hookStore runs a function before each update, for races.
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

func put(t *testing.T, store *platformtest.Store, key, value string) {
	t.Helper()
	version := int64(0)
	if object, err := store.Get(context.Background(), key); err == nil {
		version = object.Version
	}
	_, err := store.Update(context.Background(), key, version, []byte(value))
	assert.NilError(t, err)
}
