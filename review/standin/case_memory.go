//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryDuration is how long the clients send uploads.
	memoryDuration = 40 * time.Second
	uploaders      = 8
	// memoryUploadBytes is the size of one upload, which is sent in chunks. The operator's limit
	// on a body is 64 MiB.
	memoryUploadBytes = 48 << 20
)

// caseMemory checks the rule on processes that end by themselves, which a process does that the
// platform kills because it exceeds memory_mb.
func caseMemory(f *fleet, trouble bool) (bool, string) {
	f.start([]string{"plati", "cautare", "galerie", "galerie"}, configuration(
		rule("r-photo", "upload", "/photo/", "galerie", 1, "800ms", "3000ms"),
	), func(n *node) {
		startWorker(n, 36, workFor(220*time.Millisecond))
	})
	time.Sleep(stableBound + time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), memoryDuration)
	defer cancel()
	var kills [4]atomic.Int64
	var peak [4]atomic.Int64
	var background sync.WaitGroup
	for i, n := range f.nodes {
		background.Go(func() {
			for ctx.Err() == nil {
				used := residentMiB(n.pid())
				peak[i].Store(max(peak[i].Load(), used))
				if used > memoryMiB {
					f.record.note("%s: process %d uses %d MiB, more than memory_mb = %d; the platform kills it", n.name, n.pid(), used, memoryMiB)
					<-n.signal(syscall.SIGKILL)
					kills[i].Add(1)
					time.Sleep(500 * time.Millisecond)
					n.startProcess()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	started := time.Now()
	for _, entry := range f.nodes[:2] {
		var turn sync.Mutex
		for range uploaders {
			background.Go(func() {
				for round := 1; ctx.Err() == nil; round++ {
					if !trouble {
						turn.Lock()
					}
					if ctx.Err() == nil {
						upload(f, entry, memoryUploadBytes, true)
					}
					if !trouble {
						turn.Unlock()
					}
					time.Sleep(time.Until(started.Add(time.Duration(round) * 8 * time.Second)))
				}
			})
		}
	}
	background.Wait()
	often, text := 0, ""
	for i, n := range f.nodes {
		if kills[i].Load() >= 3 {
			often++
		}
		text += fmt.Sprintf(" %s %d (peak %d MiB)", n.name, kills[i].Load(), peak[i].Load())
	}
	return often >= 2, fmt.Sprintf("ends of processes over the memory limit:%s; machines with three or more: %d", text, often)
}

// residentMiB returns the resident memory of a process that this program started.
func residentMiB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}
