// Command standin3 runs the scripts of the third review: it starts nodes of the project as separate
// processes, stands in for the platform, the workers and the clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// host is the host of all routes.
const host = "shop.example"

// errRule is returned when the rule was broken.
type errRule struct{ error }

var cases = map[string]func(f func(services ...string) (*fleet, error), c *record, trouble bool) error{
	"same-id":     sameID,
	"slow-reader": slowReaders,
	"nested":      nestedCase,
	"stop":        stopCase,
	"very-late":   veryLate,
}

func main() {
	name := flag.String("case", "", "the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	run, known := cases[*name]
	c, err := newRecord(*path)
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", *name, err)
		os.Exit(2)
	}
	var started *fleet
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		if started != nil {
			started.stop()
		}
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	err = run(func(services ...string) (*fleet, error) {
		var err error
		started, err = newFleet(*root, c, services...)
		return started, err
	}, c, trouble)
	if started != nil {
		started.stop()
	}
	code := 0
	switch broken := err.(type) {
	case nil:
		c.conclude("the rule held (disruption: %t)", trouble)
	case errRule:
		c.conclude("the rule was broken (disruption: %t): %v", trouble, broken)
		code = 1
	default:
		c.conclude("the case could not run: %v", err)
		code = 2
	}
	c.close()
	os.Exit(code)
}
