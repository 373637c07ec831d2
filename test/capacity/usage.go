package main

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used in user and
// system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTimePerOperation calls f n times and returns the mean processor time of a
// call.
func processorTimePerOperation(n int, f func(i int)) time.Duration {
	runtime.GC()
	begin := processorTime()
	for i := range n {
		f(i)
	}
	return (processorTime() - begin) / time.Duration(n)
}
