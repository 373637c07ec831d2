package settingsync

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/pause"
	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// peerRevision is a settings revision and the peer that reported it.
type peerRevision struct {
	peer     membership.Member
	revision int64
}

// onPeerRevision requests a pull when the revision of a peer is higher than the ones
// this node has in force, has refused or already intends to pull.
func (s *Syncer) onPeerRevision(peer membership.Member, revision int64) {
	s.mu.Lock()
	useful := revision > s.pullTarget.revision && revision > s.report.Revision && revision > s.report.Refused
	if useful {
		s.pullTarget = peerRevision{peer: peer, revision: revision}
	}
	s.mu.Unlock()
	if !useful {
		return
	}
	select {
	case s.pullRequested <- struct{}{}:
	default:
	}
}

// pull queries peers at the start, and then whenever onPeerRevision requests it.
func (s *Syncer) pull(ctx context.Context) {
	s.pullInitial(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pullRequested:
			s.pullTargetRevision(ctx)
		}
	}
}

// pullInitial queries several peers and applies the highest of their revisions, because
// a single peer may be partitioned from the others and have older settings. It repeats
// this until any peer has responded or this node has settings from another source.
func (s *Syncer) pullInitial(ctx context.Context) {
	for s.Revision() == 0 {
		peers := s.cfg.Members.RandomPeers(s.cfg.StartPeers)
		responses := make(chan *Update, len(peers))
		for _, peer := range peers {
			go func() { responses <- s.fetch(ctx, peer, 0) }()
		}
		var best *Update
		responded := false
		for range peers {
			u := <-responses
			responded = responded || u != nil
			if u != nil && (best == nil || u.Revision > best.Revision) {
				best = u
			}
		}
		if best != nil {
			_ = s.applyIfNewer(*best, SourcePeer)
		}
		if responded || !pause.For(ctx, s.cfg.RoleInterval/2+s.jitter(s.cfg.RoleInterval)) {
			return
		}
	}
}

// pullTargetRevision fetches and applies the revision that a peer reported, from that
// peer first and then from random peers.
func (s *Syncer) pullTargetRevision(ctx context.Context) {
	s.mu.Lock()
	target := s.pullTarget
	s.pullTarget = peerRevision{}
	s.mu.Unlock()
	peer := target.peer
	for attempt := range s.cfg.PullAttempts {
		revision := s.Revision()
		if revision >= target.revision {
			return
		}
		if u := s.fetch(ctx, peer, revision); u != nil && s.applyFetched(ctx, *u, peer) {
			return
		}
		if !pause.For(ctx, time.Duration(attempt+1)*s.jitter(100*time.Millisecond)) {
			return
		}
		if others := s.cfg.Members.RandomPeers(1); len(others) == 1 {
			peer = others[0]
		}
	}
}

// applyFetched applies a fetched update. After a gap it fetches the whole tree from
// the same peer. It returns false when the gap remains, so that another peer is
// queried, and true otherwise, also for an update that is refused or is not newer than
// the revision in force.
func (s *Syncer) applyFetched(ctx context.Context, u Update, peer membership.Member) bool {
	err := s.applyIfNewer(u, SourcePeer)
	if errors.Is(err, ErrGap) {
		if snapshot := s.fetch(ctx, peer, 0); snapshot != nil {
			err = s.applyIfNewer(*snapshot, SourcePeer)
		}
	}
	return !errors.Is(err, ErrGap)
}

// fetch returns the update from a revision to the one in force at a peer, or nil when
// the request fails.
func (s *Syncer) fetch(ctx context.Context, peer membership.Member, after int64) *Update {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PullTimeout)
	defer cancel()
	request := connect.NewRequest(&peerv1.GetSettingsRequest{AfterRevision: after})
	response, err := s.cfg.Client(peer.Addresses.Peer).GetSettings(ctx, request)
	if err != nil {
		return nil
	}
	u := &Update{Revision: response.Msg.Revision, Snapshot: response.Msg.Snapshot}
	for _, p := range response.Msg.Changes {
		u.Changes = append(u.Changes, fromProto(p))
	}
	return u
}

// GetSettings implements peerv1.PeerServiceHandler. It returns the update from the
// requested revision to the one in force.
func (s *Syncer) GetSettings(_ context.Context, request *connect.Request[peerv1.GetSettingsRequest]) (*connect.Response[peerv1.GetSettingsResponse], error) {
	s.mu.Lock()
	u := s.changeLog.since(request.Msg.AfterRevision)
	s.mu.Unlock()
	response := &peerv1.GetSettingsResponse{Revision: u.Revision, Snapshot: u.Snapshot}
	for _, c := range u.Changes {
		response.Changes = append(response.Changes, toProto(c))
	}
	return connect.NewResponse(response), nil
}
