package main

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the time this process has used in user and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// perOperation runs f n times and returns the processor time of one run.
func perOperation(n int, f func(i int)) time.Duration {
	runtime.GC()
	begin := processorTime()
	for i := range n {
		f(i)
	}
	return (processorTime() - begin) / time.Duration(n)
}
