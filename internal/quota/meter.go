package quota

import (
	"math"
	"net/netip"
	"time"
)

const (
	// rateTimeConstant is the time constant of a meter's average of admitted requests.
	rateTimeConstant = 2 * time.Second
	// simultaneousTime is the time constant of the average of requests that arrive together.
	simultaneousTime = 20 * time.Millisecond
	// contactTimeout is how long a report may be unanswered before the meter admits no more than
	// at its last confirmed rate.
	contactTimeout = 500 * time.Millisecond
	// rulingLifetime is how long a probability below one is valid without a report that is
	// unanswered; the tally node repeats it every second.
	rulingLifetime = 3 * time.Second
	// maxReturnAge is the age from which a returned request gives no credit back. Credit for older
	// ones would be spent in a window that the request itself is not counted in.
	maxReturnAge = time.Second
	// coldTime is how long after its start a node bounds what it admits before its first ruling.
	coldTime = 3 * time.Second
	// coldNodes is the number of nodes with which a node reckons while it may not know them yet.
	coldNodes = 100
	// coldSeconds and coldRequests bound what all nodes of a fleet together admit before their first
	// ruling: the rate for coldSeconds, and coldRequests.
	coldSeconds, coldRequests = 0.2, 8
	// isolatedSeconds is the time for which a bucket holds the last confirmed rate, isolatedRequests
	// an allowance for chance.
	isolatedSeconds, isolatedRequests = 0.3, 1
	// unconfirmedSeconds and unconfirmedRequests bound what all nodes together admit beyond the usual
	// before a ruling follows: the rate for unconfirmedSeconds, and unconfirmedRequests. A node that
	// was suspended finds many requests at once.
	unconfirmedSeconds, unconfirmedRequests = 0.25, 16
	// minUnconfirmed is how many requests a node may always admit unconfirmed, unconfirmedFactor how
	// many times the expected requests of an interval, confirmedFactor how many times those confirmed
	// in the last one.
	minUnconfirmed, unconfirmedFactor, confirmedFactor = 2, 3, 2
	// minRetryAfter and maxRetryAfter bound the advice to a refused caller.
	minRetryAfter, maxRetryAfter = time.Second, 5 * time.Second
)

// meter counts the requests of one organisation at this node and decides which are admitted.
type meter struct {
	// organisation is the hash of the name.
	organisation uint64
	// epoch identifies the meter among those of this process.
	epoch uint64
	total counters
	// confirmed are the counters in the last report that was answered, reported those in the
	// last report.
	confirmed, reported counters
	// openSince is when the first request arrived, or was returned, that is not confirmed.
	openSince time.Time
	// admittedRate follows the admitted requests, confirmedRate is its value at the last ruling.
	admittedRate  rate
	confirmedRate float64
	askedRate     rate
	// simultaneous follows the requests that arrive together.
	simultaneous rate
	// confirmations follows the admitted requests that rulings have confirmed.
	confirmations rate
	// probability is the one in force, carry the fraction of a request that it has left over.
	probability, carry float64
	// ruledAt is when the last ruling arrived, unconfirmedSince when the first report was sent that
	// has had none.
	ruledAt, unconfirmedSince time.Time
	settled                   bool
	relaxed                   bool
	// tally, tallyIncarnation and rulingSequence identify the last ruling.
	tally                            netip.AddrPort
	tallyIncarnation, rulingSequence uint64
	moved                            bool
	// pendingSince is when the first change happened that is not reported, lastReport when the
	// last report was sent.
	pendingSince, lastReport time.Time
	lastUsed                 time.Time
	// queued is set while the node's queue of reports holds the meter.
	queued                bool
	quota, cold, isolated bucket
	// sent are the latest reports that may still be answered, in a ring.
	sent     [4]sentReport
	sentNext int
	// choice is the tally node by the ranking at choiceAt, a generation of the peers.
	choice   netip.AddrPort
	choiceAt uint64
}

// sentReport is what a report said.
type sentReport struct {
	sequence uint64
	at       time.Time
	total    counters
}

func newMeter(organisation, epoch uint64, random float64) *meter {
	return &meter{organisation: organisation, epoch: epoch, probability: 1, carry: random}
}

// take counts a request and reports whether it is admitted.
func (m *meter) take(now time.Time, limit Limit, env environment) bool {
	m.lastUsed = now
	m.total.asked++
	m.askedRate.add(now, 1, rateTimeConstant)
	m.simultaneous.add(now, 1, simultaneousTime)
	m.notePending(now)
	if m.probability < 1 && m.unconfirmedSince.IsZero() && now.Sub(m.ruledAt) > rulingLifetime {
		m.probability = 1
	}
	if !m.thin() || !m.withinBounds(now, limit, env) {
		return false
	}
	m.total.admitted++
	m.admittedRate.add(now, 1, rateTimeConstant)
	return true
}

// thin admits the fraction of the requests that the probability says, evenly spaced.
func (m *meter) thin() bool {
	if m.probability >= 1 {
		return true
	}
	m.carry += m.probability
	if m.carry < 1 {
		return false
	}
	m.carry--
	return true
}

// withinBounds applies the bounds that hold without, or in spite of, a ruling.
func (m *meter) withinBounds(now time.Time, limit Limit, env environment) bool {
	if !m.settled && now.Sub(env.started) < coldTime {
		nodes := float64(max(env.nodes, coldNodes))
		if m.cold.updated.IsZero() {
			m.cold = bucket{tokens: (limit.Rate*coldSeconds+coldRequests)/nodes + m.carry, updated: now}
		}
		return m.cold.take(now, limit.Rate/nodes, math.MaxFloat64)
	}
	if m.inContact(now) {
		if !m.withinUnconfirmed(now, limit, env) {
			return false
		}
	} else {
		perSecond := max(m.confirmedRate, limit.Rate/float64(env.nodes))
		if !m.isolated.take(now, perSecond, isolatedRequests+isolatedSeconds*perSecond) {
			return false
		}
	}
	return m.quota.take(now, limit.Rate, limit.Burst+chanceRequests)
}

