// Package capacity learns how many calls an upstream instance takes well at a time. It owns the
// limit that internal/admission applies below the announced slots. It does no I/O and reads no
// clock.
package capacity

import (
	"math"
	"time"
)

const (
	// A slice ends once it has lasted sliceTime and sliceCalls calls have ended in it. After
	// maxSliceTime it is given up.
	sliceTime    = 150 * time.Millisecond
	sliceCalls   = 8
	maxSliceTime = 3 * time.Second
	// boundFraction is the part of the limit from which on the mean number of running calls shows
	// that the limit bounds them.
	boundFraction = 0.85
	// suspectRise is the rise of the mean logarithmic duration, about a quarter, from which a slice
	// is suspect. It must also exceed suspectErrors standard errors.
	suspectRise   = 0.25
	suspectErrors = 3.0
	// minPatience suspect slices in a row cause a probe. Each false alarm adds patienceStep to this
	// number, up to maxPatience; it falls by one in each patienceDecay without one.
	minPatience   = 3
	maxPatience   = 9
	patienceStep  = 2
	patienceDecay = 15 * time.Second
	// slowSlices is the number of slow slices in a row, while the limit bounds nothing, after which
	// the baseline begins anew.
	slowSlices = 10
	// unboundTime is how long a limit that bounds nothing is kept. Then it rises by the step
	// driftFactor in each driftInterval.
	unboundTime   = 5 * time.Second
	driftFactor   = 1.25
	driftInterval = time.Second
)

// phase is what the estimator does with the next slice.
type phase uint8

const (
	// holding keeps the limit and updates the baseline.
	holding phase = iota
	// suspecting waits for further slices that are slower than the baseline.
	suspecting
	// probing compares a changed limit with the one before.
	probing
)

// Estimator learns the limit of one instance. It is not safe for concurrent use.
type Estimator struct {
	slots int
	// limit is the limit in force, from 1 to slots.
	limit float64
	phase phase

	// running and waiting are the calls that hold a slot and those of them that wait for nested
	// calls. The integrals over time, in call seconds, hold up to at; origin is when they began.
	running, waiting                int
	runningIntegral, activeIntegral float64
	origin, at                      time.Time

	// slice collects the calls that end between two decisions, from sliceStart on.
	slice          *sums
	sliceStart     time.Time
	runningAtStart float64
	// baseline describes the latest calls under the limit that is held.
	baseline *window
	// boundAt is when the limit last bounded the calls.
	boundAt time.Time
	driftAt time.Time

	// suspects holds the slices slower than the baseline, without the first one, and suspectCount
	// their number with it.
	suspects     *window
	suspectCount int
	// patience is the number of suspect slices that cause a probe, as of patienceAt.
	patience   int
	patienceAt time.Time
	// slowCount is the number of slow slices in a row while the limit bounded nothing.
	slowCount int
	probe     probe
	// rejected is the raised limit that was last taken back, at rejectedAt.
	rejected   float64
	rejectedAt time.Time
	schedule   [2]schedule
	// suspended is set while something other than the limit bounds the throughput.
	suspended bool
	change    Change
}

// New returns an estimator whose limit is the announced number of slots.
func New(now time.Time, slots int) *Estimator {
	e := &Estimator{slots: max(1, slots), origin: now, at: now, boundAt: now, driftAt: now, baseline: &window{}, patience: minPatience}
	e.limit = float64(e.slots)
	e.resetSchedule(now)
	e.startSlice(now)
	return e
}

// Limit returns the number of calls that may hold a slot, from 1 to the announced slots.
func (e *Estimator) Limit() int {
	return int(e.limit)
}

// SetSlots replaces the announced number of slots. A limit that had not been lowered follows it.
func (e *Estimator) SetSlots(now time.Time, slots int) {
	slots = max(1, slots)
	if slots == e.slots {
		return
	}
	e.abandon(now)
	lowered := e.Limit() < e.slots
	e.slots = slots
	if !lowered {
		e.limit = float64(slots)
	}
	e.limit = min(e.limit, float64(slots))
}

// Suspend stops learning while something other than the limit bounds the throughput, such as a
// rate limit of the upstream. A probe under way is taken back.
func (e *Estimator) Suspend(now time.Time, suspended bool) {
	if e.suspended == suspended {
		return
	}
	e.suspended = suspended
	e.abandon(now)
}

// abandon takes back a probe under way and begins a new slice.
func (e *Estimator) abandon(now time.Time) {
	if e.phase == probing {
		e.limit = e.probe.previous
	}
	e.phase = holding
	e.startSlice(now)
}

