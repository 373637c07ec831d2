package budget

import "time"

const (
	// intervals is the number of intervals into which a ledger divides a window.
	intervals = 40
	// history is the number of intervals that a ledger keeps: two windows, since the bound
	// of a window may follow from the first arrivals of the window before it.
	history = 2*intervals + 1
)

// ledger counts the first arrivals and the retries at one service by interval, and finds
// how many more retries fit into every window that contains the present.
type ledger struct {
	interval time.Duration
	// start is when interval number history began; only differences of times are used, so
	// that a step of the wall clock has no effect.
	start time.Time
	// current is the number of the interval that now is in.
	current int64
	counts  [history]arrivals
}

// arrivals are the arrivals in one interval.
type arrivals struct {
	first, retries float64
}

func newLedger(now time.Time, window time.Duration) *ledger {
	return &ledger{interval: max(1, window/intervals), start: now, current: history}
}

func (l *ledger) number(now time.Time) int64 {
	return history + int64(now.Sub(l.start)/l.interval)
}

// at returns the counts of the interval that began the given number of intervals before
// the current one.
func (l *ledger) at(before int) *arrivals {
	return &l.counts[(l.current-int64(before))%history]
}

// advance makes the interval that contains now the current one. A clock that goes back
// changes nothing.
func (l *ledger) advance(now time.Time) {
	next := l.number(now)
	if next-l.current >= history {
		l.counts = [history]arrivals{}
		l.current = next
	}
	for l.current < next {
		l.current++
		*l.at(0) = arrivals{}
	}
}

// resize returns a ledger for another length of the window. Its current interval holds all
// retries of the last window, and its first arrivals are unknown.
func (l *ledger) resize(now time.Time, window time.Duration) *ledger {
	l.advance(now)
	next := newLedger(now, window)
	for i := range intervals {
		next.at(0).retries += l.at(i).retries
	}
	return next
}

// available returns how many more retries may be sent now, so that no window that contains now
// exceeds ratio times the first arrivals that count for it plus slack, even if no call
// arrives any more. The first arrivals that count are the most in the window itself, in the
// window before it and in the one that begins half a window earlier. Intervals that only
// partly belong to a window count for its retries and not for its first arrivals.
func (l *ledger) available(ratio, slack float64) float64 {
	// firstBefore[i] and retriesBefore[i] are the sums over the i latest intervals.
	var firstBefore, retriesBefore [history + 1]float64
	for i := range history {
		a := l.at(i)
		firstBefore[i+1] = firstBefore[i] + a.first
		retriesBefore[i+1] = retriesBefore[i] + a.retries
	}
	// sum adds the first arrivals of the intervals from newest to oldest, both counted back
	// from the current one.
	sum := func(newest, oldest int) float64 {
		newest, oldest = max(0, newest), min(history-1, oldest)
		if oldest < newest {
			return 0
		}
		return firstBefore[oldest+1] - firstBefore[newest]
	}
	available := slack + ratio*firstBefore[intervals]
	for ahead := 0; ahead <= intervals; ahead++ {
		// oldest is the interval in which a window begins that ends in the interval ahead.
		oldest := intervals - ahead
		most := max(
			sum(0, oldest-1),
			sum(intervals/2-ahead+1, oldest+intervals/2-1),
			sum(intervals-ahead+1, oldest+intervals-1),
		)
		available = min(available, slack+ratio*most-retriesBefore[oldest+1])
	}
	return available
}

// expiring returns the number of retries that leave the window within a period of the given
// number of intervals.
func (l *ledger) expiring(period int) float64 {
	n := 0.0
	for i := intervals - period; i < intervals; i++ {
		n += l.at(i).retries
	}
	return n
}

// spent returns the number of retries in the latest window.
func (l *ledger) spent() float64 {
	n := 0.0
	for i := range intervals {
		n += l.at(i).retries
	}
	return n
}
