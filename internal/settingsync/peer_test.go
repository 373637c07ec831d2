package settingsync_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/settingsync"
)

// fakePeer implements Members with one peer and is the client of that peer, with
// responses that the test sets.
type fakePeer struct {
	peerv1.PeerServiceClient
	// reportRevision is the subscriber of the Syncer under test.
	reportRevision func(membership.Member, int64)
	response       *peerv1.GetSettingsResponse
	// fetches counts the GetSettings calls.
	fetches int
}

func (p *fakePeer) Holds(membership.Role) bool             { return false }
func (p *fakePeer) RandomPeers(int) []membership.Member    { return []membership.Member{{ID: "peer"}} }
func (p *fakePeer) UpdateLocal(func(*membership.Metadata)) {}
func (p *fakePeer) SubscribeRevisions(f func(membership.Member, int64)) {
	p.reportRevision = f
}

func (p *fakePeer) GetSettings(context.Context, *connect.Request[peerv1.GetSettingsRequest]) (*connect.Response[peerv1.GetSettingsResponse], error) {
	p.fetches++
	return connect.NewResponse(p.response), nil
}

func snapshot(revision int64) *peerv1.GetSettingsResponse {
	return &peerv1.GetSettingsResponse{
		Revision: revision, Snapshot: true,
		Changes: []*peerv1.SettingsChange{{Revision: revision, Key: "settings/default"}},
	}
}

// TestOlderRevisionIgnored guards against a node that puts an older tree in force when
// a peer that was restarted or resumed after a pause returns it, and against a node that
// applies changes although others before them are missing.
func TestOlderRevisionIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &fakePeer{response: snapshot(5)}
		n := &node{name: "n", tree: map[string]string{}}
		s, err := settingsync.New(settingsync.Config{
			Members: peer, Apply: n.apply, RandomSeed: 1,
			Client: func(string) peerv1.PeerServiceClient { return peer },
		})
		assert.NilError(t, err)
		s.Start()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, s.Revision(), int64(5))
		for _, stale := range []*peerv1.GetSettingsResponse{
			snapshot(3),
			{Revision: 4},
			{Revision: 9, Changes: []*peerv1.SettingsChange{{Revision: 9, Previous: 8, Key: "settings/default"}}},
		} {
			before := peer.fetches
			peer.response = stale
			peer.reportRevision(membership.Member{ID: "peer"}, 9)
			time.Sleep(5 * time.Second)
			synctest.Wait()
			assert.Assert(t, peer.fetches > before)
			assert.Equal(t, s.Revision(), int64(5))
			assert.Equal(t, n.applied, 1)
		}
		peer.response = snapshot(9)
		peer.reportRevision(membership.Member{ID: "peer"}, 9)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, s.Revision(), int64(9))
		assert.NilError(t, s.Close())
	})
}