func (e *Estimator) startSlice(now time.Time) {
	e.advance(now)
	e.slice, e.sliceStart, e.runningAtStart = newSums(), now, e.runningIntegral
}

// advance extends the integrals to now.
func (e *Estimator) advance(now time.Time) {
	if elapsed := now.Sub(e.at).Seconds(); elapsed > 0 {
		e.runningIntegral += elapsed * float64(e.running)
		e.activeIntegral += elapsed * float64(e.running-e.waiting)
		e.at = now
	}
}

// Advance makes the decisions that are due because time has passed.
func (e *Estimator) Advance(now time.Time) {
	if e.suspended {
		return
	}
	if e.phase == probing && !e.probe.settled && e.settled(now) {
		e.probe.settled = true
		e.startSlice(now)
	}
	age := now.Sub(e.sliceStart)
	switch {
	case age >= maxSliceTime:
		if e.phase == probing {
			e.reject(now)
		}
		e.drift(now)
		e.phase = holding
		e.startSlice(now)
	case age >= sliceTime && e.slice.calls >= sliceCalls:
		e.endSlice(now)
	}
}

// endSlice decides by the calls that ended in the slice.
func (e *Estimator) endSlice(now time.Time) {
	e.advance(now)
	if e.patience > minPatience && now.Sub(e.patienceAt) >= patienceDecay {
		e.patience--
		e.patienceAt = now
	}
	s := e.slice
	running := (e.runningIntegral - e.runningAtStart) / now.Sub(e.sliceStart).Seconds()
	bound := running >= boundFraction*float64(e.Limit())
	e.startSlice(now)
	if bound {
		e.boundAt = now
	}
	switch e.phase {
	case probing:
		e.judge(now, s)
	case suspecting:
		e.suspect(now, s, running, bound)
	case holding:
		e.hold(now, s, bound)
	}
}

// hold updates the baseline, and starts a probe if one is due.
func (e *Estimator) hold(now time.Time, s *sums, bound bool) {
	d := compare(e.baseline.sums(), s)
	switch {
	case bound && d.slower():
		e.phase = suspecting
		e.suspects, e.suspectCount = &window{}, 1
		return
	case d.slower() && e.slowCount < slowSlices:
		// The limit may be about to be reached.
		e.slowCount++
		e.drift(now)
		return
	case d.slower(), d.faster():
		e.baseline = &window{}
	}
	e.slowCount = 0
	e.baseline.add(s)
	if !bound {
		e.drift(now)
		return
	}
	for _, up := range []bool{true, false} {
		if e.due(now, up) {
			e.startProbe(now, e.baseline, e.step(up), false)
			return
		}
	}
}

// suspect starts a probe after patience slow slices in a row. Fewer were noise.
func (e *Estimator) suspect(now time.Time, s *sums, running float64, bound bool) {
	d := compare(e.baseline.sums(), s)
	if !bound || !d.slower() {
		e.phase = holding
		e.noteFalseAlarm(now)
		e.hold(now, s, bound)
		return
	}
	e.suspects.add(s)
	e.suspectCount++
	if e.suspectCount < e.patience {
		return
	}
	if e.Limit() == 1 {
		e.phase, e.baseline = holding, e.suspects
		return
	}
	e.startProbe(now, e.suspects, e.hint(compare(e.baseline.sums(), e.suspects.sums()), running), true)
}

// noteFalseAlarm makes the estimator wait for more slow slices before it probes.
func (e *Estimator) noteFalseAlarm(now time.Time) {
	e.patience = min(maxPatience, e.patience+patienceStep)
	e.patienceAt = now
}

// drift raises a limit that has bounded nothing for unboundTime.
func (e *Estimator) drift(now time.Time) {
	if now.Sub(e.boundAt) < unboundTime || now.Sub(e.driftAt) < driftInterval || e.Limit() >= e.slots {
		return
	}
	e.driftAt = now
	e.setLimit(now, math.Ceil(e.limit*driftFactor), "unused")
}

// hint returns the part of the limit at which calls would take as long as in the baseline, if
// their durations grow in proportion to the concurrency.
func (e *Estimator) hint(d difference, running float64) float64 {
	return min(downStep, max(minHint, math.Exp(-d.duration)*running/e.limit))
}

// setLimit puts a limit in force and records why.
func (e *Estimator) setLimit(now time.Time, limit float64, reason string) {
	limit = min(float64(e.slots), max(1, math.Round(limit)))
	before := e.Limit()
	e.limit = limit
	if after := e.Limit(); after != before {
		e.change = Change{At: now, From: before, To: after, Reason: reason}
	}
}
