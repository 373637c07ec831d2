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

// watching is a membership in which this node is the only watcher.
type watching struct{}

func (watching) Holds(membership.Role) bool                               { return true }
func (watching) RandomPeers(int) []membership.Member                      { return nil }
func (watching) UpdateLocal(func(*membership.Metadata))                   {}
func (watching) SubscribeRevisions(func(peer membership.Member, r int64)) {}

// measureSettings fetches one change of several sizes from a peer, over an open
// connection and over a new one.
func measureSettings(time.Duration) error {
	const fetches = 500
	sizes := []float64{256, 1024, 4096, 16384}
	var open, fresh, wire []float64
	for _, size := range sizes {
		n, revision, err := servingSettings(int(size))
		if err != nil {
			return err
		}
		server := httptest.NewServer(n.handler())
		url := "http://" + server.Listener.Addr().String()
		request := &peerv1.GetSettingsRequest{AfterRevision: revision - 1}
		var failed error
		var response *connect.Response[peerv1.GetSettingsResponse]
		fetch := func(c *http.Client) {
			r, err := peerv1.NewPeerServiceClient(c, url).GetSettings(context.Background(), connect.NewRequest(request))
			if err != nil {
				failed = err
				return
			}
			response = r
		}
		kept := &http.Client{Transport: &http.Transport{}}
		unkept := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		openTime := perOperation(fetches, func(int) { fetch(kept) })
		freshTime := perOperation(fetches, func(int) { fetch(unkept) })
		if failed != nil {
			return failed
		}
		open = append(open, float64(openTime.Microseconds()))
		fresh = append(fresh, float64(freshTime.Microseconds()))
		wire = append(wire, float64(proto.Size(request)+proto.Size(response.Msg)))
		kept.CloseIdleConnections()
		server.Close()
		_ = n.syncer.Close()
	}
	printTable("Fetch of one settings change, processor time of both sides", "value bytes", sizes,
		map[string][]float64{"open us": open, "new us": fresh, "message bytes": wire},
		[]string{"open us", "new us", "message bytes"})
	return nil
}

// servingSettings returns a node with two revisions of one scope in force.
func servingSettings(size int) (*node, int64, error) {
	store := membershiptest.NewStore(0)
	syncer, err := settingsync.New(settingsync.Config{
		Store: store, Members: watching{}, Client: client,
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
	waitRevision(syncer, first.Version)
	second, err := store.Update(context.Background(), key, first.Version, value)
	if err != nil {
		return nil, 0, err
	}
	waitRevision(syncer, second.Version)
	return &node{syncer: syncer}, second.Version, nil
}

func waitRevision(syncer *settingsync.Syncer, revision int64) {
	for syncer.Revision() < revision {
		time.Sleep(time.Millisecond)
	}
}
