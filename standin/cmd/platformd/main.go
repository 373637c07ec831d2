// Command platformd runs the stand-in for the platform's object API. It prints
// its address on standard output and stops on SIGTERM.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/standin/platform"
)

// readHeaderTimeout bounds the time in which a client has to send a request's headers.
const readHeaderTimeout = 10 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address to listen on; port 0 takes a free one")
	seed := flag.Uint64("seed", 1, "seed of the random faults")
	faults := faultFlags()
	flag.Parse()
	store := platformtest.New(*seed)
	store.SetFaults(*faults)
	if err := run(*listen, store); err != nil {
		fmt.Fprintln(os.Stderr, "platformd:", err)
		os.Exit(1)
	}
}

func faultFlags() *platformtest.Faults {
	f := &platformtest.Faults{}
	flag.BoolVar(&f.Outage, "outage", false, "start with an outage")
	flag.IntVar(&f.DelayMs, "delay-ms", 0, "delay of every call in milliseconds")
	flag.Float64Var(&f.ReadsPerSecond, "reads-per-second", 0, "rate limit of reads; 0 is no limit")
	flag.Float64Var(&f.WritesPerSecond, "writes-per-second", 0, "rate limit of writes; 0 is no limit")
	flag.Float64Var(&f.LostResponseFraction, "lost-answer-share", 0, "share of writes, 0 to 1, whose answer is lost")
	flag.Float64Var(&f.LateWriteFraction, "late-write-share", 0, "share of writes, 0 to 1, that take effect late and without an answer")
	flag.IntVar(&f.LateWriteMs, "late-write-ms", 0, "delay of late writes in milliseconds")
	flag.Float64Var(&f.GarbageFraction, "garbage-share", 0, "share of calls, 0 to 1, with an answer that cannot be read")
	return f
}

func run(listen string, store *platformtest.Store) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Handler: platform.NewHandler(store), ReadHeaderTimeout: readHeaderTimeout}
	fmt.Println(listener.Addr())
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
