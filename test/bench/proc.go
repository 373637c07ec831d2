package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the kernel's unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// CPUTime returns the total processor time that the processes have used. A process that
// /proc does not list counts zero.
func CPUTime(pids ...int) time.Duration {
	var total time.Duration
	for _, pid := range pids {
		total += cpuTime(pid)
	}
	return total
}

func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userField, systemField = 11, 12
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * clockTick
}

// LoopbackBytes returns the bytes that the loopback interface has carried, each
// counted once, or zero if they cannot be read.
func LoopbackBytes() int64 {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		name, counters, _ := strings.Cut(line, ":")
		if strings.TrimSpace(name) == "lo" {
			received, _ := strconv.ParseInt(strings.Fields(counters)[0], 10, 64)
			return received
		}
	}
	return 0
}

// ResidentMiB returns the resident memory of a process in MiB, or zero if /proc does not
// list the process.
func ResidentMiB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return float64(pages*int64(os.Getpagesize())) / (1 << 20)
}

// CPUUtilization returns the ratio of the processor time that a process uses during d to
// d. It exceeds 1 when the process uses more than one core.
func CPUUtilization(pid int, d time.Duration) float64 {
	before := cpuTime(pid)
	time.Sleep(d)
	return (cpuTime(pid) - before).Seconds() / d.Seconds()
}
