// Command loadgen sends open-loop load to the listeners on which nodes accept callers'
// requests. It prints the result as JSON on standard output.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
)

func main() {
	targets := flag.String("targets", "", "base URLs of caller listeners, separated by commas")
	service := flag.String("service", "demo", "service to call")
	kind := flag.String("kind", "", "call kind")
	method := flag.String("method", http.MethodGet, "HTTP method")
	rate := flag.Float64("rate", 100, "requests per second")
	duration := flag.Duration("duration", 5*time.Second, "length of the run")
	retries := flag.Int("retries", 0, "times a client sends a failed request again")
	timeout := flag.Duration("timeout", 5*time.Second, "time a client waits for one attempt")
	body := flag.Int("body", 0, "request body in bytes")
	keyed := flag.Bool("keyed", false, "send idempotency keys")
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	flag.Parse()
	result, err := loadgen.Run(context.Background(), loadgen.Config{
		Targets: strings.Split(*targets, ","),
		Classes: []loadgen.Class{{Name: "load", Service: *service, Kind: *kind, Method: *method, Rate: *rate, BodyBytes: *body, Keyed: *keyed}},
		Phases:  []loadgen.Phase{{Duration: *duration, Factor: 1}},
		Retries: *retries,
		Timeout: *timeout,
		Seed:    *seed,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result)
}
