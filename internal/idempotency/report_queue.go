package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Bounds of the backoff between two sends of a report that its owner does not
// acknowledge.
const (
	minReportBackoff = 200 * time.Millisecond
	maxReportBackoff = 10 * time.Second
)

// reportID identifies a report: an attempt has one outcome.
type reportID struct {
	key, attempt uuid.UUID
}

// report is the outcome of an attempt that the owner permitted, or may have permitted in a
// response that was lost.
type report struct {
	reportID
	execution resultcode.Execution
	// status is the upstream's HTTP status when the attempt ran.
	status int
	// due is when the report is sent next, in unix milliseconds.
	due int64
	// backoff is the wait after the next send that is not acknowledged.
	backoff  time.Duration
	inFlight bool
}

// reportQueue holds the reports that no owner has acknowledged yet. When it is
// full the report of the oldest key is dropped; that key stays refused.
type reportQueue struct {
	queued map[reportID]*report
	// limit is the maximum number of queued reports.
	limit int
	// dropped counts the reports dropped since the start.
	dropped int64
	// inFlight is the number of reports that are being sent.
	inFlight int
	// backoffUntil holds, for each owner that recently failed to acknowledge a report, the
	// time until which no report is sent to it, in unix milliseconds.
	backoffUntil map[Identity]int64
}

func newReportQueue(limit int) *reportQueue {
	return &reportQueue{queued: make(map[reportID]*report), limit: limit, backoffUntil: make(map[Identity]int64)}
}

func (q *reportQueue) len() int {
	return len(q.queued)
}

// add queues a report. A report that an attempt ran or may have run replaces an
// earlier one that it did not run, never the reverse.
func (q *reportQueue) add(r *report) {
	if old, ok := q.queued[r.reportID]; ok {
		if old.execution == resultcode.NotRun {
			old.execution, old.status, old.due = r.execution, r.status, r.due
		}
		return
	}
	if len(q.queued) >= q.limit {
		q.dropOldest()
	}
	r.backoff = minReportBackoff
	q.queued[r.reportID] = r
}

func (q *reportQueue) dropOldest() {
	var oldest *report
	for _, r := range q.queued {
		if oldest == nil || issuedAt(r.key) < issuedAt(oldest.key) {
			oldest = r
		}
	}
	delete(q.queued, oldest.reportID)
	q.dropped++
}

// takeDue returns up to n due reports and marks them as in flight. It drops the
// reports of keys issued before oldest, since every owner refuses those keys, and
// removes the backoffs that are over.
func (q *reportQueue) takeDue(now, oldest int64, n int) []report {
	for owner, until := range q.backoffUntil {
		if until <= now {
			delete(q.backoffUntil, owner)
		}
	}
	var due []report
	for id, r := range q.queued {
		if issuedAt(id.key) < oldest {
			delete(q.queued, id)
			q.dropped++
			continue
		}
		if r.inFlight || r.due > now || len(due) >= n {
			continue
		}
		r.inFlight = true
		q.inFlight++
		due = append(due, *r)
	}
	return due
}

// done records whether a report that was sent has been acknowledged. An unacknowledged
// one, and one that was replaced while it was being sent, is sent again after its
// backoff.
func (q *reportQueue) done(now int64, sent report, acknowledged bool) {
	q.inFlight--
	r, ok := q.queued[sent.reportID]
	if !ok {
		return
	}
	r.inFlight = false
	if acknowledged && r.execution == sent.execution {
		delete(q.queued, sent.reportID)
		return
	}
	r.due = now + r.backoff.Milliseconds()
	r.backoff = min(2*r.backoff, maxReportBackoff)
}
