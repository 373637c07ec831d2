// Command mustardwingd is the daemon that runs beside each upstream instance.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/node"
	"github.com/mustardwing/mustardwing/internal/nodeconfig"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/telemetry"
)

func main() {
	path := flag.String("config", "", "settings file in JSON")
	check := flag.Bool("check", false, "check the settings file and exit")
	flag.Usage = usage
	flag.Parse()
	if err := run(*path, *check); err != nil {
		failure := resultcode.From(err)
		fmt.Fprintln(os.Stderr, "mustardwingd:", failure)
		os.Exit(resultcode.Lookup(failure.Code).ExitStatus)
	}
}

func usage() {
	fmt.Fprintln(flag.CommandLine.Output(), `usage: mustardwingd -config FILE [-check]

Runs the node beside one upstream instance. It prints its addresses as one line
of JSON on standard output and logs to standard error. SIGTERM shuts it down
without interrupting a call; a second one ends it at once.`)
	flag.PrintDefaults()
}

func run(path string, check bool) error {
	if path == "" {
		return resultcode.New(resultcode.Usage, "-config: want the path of a settings file")
	}
	config, err := nodeconfig.Load(path)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("settings file is valid")
		return nil
	}
	t, err := telemetry.New(context.Background(), telemetry.Config{
		Service:      "mustardwingd",
		NodeID:       config.NodeID,
		LogLevel:     config.LogLevel,
		OTLPEndpoint: config.OTLPEndpoint,
		LogWriter:    os.Stderr,
	})
	if err != nil {
		return resultcode.Wrap(err, resultcode.SettingsInvalid, "settings file %q", path)
	}
	return serve(config, t)
}

func serve(config nodeconfig.Config, t *telemetry.Telemetry) error {
	n, err := node.New(config, t)
	if err != nil {
		return resultcode.Wrap(err, resultcode.Internal, "node %q cannot start", config.NodeID)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n.Start()
	if err := json.NewEncoder(os.Stdout).Encode(n.Addresses()); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	select {
	case <-ctx.Done():
	case <-n.Superseded():
	}
	stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), config.ShutdownLimit)
	defer cancel()
	if err := n.Shutdown(shutdownCtx); err != nil {
		return resultcode.Wrap(err, resultcode.Internal, "shutdown with a limit of %s", config.ShutdownLimit)
	}
	return nil
}
