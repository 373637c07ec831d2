package loadgen

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/standin/upstream"
)

// runner is one run of the load generator.
type runner struct {
	config Config
	client *http.Client
	result *Result
	// outstanding holds one value for each unfinished request.
	outstanding chan struct{}
	requests    sync.WaitGroup
}

// Run sends the load and returns when the phases are over and every request has finished.
// When ctx ends, it cancels the attempts in progress and starts no further ones, but still
// returns no earlier than the end of the phases.
func Run(ctx context.Context, config Config) (*Result, error) {
	if len(config.Targets) == 0 {
		return nil, errors.New("no targets")
	}
	if config.Interval <= 0 {
		config.Interval = 100 * time.Millisecond
	}
	if config.MaxOutstanding <= 0 {
		config.MaxOutstanding = 20_000
	}
	r := &runner{
		config:      config,
		client:      newClient(config.Timeout),
		result:      newResult(config),
		outstanding: make(chan struct{}, config.MaxOutstanding),
	}
	var arrivals sync.WaitGroup
	for i, class := range config.Classes {
		arrivals.Go(func() { r.generateArrivals(ctx, class, uint64(i)) })
	}
	arrivals.Wait()
	r.requests.Wait()
	r.client.CloseIdleConnections()
	r.result.finish()
	return r.result, nil
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 2000, IdleConnTimeout: time.Minute},
	}
}

// generateArrivals starts requests at exponentially distributed intervals, whether or not
// earlier ones have finished.
func (r *runner) generateArrivals(ctx context.Context, class Class, stream uint64) {
	random := rand.New(rand.NewPCG(r.config.Seed, stream))
	next := time.Now()
	sequence := 0
	for _, phase := range r.config.Phases {
		end := next.Add(phase.Duration)
		rate := class.Rate * phase.Factor
		for rate > 0 && ctx.Err() == nil {
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			if next.After(end) {
				break
			}
			time.Sleep(time.Until(next))
			r.arrive(ctx, class, class.Name+"-"+strconv.Itoa(sequence), random.Uint64())
			sequence++
		}
		time.Sleep(time.Until(end))
		next = end
	}
}

// arrive records the arrival of a request and sends the request in the background, or
// drops it when MaxOutstanding requests are unfinished. salt selects the first target
// and the content of the body.
func (r *runner) arrive(ctx context.Context, class Class, testID string, salt uint64) {
	r.result.recordArrival(class.Name)
	select {
	case r.outstanding <- struct{}{}:
	default:
		r.result.update(class.Name, func(c *ClassResult) { c.Dropped++ })
		return
	}
	r.requests.Go(func() {
		defer func() { <-r.outstanding }()
		r.request(ctx, class, testID, salt)
	})
}

// request sends one request, with retries as a client makes them, and records its
// result. It waits for RetryDelay after each failed attempt, also after the last.
func (r *runner) request(ctx context.Context, class Class, testID string, salt uint64) {
	started := time.Now()
	body := bytes.Repeat([]byte{byte(salt)}, class.BodyBytes)
	key := ""
	if class.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	for attempt := 0; attempt <= r.config.Retries && ctx.Err() == nil; attempt++ {
		target := r.config.Targets[(salt+uint64(attempt))%uint64(len(r.config.Targets))]
		if r.attempt(ctx, class, target, testID, key, body) {
			r.result.recordSuccess(class.Name, time.Since(started))
			return
		}
		time.Sleep(r.config.RetryDelay)
	}
	r.result.update(class.Name, func(c *ClassResult) { c.Failed++ })
}

// attempt sends the request once and reports whether the attempt succeeded.
func (r *runner) attempt(ctx context.Context, class Class, target, testID, key string, body []byte) bool {
	r.result.update(class.Name, func(c *ClassResult) { c.Attempts++ })
	req, err := http.NewRequestWithContext(ctx, class.Method, target+"/"+class.Kind, bytes.NewReader(body))
	if err != nil {
		return false
	}
	setHeaders(req.Header, class, testID, key)
	resp, err := r.client.Do(req)
	if err != nil {
		r.result.update(class.Name, func(c *ClassResult) { c.Codes["transport"]++ })
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		code := resp.Header.Get("Mustardwing-Code") + "/" + strconv.Itoa(resp.StatusCode)
		r.result.update(class.Name, func(c *ClassResult) { c.Codes[code]++ })
		return false
	}
	return r.verify(resp, class.Name, testID, body)
}

func setHeaders(h http.Header, class Class, testID, key string) {
	h.Set("Mustardwing-Service", class.Service)
	if class.Kind != "" {
		h.Set("Mustardwing-Kind", class.Kind)
	}
	if key != "" {
		h.Set("Mustardwing-Key", key)
	}
	h.Set(upstream.HeaderTestID, testID)
}

// verify reports whether the response is complete and belongs to this request and body.
func (r *runner) verify(resp *http.Response, class, testID string, body []byte) bool {
	var response upstream.Response
	err := json.NewDecoder(resp.Body).Decode(&response)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		r.result.update(class, func(c *ClassResult) { c.Codes["truncated"]++ })
		return false
	}
	sum := sha256.Sum256(body)
	if response.TestID != testID || response.BodyHash != hex.EncodeToString(sum[:]) {
		r.result.update(class, func(c *ClassResult) { c.Mismatched++ })
		return false
	}
	return true
}
