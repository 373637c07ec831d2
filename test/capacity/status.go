package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/status"
)

// soleReporter is a membership in which the local node is the only reporter of a failure
// domain of the given size: the only node that writes its status reports to the store.
type soleReporter struct{ size int }

func (soleReporter) Holds(membership.Role) bool                          { return true }
func (soleReporter) Holders(membership.Role, string) []membership.Member { return nil }
func (r soleReporter) DomainSize(string) int                             { return r.size }
func (soleReporter) Self() membership.Member {
	return membership.Member{ID: "measured", FailureDomain: "domain-00"}
}

// measureStatus measures pushes of one summary and the writing of reports on a whole
// failure domain.
func measureStatus(time.Duration) error {
	sizes := []float64{100, 300, 600, 1143}
	var pushTime, writeTime, reportBytes []float64
	summaryBytes := 0
	for _, size := range sizes {
		store := membershiptest.NewStore(0)
		r, err := status.New(status.Config{
			Store: store, Members: soleReporter{int(size)}, Client: client, Interval: 20 * time.Millisecond, NodesPerInterval: 1,
			LocalSummary: func() status.Summary { return status.Summary{} },
		})
		if err != nil {
			return err
		}
		n := &node{reporter: r}
		server := httptest.NewServer(n.handler())
		peer := client(server.Listener.Addr().String())
		var lastErr error
		push := processorTimePerOperation(int(size), func(i int) {
			request := &peerv1.PushStatusRequest{Summaries: []*peerv1.StatusSummary{summary(i)}}
			summaryBytes = proto.Size(request)
			_, err := peer.PushStatus(context.Background(), connect.NewRequest(request))
			if err != nil {
				lastErr = err
			}
		})
		if lastErr != nil {
			return lastErr
		}
		begin := processorTime()
		r.Start()
		time.Sleep(time.Second)
		_ = r.Close()
		spent := processorTime() - begin
		listing, err := store.List(context.Background(), status.Prefix)
		if err != nil {
			return err
		}
		pushTime = append(pushTime, float64(push.Microseconds()))
		writeTime = append(writeTime, float64(spent.Microseconds())/float64(store.Calls("Update")))
		reportBytes = append(reportBytes, float64(len(listing.Objects[0].Value)))
		server.Close()
	}
	printTable("Status, processor time of a push (both sides) and of a report, and bytes of a report", "nodes", sizes,
		map[string][]float64{"push us": pushTime, "report us": writeTime, "report bytes": reportBytes},
		[]string{"push us", "report us", "report bytes"})
	fmt.Printf("  one summary: %d message bytes\n", summaryBytes)
	return nil
}

// summary returns the status summary of member i.
func summary(i int) *peerv1.StatusSummary {
	return &peerv1.StatusSummary{
		Id: record(i, 1).Id, Service: record(i, 1).Service, Region: "region-0", FailureDomain: "domain-00",
		Slots: 35, Running: 20, Queued: 3, SettingsRevision: 123456,
		Answered: []uint64{1000, 200000, 30000, 4000}, Shed: []uint64{100, 2000, 30, 0}, SentUnixMs: 1764838364000,
	}
}