// withinUnconfirmed reports whether another request may be admitted before the next ruling.
func (m *meter) withinUnconfirmed(now time.Time, limit Limit, env environment) bool {
	unconfirmed := float64(m.total.admitted - m.confirmed.admitted)
	share := (limit.Rate*unconfirmedSeconds + unconfirmedRequests) / float64(env.nodes)
	if unconfirmed < max(minUnconfirmed, share) {
		return true
	}
	// Requests that arrive together must not raise the bound on themselves.
	recent := m.simultaneous.perSecond(now, simultaneousTime) * simultaneousTime.Seconds() / rateTimeConstant.Seconds()
	expected := max(0, m.askedRate.sinceBegin(now, rateTimeConstant)-recent) * reportInterval.Seconds()
	confirmed := m.confirmations.perSecond(now, reportInterval) * reportInterval.Seconds()
	return unconfirmed < max(share+unconfirmedFactor*expected, confirmedFactor*confirmed)
}

// inContact reports whether the tally node has answered the reports of this meter.
func (m *meter) inContact(now time.Time) bool {
	return m.unconfirmedSince.IsZero() || now.Sub(m.unconfirmedSince) < contactTimeout
}

// giveBack counts an admitted request that was not run. It reports whether it gave credit back.
func (m *meter) giveBack(now, arrived time.Time) bool {
	if now.Sub(arrived) > maxReturnAge || m.total.returned >= m.total.admitted {
		return false
	}
	m.lastUsed = now
	m.total.returned++
	m.quota.tokens++
	m.notePending(now)
	return true
}

func (m *meter) notePending(now time.Time) {
	if m.pendingSince.IsZero() {
		m.pendingSince = now
	}
	if m.openSince.IsZero() {
		m.openSince = now
	}
}

// retryAfter returns after which time a refused caller may be admitted.
func (m *meter) retryAfter() time.Duration {
	if m.probability <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(float64(minRetryAfter)/m.probability))
}

// dueAt returns when the next report is due, or the zero time if there is nothing to report.
func (m *meter) dueAt(now time.Time, env environment) time.Time {
	if m.pendingSince.IsZero() {
		if m.unconfirmedSince.IsZero() {
			return time.Time{}
		}
		return m.lastReport.Add(reportInterval)
	}
	interval, delay := reportInterval, reportDelay
	if m.relaxed {
		interval, delay = relaxedInterval, relaxedDelay
	}
	if m.jumped(now, interval) || (!m.settled && now.Sub(env.started) < coldTime) {
		return latest(m.pendingSince, m.lastReport.Add(jumpInterval))
	}
	return latest(m.pendingSince.Add(delay), m.lastReport.Add(interval))
}

// jumped reports whether many more requests arrived since the last report than in other intervals.
func (m *meter) jumped(now time.Time, interval time.Duration) bool {
	unreported := float64(m.total.asked - m.reported.asked)
	return unreported >= minJump && unreported >= jumpFactor*interval.Seconds()*m.askedRate.sinceBegin(now, rateTimeConstant)
}

// report returns the entry of the meter for a report to a tally node.
func (m *meter) report(now time.Time, to netip.AddrPort, sequence uint64) reportEntry {
	if to != m.tally {
		m.moved = m.moved || m.tally.IsValid()
		m.tally, m.tallyIncarnation, m.rulingSequence = to, 0, 0
	}
	m.pendingSince = time.Time{}
	m.lastReport = now
	m.reported = m.total
	if m.unconfirmedSince.IsZero() {
		m.unconfirmedSince = now
	}
	m.sent[m.sentNext] = sentReport{sequence: sequence, at: now, total: m.total}
	m.sentNext = (m.sentNext + 1) % len(m.sent)
	span := time.Duration(0)
	if !m.openSince.IsZero() {
		span = now.Sub(m.openSince)
	}
	return reportEntry{
		span: span, organisation: m.organisation, epoch: m.epoch, total: m.total, unconfirmed: m.total.since(m.confirmed),
		probability: m.probability, moved: m.moved,
	}
}

// accept applies a ruling of the tally node of the meter. It ignores one that is older than the
// last.
func (m *meter) accept(now time.Time, r ruling, e rulingEntry) {
	if r.incarnation == m.tallyIncarnation && r.sequence <= m.rulingSequence {
		return
	}
	if m.tallyIncarnation != 0 && r.incarnation != m.tallyIncarnation {
		m.moved = true
	} else if r.confirmed != 0 {
		m.moved = false
	}
	m.tallyIncarnation, m.rulingSequence = r.incarnation, r.sequence
	m.probability, m.relaxed, m.ruledAt = e.probability, e.relaxed, now
	m.settled = m.settled || !e.provisional
	if r.confirmed == 0 {
		return
	}
	m.unconfirmedSince = time.Time{}
	m.confirmedRate = m.admittedRate.sinceBegin(now, rateTimeConstant)
	m.isolated = bucket{}
	for _, s := range m.sent {
		if s.sequence == r.confirmed {
			m.confirmations.add(now, float64(s.total.since(m.confirmed).admitted), reportInterval)
			m.confirmed, m.openSince = s.total, s.at
		}
	}
	if m.confirmed == m.total {
		m.openSince = time.Time{}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
