package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/standin/loadgen"
	"github.com/mustardwing/mustardwing/standin/upstream"
	"github.com/mustardwing/mustardwing/test/bench"
	"github.com/mustardwing/mustardwing/test/fleet"
)

const (
	// overloadFactor is the sum of the load ratios of the priorities in overload.
	overloadFactor   = 3
	overloadDuration = 4 * time.Second
)

// singleCall sends one call across three services and shows its path.
func singleCall(ctx context.Context, f *fleet.Fleet) error {
	fmt.Println("\nOne call across three services:")
	started := time.Now()
	resp, body, err := send(ctx, f, http.MethodGet, "normal", "demo-1", "")
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || len(body.Path) != 3 || body.TestID != "demo-1" {
		return errors.Errorf("call across the chain: status %s, response %+v", resp.Status, body)
	}
	fmt.Printf("  %s by %s in %s\n", resp.Status, strings.Join(body.Path, " -> "), time.Since(started).Round(100*time.Microsecond))
	fmt.Printf("  request id %s, result code %s, run %s\n",
		resp.Header.Get("Mustardwing-Request-Id"), resp.Header.Get("Mustardwing-Code"), resp.Header.Get("Mustardwing-Run"))
	return nil
}

// retriedCharge sends a non-idempotent call with the same key to each node in turn
// and checks that it ran once.
func retriedCharge(ctx context.Context, f *fleet.Fleet) error {
	fmt.Println("\nA promotion charge sent six times with one idempotency key, to six nodes:")
	key := uuid.Must(uuid.NewV7()).String()
	for range f.CallerURLs() {
		resp, _, err := send(ctx, f, http.MethodPost, "promotion", "charge-1", key)
		if err != nil {
			return err
		}
		fmt.Printf("  %s, result code %s, run %s\n", resp.Status, resp.Header.Get("Mustardwing-Code"), resp.Header.Get("Mustardwing-Run"))
	}
	executions := 0
	for _, instance := range f.Instances("search") {
		stats, err := instance.Stats()
		if err != nil {
			return err
		}
		executions += stats.Executions["charge-1"]
	}
	fmt.Printf("  executions at the upstreams: %d\n", executions)
	if executions != 1 {
		return errors.Errorf("the charge ran %d times, want once", executions)
	}
	return nil
}

// nextTarget selects the caller listener of the next call, so that all are used in turn.
var nextTarget int

// send sends one call to the next caller listener. It decodes the body only of a
// successful response.
func send(ctx context.Context, f *fleet.Fleet, method, kind, testID, key string) (*http.Response, upstream.Response, error) {
	urls := f.CallerURLs()
	nextTarget++
	req, err := http.NewRequestWithContext(ctx, method, urls[nextTarget%len(urls)]+"/"+kind, nil)
	if err != nil {
		return nil, upstream.Response{}, errors.Wrap(err, "build request")
	}
	req.Header.Set("Mustardwing-Service", "search")
	req.Header.Set("Mustardwing-Kind", kind)
	req.Header.Set(upstream.HeaderTestID, testID)
	if key != "" {
		req.Header.Set("Mustardwing-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, upstream.Response{}, errors.Wrap(err, "send call")
	}
	defer resp.Body.Close()
	var body upstream.Response
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&body)
	}
	return resp, body, errors.Wrap(err, "decode response")
}

// overload offers several times the capacity in calls of three priorities.
func overload(ctx context.Context, f *fleet.Fleet) error {
	capacity := bench.Capacity(f.Deployment.Services)
	fmt.Printf("\nOverload: %d times the capacity of %.0f requests a second for %s, callers retry:\n", overloadFactor, capacity, overloadDuration)
	loadRatio := map[string]float64{"background": 1.5, "normal": 1.1, "critical": 0.4}
	var classes []loadgen.Class
	for _, name := range []string{"background", "normal", "critical"} {
		classes = append(classes, loadgen.Class{Name: name, Service: "search", Kind: name, Method: http.MethodGet, Rate: loadRatio[name] * capacity})
	}
	result, err := loadgen.Run(ctx, loadgen.Config{
		Targets:    f.CallerURLs(),
		Classes:    classes,
		Phases:     []loadgen.Phase{{Duration: overloadDuration, Factor: 1}},
		Retries:    2,
		RetryDelay: 20 * time.Millisecond,
		Timeout:    3 * time.Second,
		Seed:       1,
	})
	if err != nil {
		return err
	}
	fmt.Println("  priority    offered  answered     shed   p50 ms   p99 ms  result codes of failed attempts")
	for _, c := range classes {
		r := result.Classes[c.Name]
		fmt.Printf("  %-10s %8d  %8d %8d %8.1f %8.1f  %v\n", c.Name, r.Offered, r.Succeeded, r.Failed+r.Dropped, r.P50Ms, r.P99Ms, r.Codes)
	}
	return checkOverload(result)
}

// checkOverload returns an error when a response does not belong to its request or when
// a higher priority has a lower success rate than a lower one.
func checkOverload(result *loadgen.Result) error {
	successRate := func(name string) float64 {
		c := result.Classes[name]
		return float64(c.Succeeded) / float64(max(1, c.Offered))
	}
	for name, c := range result.Classes {
		if c.Mismatched > 0 {
			return errors.Errorf("%s: %d incomplete responses or responses to another request", name, c.Mismatched)
		}
	}
	if successRate("critical") < successRate("normal") || successRate("normal") < successRate("background") {
		return errors.Errorf("shed out of order: critical %.2f, normal %.2f, background %.2f succeeded", successRate("critical"), successRate("normal"), successRate("background"))
	}
	return nil
}
