// Command upstreamd runs one stand-in upstream instance. It prints its address on
// standard output. On SIGTERM it finishes in-flight calls, for at most a minute.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/standin/upstream"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "upstreamd:", err)
		os.Exit(1)
	}
}

func run() error {
	config, err := parseFlags()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server, err := upstream.Start(ctx, config)
	if err != nil {
		return err
	}
	fmt.Println(server.Addr())
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

func parseFlags() (upstream.Config, error) {
	var c upstream.Config
	var distribution, nestedCalls, kinds string
	flag.StringVar(&c.Listen, "listen", "127.0.0.1:0", "address for calls")
	flag.StringVar(&c.Advertise, "advertise", "", "address to announce instead of the own one, for an instance behind a proxy")
	flag.StringVar(&c.Node, "node", "", "base URL of the node's loopback listener")
	flag.StringVar(&c.Service, "service", "demo", "service name")
	flag.IntVar(&c.Slots, "slots", 35, "calls run at the same time")
	flag.IntVar(&c.MaxConnections, "connections", 300, "connection limit")
	flag.DurationVar(&c.ServiceTime, "service-time", 5*time.Millisecond, "mean service time")
	flag.StringVar(&distribution, "distribution", string(upstream.Fixed), "fixed or exponential")
	flag.StringVar(&kinds, "kinds", "", "service times by kind, as kind=duration,...")
	flag.DurationVar(&c.ColdStart, "cold-start", 0, "time over which a new instance speeds up")
	flag.DurationVar(&c.LoadLag, "load-lag", 0, "age of the load endpoint's figures")
	flag.StringVar(&nestedCalls, "children", "", "services to call, as service[/kind],...")
	flag.BoolVar(&c.RefusesBeforeWork, "refuses-before-work", false, "declare refusals when all slots are taken")
	flag.BoolVar(&c.Fails, "fails", false, "answer every call with 503 after its work")
	flag.Uint64Var(&c.Seed, "seed", 1, "seed of the service times")
	flag.Parse()
	c.Distribution = upstream.Distribution(distribution)
	if nestedCalls != "" {
		c.NestedCalls = strings.Split(nestedCalls, ",")
	}
	var err error
	c.Kinds, err = parseKinds(kinds)
	return c, err
}

func parseKinds(text string) (map[string]time.Duration, error) {
	kinds := make(map[string]time.Duration)
	if text == "" {
		return kinds, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		d, err := time.ParseDuration(value)
		if err != nil {
			return nil, errors.Wrapf(err, "-kinds %q", part)
		}
		kinds[name] = d
	}
	return kinds, nil
}
