package settingsync

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// announcement is the highest revision that a peer was seen to have.
type announcement struct {
	peer     membership.Member
	revision int64
}

// hint notes that a peer has a higher revision in force.
func (s *Syncer) hint(peer membership.Member, revision int64) {
	s.mu.Lock()
	useful := revision > s.wanted.revision && revision > s.report.Revision && revision > s.report.Refused
	if useful {
		s.wanted = announcement{peer: peer, revision: revision}
	}
	s.mu.Unlock()
	if !useful {
		return
	}
	select {
	case s.hinted <- struct{}{}:
	default:
	}
}

// pull asks peers at the start, and then whenever one announces more.
func (s *Syncer) pull(ctx context.Context) {
	s.askAtStart(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.hinted:
			s.follow(ctx)
		}
	}
}

// askAtStart takes the highest revision of several peers, because one of them
// may be cut off from the others. It ends once any peer has answered, or as soon
// as this node has settings from elsewhere.
func (s *Syncer) askAtStart(ctx context.Context) {
	for s.Revision() == 0 {
		peers := s.cfg.Members.RandomPeers(s.cfg.StartPeers)
		answers := make(chan *Update, len(peers))
		for _, peer := range peers {
			go func() { answers <- s.fetch(ctx, peer, 0) }()
		}
		var best *Update
		answered := false
		for range peers {
			u := <-answers
			answered = answered || u != nil
			if u != nil && (best == nil || u.Revision > best.Revision) {
				best = u
			}
		}
		if best != nil {
			_ = s.offer(*best, SourcePeer)
		}
		if answered || !pause(ctx, s.cfg.RoleInterval/2+s.jitter(s.cfg.RoleInterval)) {
			return
		}
	}
}

// follow fetches the announced revision, first from the peer that announced it.
func (s *Syncer) follow(ctx context.Context) {
	s.mu.Lock()
	wanted := s.wanted
	s.wanted = announcement{}
	s.mu.Unlock()
	peer := wanted.peer
	for attempt := range s.cfg.PullAttempts {
		revision := s.Revision()
		if revision >= wanted.revision {
			return
		}
		if u := s.fetch(ctx, peer, revision); u != nil && s.take(ctx, *u, peer) {
			return
		}
		if !pause(ctx, time.Duration(attempt+1)*s.jitter(100*time.Millisecond)) {
			return
		}
		if others := s.cfg.Members.RandomPeers(1); len(others) == 1 {
			peer = others[0]
		}
	}
}

// take offers a fetched update and reports whether another peer need not be
// asked. After a gap it fetches the whole tree.
func (s *Syncer) take(ctx context.Context, u Update, peer membership.Member) bool {
	err := s.offer(u, SourcePeer)
	if errors.Is(err, ErrGap) {
		if whole := s.fetch(ctx, peer, 0); whole != nil {
			err = s.offer(*whole, SourcePeer)
		}
	}
	return !errors.Is(err, ErrGap)
}

// fetch returns what a peer has after a revision, or nil when it does not answer.
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

// GetSettings serves the RPC of that name.
func (s *Syncer) GetSettings(_ context.Context, request *connect.Request[peerv1.GetSettingsRequest]) (*connect.Response[peerv1.GetSettingsResponse], error) {
	s.mu.Lock()
	u := s.history.since(request.Msg.AfterRevision)
	s.mu.Unlock()
	response := &peerv1.GetSettingsResponse{Revision: u.Revision, Snapshot: u.Snapshot}
	for _, c := range u.Changes {
		response.Changes = append(response.Changes, toProto(c))
	}
	return connect.NewResponse(response), nil
}
