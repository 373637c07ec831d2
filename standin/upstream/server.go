package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// propagatedHeaders are copied from a call to its nested calls.
var propagatedHeaders = []string{"Mustardwing-Request-Id", "Mustardwing-Attempt", "Traceparent", "Tracestate"}

// HeaderTestID holds an id that is the same for all attempts at one request of the load
// generator and for their nested calls, so that their executions can be counted.
const HeaderTestID = "X-Test-Id"

// coldFactor multiplies the service time at the beginning of a cold start. From there
// the factor falls linearly to 1.
const coldFactor = 10

// Server is one running instance.
type Server struct {
	config   Config
	listener net.Listener
	http     *http.Server
	client   *http.Client
	// slots holds one value for each slot in use.
	slots           chan struct{}
	started         time.Time
	draining        atomic.Bool
	slowFactorMilli atomic.Int64 // factor of the service times, in thousandths

	mu     sync.Mutex
	random *rand.Rand
	stats  Stats
	// loadSamples are the samples of handleLoad, oldest first.
	loadSamples []loadSample
}

// Response is the body of a successful call.
type Response struct {
	// Service and Address are those of the instance that ran the call.
	Service string `json:"service"`
	Address string `json:"address"`
	// TestID is that of the request.
	TestID string `json:"test_id"`
	// BodySize and BodyHash are the size and the hexadecimal SHA-256 of the request body.
	BodySize int64  `json:"body_size"`
	BodyHash string `json:"body_sha256"`
	// Path lists the instances that ran the call and its nested calls, each as
	// service@address.
	Path []string `json:"path"`
}

// Start listens and, when a node is configured, announces the instance to it. If only
// the announcement fails, it returns the running server together with the error.
func Start(ctx context.Context, config Config) (*Server, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", config.Listen)
	}
	s := &Server{
		config:   config,
		listener: listener,
		client:   newNodeClient(),
		slots:    make(chan struct{}, config.Slots),
		started:  time.Now(),
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
		stats:    Stats{Executions: make(map[string]int)},
	}
	s.slowFactorMilli.Store(1000)
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(limitConnections(listener, config.MaxConnections)) }()
	if config.Node == "" {
		return s, nil
	}
	return s, s.announce(ctx)
}

func newNodeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute}}
}

// Addr returns the address for calls.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Close stops the instance immediately and closes its connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// Shutdown stops accepting calls and waits for the in-flight ones.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// SetSlow multiplies service times by factor from now on; 1 is normal speed.
func (s *Server) SetSlow(factor float64) {
	s.slowFactorMilli.Store(int64(factor * 1000))
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/control/slow", s.handleSlow)
	mux.HandleFunc("/control/drain", s.handleDrain)
	mux.HandleFunc("/stats", s.handleStats)
	mux.HandleFunc("/load", s.handleLoad)
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	if !s.acquireSlot(w, r) {
		return
	}
	defer s.releaseSlot()
	testID := r.Header.Get(HeaderTestID)
	s.recordStart(testID)
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	if err != nil {
		s.recordAbandoned()
		panic(http.ErrAbortHandler)
	}
	if !s.simulateWork(r) {
		s.recordAbandoned()
		return
	}
	if s.config.Fails {
		s.recordCompleted()
		http.Error(w, "this instance fails every call", http.StatusServiceUnavailable)
		return
	}
	path, status := s.makeNestedCalls(r, testID)
	if status != http.StatusOK {
		http.Error(w, "nested call failed", status)
		return
	}
	s.recordCompleted()
	s.writeResponse(w, r, Response{
		Service:  s.config.Service,
		Address:  s.Addr(),
		TestID:   testID,
		BodySize: size,
		BodyHash: hex.EncodeToString(hash.Sum(nil)),
		Path:     append([]string{s.config.Service + "@" + s.Addr()}, path...),
	})
}

// acquireSlot takes a slot for a call, waiting for one unless RefusesBeforeWork is set. It
// returns false when the call was rejected or its caller disconnected.
func (s *Server) acquireSlot(w http.ResponseWriter, r *http.Request) bool {
	if s.config.RefusesBeforeWork {
		select {
		case s.slots <- struct{}{}:
			return true
		default:
			w.Header().Set("Mustardwing-Refused-Attempt", r.Header.Get("Mustardwing-Attempt"))
			http.Error(w, "all slots are taken", http.StatusServiceUnavailable)
			return false
		}
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	<-s.slots
}

// simulateWork waits for the service time. It returns false when the caller disconnects
// first.
func (s *Server) simulateWork(r *http.Request) bool {
	timer := time.NewTimer(s.serviceTime(r.Header.Get("Mustardwing-Kind")))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// serviceTime returns the time that a call of a kind takes now: the mean, multiplied by
// the slow factor, during a cold start by the factor of the cold start, and with the
// exponential distribution by a random factor.
func (s *Server) serviceTime(kind string) time.Duration {
	mean := s.config.ServiceTime
	if kindMean, ok := s.config.Kinds[kind]; ok {
		mean = kindMean
	}
	factor := float64(s.slowFactorMilli.Load()) / 1000
	if age := time.Since(s.started); age < s.config.ColdStart {
		factor *= coldFactor - (coldFactor-1)*age.Seconds()/s.config.ColdStart.Seconds()
	}
	if s.config.Distribution == Exponential {
		s.mu.Lock()
		factor *= s.random.ExpFloat64()
		s.mu.Unlock()
	}
	return time.Duration(float64(mean) * factor)
}

// Padding returns the bytes that follow a Response. They depend on the test id, so
// that a body with bytes of another response is detected.
func Padding(testID string, size int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(testID))), size)
}

// writeResponse sends the response, followed by as many bytes of padding as the query
// parameter size requests.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, response Response) {
	padding, _ := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(response); err != nil {
		return
	}
	_, _ = io.Copy(w, Padding(response.TestID, padding))
}
