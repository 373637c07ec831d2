package capacity

import (
	"math"
	"time"
)

const (
	// downStep and upStep are the factors by which scheduled probes change the limit. fastUpStep
	// follows a raise that was kept, and a step down that slower calls caused, after which it may be up
	// to maxVerifyStep. minHint bounds a step that durations suggest.
	downStep      = 0.85
	upStep        = 1.18
	smallStep     = 1.08
	fastUpStep    = 1.35
	minHint       = 0.5
	maxVerifyStep = 2.0
	// A raise is kept if the throughput follows it by more than raiseFraction, a step down if it
	// follows by less than lowerFraction of the change of the concurrency.
	raiseFraction = 0.5
	lowerFraction = 0.6
	// A probe ends once its result differs from that fraction by decideErrors standard errors, at
	// the latest after maxProbeTime or probeCalls mean durations. Then lateErrors suffice. A raise
	// holds no calls back, so it may take longer and needs less evidence.
	decideErrors   = 1.5
	lateErrors     = 0.5
	maxProbeTime   = 1200 * time.Millisecond
	maxUpProbeTime = 2 * time.Second
	probeCalls     = 4
	// minShift is the part of the step that the concurrency must have followed, minLateShift that
	// at the end of a probe. Calls that began before the step have seen less of it.
	minShift     = 0.5
	minLateShift = 0.2
	// minBaselineSlices is the number of slices with which a scheduled probe is compared.
	minBaselineSlices = 3
	// settleTime bounds the wait for the calls above a lowered limit to end.
	settleTime = 300 * time.Millisecond
	// Pauses between probes that change nothing double from minPause on. A recovery shows only by
	// raises, so their pauses stay short.
	minPause     = time.Second
	maxUpPause   = time.Second
	maxDownPause = 8 * time.Second
	// ceilingExpiry is how long a rejected limit bounds the fast steps up.
	ceilingExpiry = 4 * time.Second
)

// probe is a changed limit whose throughput is compared with that under the previous one.
type probe struct {
	up bool
	// triggered is set for a probe that slower calls have caused.
	triggered bool
	// origin is the limit before the first of a row of triggered probes, zero for another probe.
	origin   float64
	previous float64
	started  time.Time
	// settled is set once the number of running calls has followed the limit.
	settled bool
	// before describes the calls under the previous limit, during those under the changed one.
	before, during *window
}

// schedule is when the next probe in one direction is due.
type schedule struct {
	next  time.Time
	pause time.Duration
	// small is set if the next probe takes the smaller step: the last one was clearly in vain, and
	// the knee may lie within it.
	small bool
}

func direction(up bool) int {
	if up {
		return 1
	}
	return 0
}

func (e *Estimator) resetSchedule(now time.Time) {
	for i := range e.schedule {
		e.schedule[i] = schedule{next: now.Add(minPause), pause: minPause}
	}
}

func (e *Estimator) due(now time.Time, up bool) bool {
	possible := e.Limit() > 1
	if up {
		possible = e.Limit() < e.slots
	}
	return possible && len(e.baseline.slices) >= minBaselineSlices && !now.Before(e.schedule[direction(up)].next)
}

// postpone doubles the pause before the next probe in a direction.
func (e *Estimator) postpone(now time.Time, up bool) {
	s := &e.schedule[direction(up)]
	longest := maxDownPause
	if up {
		longest = maxUpPause
	}
	s.next = now.Add(s.pause)
	s.pause = min(longest, 2*s.pause)
}

// step returns the factor of a scheduled probe.
func (e *Estimator) step(up bool) float64 {
	if up && e.schedule[direction(up)].small {
		return smallStep
	}
	if up {
		return upStep
	}
	return downStep
}

// fastStep returns the factor of a raise that follows a kept change: fastUpStep, or less if a
// limit within it was rejected lately.
func (e *Estimator) fastStep(now time.Time) float64 {
	if now.Sub(e.rejectedAt) < ceilingExpiry {
		return min(fastUpStep, max(upStep, e.rejected/e.limit))
	}
	return fastUpStep
}

