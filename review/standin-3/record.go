package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start in milliseconds.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

func (c *record) add(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%8.1f  %s\n", float64(time.Since(c.started).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// conclude writes a line to the record and to standard output.
func (c *record) conclude(format string, args ...any) {
	c.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (c *record) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.out.Flush()
	_ = c.file.Close()
}
