package membership

import (
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// tickSync starts an anti-entropy round with a random member in state Alive when one is
// due and none is in progress.
func (c *core) tickSync(now time.Time) {
	if c.syncing || now.Before(c.nextSync) {
		return
	}
	c.nextSync = now.Add(c.jittered(c.cfg.SyncInterval))
	for _, r := range c.table.sampleLive(c.rng, 1, func(r *record) bool { return r.State != Alive }) {
		c.startSync(now, r, c.needFullSync)
	}
}

func (c *core) startSync(now time.Time, r *record, full bool) {
	c.syncing = true
	c.out.syncs = append(c.out.syncs, syncTarget{id: r.ID, peerAddress: r.Addresses.Peer, full: full})
}

// syncRequest returns the first request of an anti-entropy round.
func (c *core) syncRequest(full bool) *peerv1.SyncMembersRequest {
	request := &peerv1.SyncMembersRequest{FromId: c.self.ID}
	if full {
		request.Members = []*peerv1.Member{toProto(&c.self, 0)}
		return request
	}
	request.BucketDigests = c.digests()
	return request
}

// digests returns the digest of each bucket over the records of the table and that of the
// local node.
func (c *core) digests() []uint64 {
	digests := c.table.digests
	digests[bucketOf(c.self.ID)] ^= digestOf(&c.self)
	return digests[:]
}

// canServeSync reports whether the node may serve syncs. It must not after it has left, nor
// before detectPause has handled a pause, nor during the quarantine after a long pause: its
// table may hold members that peers have removed, and requests from the socket buffer may
// name members that have ended since.
func (c *core) canServeSync(now time.Time) bool {
	return !c.left && now.Sub(c.lastInput) < c.cfg.PauseThreshold && !now.Before(c.quarantineEnd)
}

// handleSyncRequest merges the records of a request. It returns the wanted buckets and
// those whose digests differ from the peer's, or the whole table for a request with
// neither wanted buckets nor digests.
func (c *core) handleSyncRequest(now time.Time, request *peerv1.SyncMembersRequest) *peerv1.SyncMembersResponse {
	response := &peerv1.SyncMembersResponse{}
	c.applyAll(now, c.acceptedRecords(request))
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
		c.appendDifferences(now, request.BucketDigests, response)
	}
	return response
}

// acceptedRecords returns the records of a request that may be applied. As with packets,
// a sender that is not a live member may add only itself to the table; it may still
// update known members.
func (c *core) acceptedRecords(request *peerv1.SyncMembersRequest) []*peerv1.Member {
	if r := c.table.get(request.FromId); r != nil && !r.State.ended() {
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

// appendDifferences adds the buckets whose digests differ, in random order, until the
// response holds SyncMembers records. Two tables with many differences thus converge
// over several rounds at a bounded rate.
func (c *core) appendDifferences(now time.Time, remote []uint64, response *peerv1.SyncMembersResponse) {
	local := c.digests()
	for _, bucket := range c.rng.Perm(bucketCount) {
		if local[bucket] == remote[bucket] {
			continue
		}
		if len(response.Members) >= c.cfg.SyncMembers {
			return
		}
		response.Members = c.appendBucket(now, response.Members, bucket)
		response.DifferingBuckets = append(response.DifferingBuckets, uint32(bucket))
	}
}

// appendBucket appends the records of a bucket to list, with that of the local node if
// it belongs there.
func (c *core) appendBucket(now time.Time, list []*peerv1.Member, bucket int) []*peerv1.Member {
	for _, r := range c.table.buckets[bucket] {
		// A tombstone past its TTL is no longer disseminated.
		if r.State.ended() && now.Sub(r.endedAt) >= c.cfg.TombstoneTTL {
			continue
		}
		list = append(list, c.recordMessage(now, r))
	}
	if int(bucketOf(c.self.ID)) == bucket {
		list = append(list, toProto(&c.self, 0))
	}
	return list
}

// handleSyncResponse merges a response and returns the request that sends the records
// that the peer lacks, or nil when there are none. The response is merged first, so that
// a node with a stale view sends nothing outdated. The view becomes fresh when the whole
// table was fetched or the differences fitted into the response. When the peer is not a
// live member after the merge, nothing else changes and the result is nil.
func (c *core) handleSyncResponse(now time.Time, target syncTarget, response *peerv1.SyncMembersResponse) *peerv1.SyncMembersRequest {
	c.stats.Syncs++
	c.applyAll(now, response.Members)
	if r := c.table.get(target.id); r == nil || r.State.ended() {
		return nil
	}
	c.joinAttempts = 0
	if target.full {
		c.needFullSync = false
		c.queue.push(c.self.ID)
	}
	c.fresh = c.fresh || target.full || len(response.Members) < c.cfg.SyncMembers
	if !c.fresh {
		c.nextSync = now
	}
	return c.pushRequest(now, response)
}

// pushRequest returns the request with the local records of the differing buckets that
// supersede those of the peer or are missing there, or nil when there are none.
func (c *core) pushRequest(now time.Time, response *peerv1.SyncMembersResponse) *peerv1.SyncMembersRequest {
	remote := make(map[string]Member, len(response.Members))
	for _, p := range response.Members {
		if m, ok := fromProto(p); ok {
			remote[m.ID] = m
		}
	}
	request := &peerv1.SyncMembersRequest{FromId: c.self.ID}
	for _, bucket := range response.DifferingBuckets {
		var local []*peerv1.Member
		for _, p := range c.appendBucket(now, local, int(bucket%bucketCount)) {
			m, _ := fromProto(p)
			if other, ok := remote[m.ID]; !ok || supersedes(&m, &other) {
				request.Members = append(request.Members, p)
			}
		}
	}
	if len(request.Members) == 0 {
		return nil
	}
	// Without digests and wanted buckets, the peer would return its whole table.
	request.BucketDigests = c.digests()
	return request
}

// endSync ends an anti-entropy round. After a failed one, a node whose view is not fresh
// starts a round with a newly chosen peer after about JoinInterval.
func (c *core) endSync(now time.Time, failed bool) {
	c.syncing = false
	if failed {
		c.stats.FailedSyncs++
	}
	if failed && !c.fresh {
		c.nextSync = now.Add(c.jittered(c.cfg.JoinInterval))
	}
}

// applyAll merges records in the order of their IDs, so that a run with a fixed
// random seed is reproducible.
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
