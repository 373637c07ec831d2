// Command standin-2 plays the cases of the second review: it starts real nodes with the command of
// the deploy file, and the store, the workers and the clients around them.
//
// Usage: standin-2 CASE FOLDER. It writes record.txt into the folder and exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// playLimitSeconds ends a case that hangs.
const playLimitSeconds = 110

// cases maps the name of a case to its function, which returns what breaks the rule. trouble is false
// for the same run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) []string{
	"left-worker-returns":        leftWorkerReturns,
	"gossip-from-a-client":       gossipFromAClient,
	"prefix-without-slash":       prefixWithoutSlash,
	"slow-reader-while-stopping": slowReaderWhileStopping,
	"slow-client-while-stopping": slowClientWhileStopping,
}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	f := &fleet{record: record}
	defer f.stop()
	defer func() {
		if p := recover(); p != nil {
			record.note("the case could not run: %v", p)
			code = exitNotRun
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, disruption %v", os.Args[1], trouble)
	go f.endAfter(playLimitSeconds)
	broken := cases[os.Args[1]](f, trouble)
	for _, b := range broken {
		record.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.note("the rule held")
	return exitHeld
}

// must ends the case as not run if err is not nil.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
