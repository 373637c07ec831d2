package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Waits between deliveries of a report to an owner that does not answer.
const (
	minReportWait = 200 * time.Millisecond
	maxReportWait = 10 * time.Second
)

type reportID struct {
	key, attempt uuid.UUID
}

// report says how a permitted attempt ended.
type report struct {
	reportID
	run    resultcode.Execution
	status int
	// due is when it is sent next, in unix milliseconds.
	due     int64
	wait    time.Duration
	sending bool
}

// reportQueue holds the reports that no owner has taken yet. When it is full the
// oldest keys' reports are dropped; their keys stay refused.
type reportQueue struct {
	waiting map[reportID]*report
	limit   int
	dropped int64
	// sending is the number of reports on their way.
	sending int
	// rests holds until when an owner that failed gets no report, in unix
	// milliseconds.
	rests map[Identity]int64
}

func newReportQueue(limit int) *reportQueue {
	return &reportQueue{waiting: make(map[reportID]*report), limit: limit, rests: make(map[Identity]int64)}
}

func (q *reportQueue) len() int {
	return len(q.waiting)
}

// add queues a report. A report that an attempt ran or may have run replaces one
// that it did not, never the reverse.
func (q *reportQueue) add(r *report) {
	if old, ok := q.waiting[r.reportID]; ok {
		if old.run == resultcode.NotRun {
			old.run, old.status, old.due = r.run, r.status, r.due
		}
		return
	}
	if len(q.waiting) >= q.limit {
		q.dropOldest()
	}
	r.wait = minReportWait
	q.waiting[r.reportID] = r
}

func (q *reportQueue) dropOldest() {
	var oldest *report
	for _, r := range q.waiting {
		if oldest == nil || issuedAt(r.key) < issuedAt(oldest.key) {
			oldest = r
		}
	}
	delete(q.waiting, oldest.reportID)
	q.dropped++
}

// take returns up to n reports that are due and drops those of keys issued
// before oldest, which every owner refuses.
func (q *reportQueue) take(now, oldest int64, n int) []report {
	for owner, until := range q.rests {
		if until <= now {
			delete(q.rests, owner)
		}
	}
	var due []report
	for id, r := range q.waiting {
		if issuedAt(id.key) < oldest {
			delete(q.waiting, id)
			q.dropped++
			continue
		}
		if r.sending || r.due > now || len(due) >= n {
			continue
		}
		r.sending = true
		q.sending++
		due = append(due, *r)
	}
	return due
}

// done ends a delivery. A report changed meanwhile is sent again.
func (q *reportQueue) done(now int64, sent report, delivered bool) {
	q.sending--
	r, ok := q.waiting[sent.reportID]
	if !ok {
		return
	}
	r.sending = false
	if delivered && r.run == sent.run {
		delete(q.waiting, sent.reportID)
		return
	}
	r.due = now + r.wait.Milliseconds()
	r.wait = min(2*r.wait, maxReportWait)
}
