package quota

import (
	"net/netip"
	"time"
)

const (
	// spendTime is the time over which a full bucket is spent, repayTime that in which debt is
	// repaid.
	spendTime, repayTime = 500 * time.Millisecond, time.Second
	// maxReportSpan is the longest time whose requests a report may charge in full. It covers a
	// report that was lost once.
	maxReportSpan = 2 * reportInterval
	// maxDebtTime bounds the debt; what is older than a few seconds is in no window any more.
	maxDebtTime = 5 * time.Second
	// warmUpTime is how long a new tally raises no probability.
	warmUpTime = 300 * time.Millisecond
	// takeOverTime is how long a tally that was taken over counts only the nodes that report to it.
	takeOverTime = 3 * time.Second
	// establishedTime is how long a process must have run for a new tally to assume that nothing was
	// used before.
	establishedTime = 10 * time.Second
	// chanceRequests is how many requests a bucket holds beyond the burst, so that the chance in the
	// arrivals of a few requests a second refuses none of them.
	chanceRequests = 8
	// relaxedFraction is the fraction of the quota below which reports may come more rarely.
	relaxedFraction = 0.25
	// announceRatio is how much the probability must change to be announced to all nodes at once,
	// announceGap the least time between two announcements, announceInterval the longest while the
	// probability is below one.
	announceRatio    = 0.8
	announceGap      = 30 * time.Millisecond
	announceInterval = time.Second
	// reporterLifetime is how long a tally remembers a node that reports nothing.
	reporterLifetime = 30 * time.Second
)

// tally follows the use of one organisation's quota by the nodes that report to it, and decides
// with which probability they admit requests.
type tally struct {
	limit Limit
	// began is when this node began to keep the tally.
	began   time.Time
	tokens  float64
	updated time.Time
	demand  demand
	// admitted follows the admitted requests less the returned ones, for operators.
	admitted  rate
	reporters map[netip.AddrPort]*reporter
	// warmUntil is the end of the time in which the probability is at most ceiling.
	warmUntil   time.Time
	ceiling     float64
	probability float64
	// announced is the probability that was announced last, announcedAt when.
	announced   float64
	announcedAt time.Time
	lastHeard   time.Time
	// refused is the number of requests refused at all nodes since the tally began.
	refused uint64
}

// reporter is what a tally knows of one node.
type reporter struct {
	incarnation, epoch, sequence uint64
	total                        counters
	lastHeard                    time.Time
}

// newTally returns a tally. Full says that the organisation has used nothing lately.
func newTally(now time.Time, limit Limit, full bool) *tally {
	t := &tally{limit: limit, began: now, updated: now, probability: 1, announced: 1, ceiling: 1, reporters: make(map[netip.AddrPort]*reporter), lastHeard: now}
	if full {
		t.tokens = t.capacity(1)
	} else {
		t.warmUntil = now.Add(warmUpTime)
	}
	return t
}

// setLimit applies a changed limit.
func (t *tally) setLimit(limit Limit) {
	t.limit = limit
	t.tokens = min(t.tokens, t.capacity(1))
}

// receive takes in the entry of a report.
func (t *tally) receive(now time.Time, from netip.AddrPort, r report, e reportEntry, reachable float64) {
	t.advance(now, reachable)
	known := t.reporters[from]
	if known != nil && known.incarnation == r.incarnation && known.sequence >= r.sequence {
		return
	}
	if e.moved {
		t.takeOver(now, e.probability)
	}
	t.lastHeard = now
	used := e.unconfirmed
	if known != nil && known.incarnation == r.incarnation && known.epoch == e.epoch {
		used = used.least(e.total.since(known.total))
	}
	t.reporters[from] = &reporter{incarnation: r.incarnation, epoch: e.epoch, sequence: r.sequence, total: e.total, lastHeard: now}
	t.refused += used.asked - min(used.asked, used.admitted)
	// Of what a node admitted by itself, only the latest part counts: it was out of contact, and
	// the bucket was refilled without its share meanwhile.
	part := 1.0
	if e.span > maxReportSpan {
		part = maxReportSpan.Seconds() / e.span.Seconds()
	}
	net := part * (float64(used.admitted) - float64(used.returned))
	t.tokens = max(min(t.tokens-net, t.capacity(reachable)), -t.limit.Rate*maxDebtTime.Seconds())
	t.admitted.add(now, net, slowDemand)
	t.demand.add(now, part*float64(used.asked), min(e.span, maxReportSpan))
}

