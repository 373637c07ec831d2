package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/settingsync"
)

// soleWatcher is a membership in which the local node is the only settings watcher: the
// only node that watches the store for settings changes.
type soleWatcher struct{}

func (soleWatcher) Holds(membership.Role) bool                               { return true }
func (soleWatcher) RandomPeers(int) []membership.Member                      { return nil }
func (soleWatcher) UpdateLocal(func(*membership.Metadata))                   {}
func (soleWatcher) SubscribeRevisions(func(peer membership.Member, r int64)) {}

// measureSettings measures the fetch of one change from a peer node for values of
// several sizes, over a reused connection and over a new one.
func measureSettings(time.Duration) error {
	const fetches = 500
	sizes := []float64{256, 1024, 4096, 16384}
	var reusedTimes, newTimes, messageBytes []float64
	for _, size := range sizes {
		n, revision, err := startSettingsNode(int(size))
		if err != nil {
			return err
		}
		server := httptest.NewServer(n.handler())
		url := "http://" + server.Listener.Addr().String()
		request := &peerv1.GetSettingsRequest{AfterRevision: revision - 1}
		var lastErr error
		var response *connect.Response[peerv1.GetSettingsResponse]
		fetch := func(c *http.Client) {
			r, err := peerv1.NewPeerServiceClient(c, url).GetSettings(context.Background(), connect.NewRequest(request))
			if err != nil {
				lastErr = err
				return
			}
			response = r
		}
		reusing := &http.Client{Transport: &http.Transport{}}
		nonReusing := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		reusedTime := processorTimePerOperation(fetches, func(int) { fetch(reusing) })
		newTime := processorTimePerOperation(fetches, func(int) { fetch(nonReusing) })
		if lastErr != nil {
			return lastErr
		}
		reusedTimes = append(reusedTimes, float64(reusedTime.Microseconds()))
		newTimes = append(newTimes, float64(newTime.Microseconds()))
		messageBytes = append(messageBytes, float64(proto.Size(request)+proto.Size(response.Msg)))
		reusing.CloseIdleConnections()
		server.Close()
		_ = n.syncer.Close()
	}
	printTable("Fetch of one settings change, processor time of both sides", "value bytes", sizes,
		map[string][]float64{"open us": reusedTimes, "new us": newTimes, "message bytes": messageBytes},
		[]string{"open us", "new us", "message bytes"})
	return nil
}

// startSettingsNode returns a node at which the second of two revisions of one scope is
// in force, and that revision. size is the size of the value in bytes.
func startSettingsNode(size int) (*node, int64, error) {
	store := membershiptest.NewStore(0)
	syncer, err := settingsync.New(settingsync.Config{
		Store: store, Members: soleWatcher{}, Client: client,
		Apply: func(settingsync.Update) error { return nil }, RoleInterval: time.Millisecond,
	})
	if err != nil {
		return nil, 0, err
	}
	key := settingsync.KeyPrefix + "default"
	value := bytes.Repeat([]byte("x"), size)
	first, err := store.Update(context.Background(), key, 0, value)
	if err != nil {
		return nil, 0, err
	}
	syncer.Start()
	waitForRevision(syncer, first.Version)
	second, err := store.Update(context.Background(), key, first.Version, value)
	if err != nil {
		return nil, 0, err
	}
	waitForRevision(syncer, second.Version)
	return &node{syncer: syncer}, second.Version, nil
}

// waitForRevision waits until the syncer has the revision, or a later one, in force.
func waitForRevision(syncer *settingsync.Syncer, revision int64) {
	for syncer.Revision() < revision {
		time.Sleep(time.Millisecond)
	}
}
