package membership

import (
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// tickSync starts an anti-entropy round when one is due.
func (c *core) tickSync(now time.Time) {
	if c.syncing || now.Before(c.nextSync) {
		return
	}
	c.nextSync = now.Add(c.around(c.cfg.SyncInterval))
	for _, e := range c.table.pick(c.rng, 1, func(e *entry) bool { return e.State != Alive }) {
		c.startSync(now, e, c.needFull)
	}
}

func (c *core) startSync(now time.Time, e *entry, full bool) {
	c.syncing = true
	c.out.syncs = append(c.out.syncs, syncTarget{id: e.ID, peerAddress: e.Addresses.Peer, full: full})
}

// syncRequest returns the first message of a round.
func (c *core) syncRequest(full bool) *peerv1.SyncMembersRequest {
	request := &peerv1.SyncMembersRequest{FromId: c.self.ID}
	if full {
		request.Members = []*peerv1.Member{toProto(&c.self, 0)}
		return request
	}
	request.BucketDigests = c.digests()
	return request
}

// digests covers the table and this node's own record.
func (c *core) digests() []uint64 {
	digests := c.table.digests
	digests[bucketOf(c.self.ID)] ^= digestOf(&c.self)
	return digests[:]
}

// answersSync reports whether the node may exchange tables. Right after a pause
// its table may hold members that others have forgotten, and requests that
// waited in the socket may name members that ended since.
func (c *core) answersSync(now time.Time) bool {
	return !c.left && now.Sub(c.lastInput) < c.cfg.PauseThreshold && !now.Before(c.quarantine)
}

// answerSync merges what a peer sent and returns what it lacks.
func (c *core) answerSync(now time.Time, request *peerv1.SyncMembersRequest) *peerv1.SyncMembersResponse {
	response := &peerv1.SyncMembersResponse{}
	c.applyAll(now, c.admitted(request))
	if len(request.BucketDigests) == 0 && len(request.WantedBuckets) == 0 {
		for bucket := range bucketCount {
			response.Members = c.appendBucket(now, response.Members, bucket)
		}
		return response
	}
	for _, bucket := range request.WantedBuckets {
		response.Members = c.appendBucket(now, response.Members, int(bucket%bucketCount))
	}
	if len(request.BucketDigests) == bucketCount {
		c.answerDifferences(now, request.BucketDigests, response)
	}
	return response
}

// admitted returns the records of a request that may be applied. As with
// packets, a sender that is not known as live adds nobody but itself.
func (c *core) admitted(request *peerv1.SyncMembersRequest) []*peerv1.Member {
	if e := c.table.get(request.FromId); e != nil && !e.State.ended() {
		return request.Members
	}
	var records []*peerv1.Member
	for _, p := range request.Members {
		if p.GetId() == request.FromId || c.table.get(p.GetId()) != nil {
			records = append(records, p)
		}
	}
	return records
}

// answerDifferences adds differing buckets in random order up to the limit, so
// that two tables far apart converge over several rounds at a bounded rate.
func (c *core) answerDifferences(now time.Time, theirs []uint64, response *peerv1.SyncMembersResponse) {
	own := c.digests()
	for _, bucket := range c.rng.Perm(bucketCount) {
		if own[bucket] == theirs[bucket] {
			continue
		}
		if len(response.Members) >= c.cfg.SyncMembers {
			return
		}
		response.Members = c.appendBucket(now, response.Members, bucket)
		response.DifferingBuckets = append(response.DifferingBuckets, uint32(bucket))
	}
}

func (c *core) appendBucket(now time.Time, list []*peerv1.Member, bucket int) []*peerv1.Member {
	for _, e := range c.table.buckets[bucket] {
		// A tombstone about to expire is not spread any more.
		if e.State.ended() && now.Sub(e.ended) >= c.cfg.TombstoneTTL {
			continue
		}
		list = append(list, c.message(now, e))
	}
	if int(bucketOf(c.self.ID)) == bucket {
		list = append(list, toProto(&c.self, 0))
	}
	return list
}

// finishSync merges a response and returns the request that gives the peer what
// it lacks, or nil. A node with a stale view gives nothing back before that.
func (c *core) finishSync(now time.Time, target syncTarget, response *peerv1.SyncMembersResponse) *peerv1.SyncMembersRequest {
	c.stats.Syncs++
	c.applyAll(now, response.Members)
	if e := c.table.get(target.id); e == nil || e.State.ended() {
		return nil
	}
	c.joinAttempts = 0
	if target.full {
		c.needFull = false
		c.queue.push(c.self.ID)
	}
	c.fresh = c.fresh || target.full || len(response.Members) < c.cfg.SyncMembers
	if !c.fresh {
		c.nextSync = now
	}
	return c.returnRequest(now, response)
}

func (c *core) returnRequest(now time.Time, response *peerv1.SyncMembersResponse) *peerv1.SyncMembersRequest {
	theirs := make(map[string]Member, len(response.Members))
	for _, p := range response.Members {
		if m, ok := fromProto(p); ok {
			theirs[m.ID] = m
		}
	}
	request := &peerv1.SyncMembersRequest{FromId: c.self.ID}
	for _, bucket := range response.DifferingBuckets {
		var own []*peerv1.Member
		for _, p := range c.appendBucket(now, own, int(bucket%bucketCount)) {
			m, _ := fromProto(p)
			if other, ok := theirs[m.ID]; !ok || supersedes(&m, &other) {
				request.Members = append(request.Members, p)
			}
		}
	}
	if len(request.Members) == 0 {
		return nil
	}
	request.BucketDigests = c.digests()
	return request
}

// endSync ends a round; a failed one is repeated soon with another peer.
func (c *core) endSync(now time.Time, failed bool) {
	c.syncing = false
	if failed {
		c.stats.FailedSyncs++
	}
	if failed && !c.fresh {
		c.nextSync = now.Add(c.around(c.cfg.JoinInterval))
	}
}

// applyAll merges records in a fixed order, so that runs are repeatable.
func (c *core) applyAll(now time.Time, records []*peerv1.Member) {
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b *peerv1.Member) int {
		if a.GetId() < b.GetId() {
			return -1
		}
		return 1
	})
	for _, p := range records {
		m, ok := fromProto(p)
		if !ok {
			continue
		}
		c.stats.SyncedRecords++
		c.apply(now, m, time.Duration(p.EndedSecondsAgo)*time.Second, false)
	}
}