// takeOver begins with an empty bucket, and with the smallest probability in force, when another
// node kept the tally until now.
func (t *tally) takeOver(now time.Time, probability float64) {
	if now.Sub(t.lastHeard) > lostTimeout {
		t.began, t.ceiling = now, 1
	}
	if now.Sub(t.began) >= lostTimeout {
		return
	}
	t.tokens = min(t.tokens, 0)
	t.ceiling = min(t.ceiling, probability)
	t.warmUntil = t.began.Add(warmUpTime)
}

// reportingFraction returns the fraction of the nodes that report to a tally that was taken over
// lately while a quota applied, and one at other times. It is not yet known then which nodes are
// in reach.
func (t *tally) reportingFraction(now time.Time, nodes int) float64 {
	if t.ceiling >= 1 || now.Sub(t.began) >= takeOverTime {
		return 1
	}
	return min(1, float64(len(t.reporters)+1)/float64(nodes))
}

// capacity returns the largest number of tokens.
func (t *tally) capacity(reachable float64) float64 {
	return (t.limit.Burst + chanceRequests) * reachable
}

// advance refills the bucket with the part of the rate for the nodes in reach.
func (t *tally) advance(now time.Time, reachable float64) {
	if elapsed := now.Sub(t.updated); elapsed > 0 {
		t.tokens = min(t.tokens+elapsed.Seconds()*t.limit.Rate*reachable, t.capacity(reachable))
		t.updated = now
	}
}

// decide returns the probability with which nodes admit requests from now on.
func (t *tally) decide(now time.Time, reachable float64) float64 {
	t.advance(now, reachable)
	horizon := spendTime
	if t.tokens < 0 {
		horizon = repayTime
	}
	supply := max(0, t.limit.Rate*reachable+t.tokens/horizon.Seconds())
	t.probability = 1
	if demand := t.demand.perSecond(now); demand > supply {
		t.probability = supply / demand
	}
	if now.Before(t.warmUntil) {
		t.probability = min(t.probability, t.ceiling)
	}
	return t.probability
}

// ruling returns the entry for an organisation in a ruling.
func (t *tally) ruling(now time.Time, organisation uint64) rulingEntry {
	return rulingEntry{
		organisation: organisation, probability: t.probability, provisional: now.Before(t.warmUntil),
		relaxed: t.demand.perSecond(now) < relaxedFraction*t.limit.Rate,
	}
}

// announceDue reports whether all nodes should be told the probability now.
func (t *tally) announceDue(now time.Time) bool {
	since := now.Sub(t.announcedAt)
	switch {
	case since < announceGap:
		return false
	case t.probability < t.announced*announceRatio, t.probability*announceRatio > t.announced:
		return true
	}
	return t.limited() && since >= announceInterval
}

// limited reports whether the nodes admit less than they are asked for, by the last announcement.
func (t *tally) limited() bool {
	return t.announced < 1 || t.probability < 1
}

// noteAnnounced records an announcement.
func (t *tally) noteAnnounced(now time.Time) {
	t.announced, t.announcedAt = t.probability, now
}

// forget drops nodes that report nothing any more.
func (t *tally) forget(now time.Time) {
	for a, r := range t.reporters {
		if now.Sub(r.lastHeard) > reporterLifetime {
			delete(t.reporters, a)
		}
	}
}
