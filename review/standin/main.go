//go:build review

// Command review runs the scripted cases of the review. It starts the node program of the
// deploy file as separate processes, plays the platform, the workers and the clients on
// loopback addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// caseLimit is the longest time that a case may run.
const caseLimit = 110 * time.Second

// cases are the scripted cases by name. Each returns whether the rule was broken and a summary.
// trouble is false for the run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, summary string){
	"leave":  caseLeave,
	"bodies": caseBodies,
	"memory": caseMemory,
	"twice":  caseTwice,
	"stop":   caseStop,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE NODE_PROGRAM RECORD_FILE")
		os.Exit(exitUnable)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q: want one of those in main.go\n", os.Args[1])
		os.Exit(exitUnable)
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	f, err := newFleet(os.Args[2], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		f.stop()
		fmt.Fprintln(os.Stderr, "the case did not end by itself")
		os.Exit(exitUnable)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, trouble %t", os.Args[1], trouble)
	code := runCase(f, run, trouble)
	record.close()
	os.Exit(code)
}

// unable ends a case that could not run.
type unable struct{ reason string }

func runCase(f *fleet, run func(*fleet, bool) (bool, string), trouble bool) (code int) {
	defer f.stop()
	defer func() {
		if p := recover(); p != nil {
			reason := fmt.Sprint(p)
			if u, ok := p.(unable); ok {
				reason = u.reason
			}
			f.record.note("the case could not run: %s", reason)
			fmt.Println("could not run:", reason)
			code = exitUnable
		}
	}()
	broken, summary := run(f, trouble)
	f.record.note("%s", summary)
	fmt.Println(summary)
	if broken {
		return exitBroken
	}
	return exitHeld
}