// startProbe multiplies the limit by a factor and changes it by one call at least.
func (e *Estimator) startProbe(now time.Time, before *window, factor float64, triggered bool) {
	up := factor > 1
	e.phase = probing
	e.probe = probe{up: up, triggered: triggered, previous: e.limit, started: now, settled: up, before: before, during: &window{}}
	if triggered {
		e.probe.origin = e.limit
	}
	next := math.Round(e.limit * factor)
	if up {
		next = max(math.Ceil(e.limit*factor), e.limit+1)
	} else {
		next = min(next, e.limit-1)
	}
	e.limit = min(float64(e.slots), max(1, next))
	e.startSlice(now)
}

// settled reports whether the calls above a lowered limit have ended.
func (e *Estimator) settled(now time.Time) bool {
	return e.running <= e.Limit() || now.Sub(e.probe.started) >= settleTime
}

// judge adds a slice to the probe and ends the probe if its result is clear.
func (e *Estimator) judge(now time.Time, s *sums) {
	p := &e.probe
	if !p.settled {
		return
	}
	p.during.add(s)
	during := p.during.sums()
	d := compare(p.before.sums(), during)
	longest := maxProbeTime
	if p.up {
		longest = maxUpProbeTime
	}
	late := now.Sub(p.started) >= max(longest, time.Duration(probeCalls*during.meanDuration()*float64(time.Second)))
	shift := minShift
	if late {
		shift = minLateShift
	}
	// The calls that end at first have begun under the lower limit.
	early := p.up && !late && now.Sub(p.started).Seconds() < during.meanDuration()
	if early || !d.known || d.concurrency/math.Log(e.limit/p.previous) < shift {
		if late {
			e.reject(now)
		}
		return
	}
	fraction := lowerFraction
	if p.up {
		fraction = raiseFraction
	}
	// The throughput changes by concurrency - duration, in logarithms.
	score := (1-fraction)*d.concurrency - d.duration
	switch {
	case score > decideErrors*d.err:
		e.accept(now, true)
	case late && score > lateErrors*d.err:
		e.accept(now, false)
	case score < -decideErrors*d.err:
		e.schedule[direction(p.up)].small = !e.schedule[direction(p.up)].small
		e.reject(now)
	case late:
		e.reject(now)
	}
}

// accept keeps the probed limit and continues in the direction that promises more, faster if the
// result was clear.
func (e *Estimator) accept(now time.Time, clear bool) {
	p := e.probe
	reached := e.limit
	e.limit = p.previous
	e.setLimit(now, reached, reasonOf(p.up))
	e.schedule[direction(p.up)] = schedule{next: now.Add(minPause), pause: minPause}
	e.phase = holding
	d := compare(e.baseline.sums(), p.during.sums())
	if p.triggered && d.slower() && e.Limit() > 1 {
		e.startProbe(now, p.during, e.hint(d, e.limit), true)
		e.probe.origin = p.origin
		return
	}
	e.baseline = p.during
	switch {
	case p.up && p.origin > e.limit:
		// The slowness that lowered the limit had another cause and has passed.
		e.noteFalseAlarm(now)
		e.setLimit(now, p.origin, reasonOf(true))
	case p.up && e.Limit() < e.slots:
		factor := upStep
		if clear {
			factor = e.fastStep(now)
		}
		// The durations have not changed much, and more calls show them better.
		e.startProbe(now, joinWindows(p.before, p.during), factor, false)
	case p.up:
	case p.triggered:
		// The calls are as fast as before. Raising the limit shows whether the step was right.
		e.startProbe(now, p.during, min(maxVerifyStep, max(fastUpStep, math.Sqrt(p.origin/e.limit))), false)
		e.probe.origin = p.origin
	case e.Limit() > 1:
		e.startProbe(now, p.during, downStep, false)
	}
}

// reject takes the probed limit back.
func (e *Estimator) reject(now time.Time) {
	p := e.probe
	if p.up {
		e.rejected, e.rejectedAt = e.limit, now
	}
	e.limit = p.previous
	if p.triggered {
		e.baseline = p.before
	}
	e.phase = holding
	e.postpone(now, p.up)
	e.startSlice(now)
}

func reasonOf(up bool) string {
	if up {
		return "more calls raised the throughput"
	}
	return "fewer calls kept the throughput"
}
