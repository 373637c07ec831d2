package h1

import "sync"

// maxIdleGoroutines bounds the goroutines that wait for a request.
const maxIdleGoroutines = 32

// job is a request to be served on its connection.
type job struct {
	conn        *serverConn
	exchange    *exchange
	request     *Request
	reservation *bodyReservation
}

// goroutinePool runs each job in a goroutine. It keeps goroutines for later jobs, since growing a new stack
// to the size that a handler needs costs more than parsing the request.
type goroutinePool struct {
	mu sync.Mutex
	// idle holds the channel of each goroutine that waits, that of the latest one last.
	idle   []chan job
	closed bool
}

// run starts a job in the goroutine that has been idle for the shortest time, or in a new one.
func (p *goroutinePool) run(j job) {
	p.mu.Lock()
	last := len(p.idle) - 1
	if last < 0 {
		p.mu.Unlock()
		go p.work(j)
		return
	}
	jobs := p.idle[last]
	p.idle = p.idle[:last]
	p.mu.Unlock()
	jobs <- j
}

func (p *goroutinePool) work(j job) {
	jobs := make(chan job, 1)
	for more := true; more; {
		j.conn.serve(j.exchange, j.request, j.reservation)
		j = job{}
		if !p.await(jobs) {
			return
		}
		j, more = <-jobs
	}
}

// await makes a goroutine receive the next job from a channel. It returns false if there are enough
// idle ones.
func (p *goroutinePool) await(jobs chan job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleGoroutines {
		return false
	}
	p.idle = append(p.idle, jobs)
	return true
}

// close ends the idle goroutines, and the others after their jobs.
func (p *goroutinePool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, jobs := range p.idle {
		close(jobs)
	}
	p.idle = nil
}
