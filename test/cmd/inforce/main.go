// Command inforce measures the time from the start of the write of a settings change until
// the change is in force at every node of a fleet of real processes.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwing/mustardwing/test/fleet"
)

// pollInterval is the interval at which each node is asked for its revision.
const pollInterval = 10 * time.Millisecond

func main() {
	binDir := flag.String("bin", "bin", "directory of the programs")
	nodes := flag.Int("nodes", 28, "number of nodes")
	changes := flag.Int("changes", 20, "number of settings changes")
	flag.Parse()
	if err := run(context.Background(), *binDir, *nodes, *changes); err != nil {
		fmt.Fprintln(os.Stderr, "inforce:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, binDir string, nodes, changes int) error {
	f, err := fleet.StartInTempDir(ctx, binDir, "inforce", fleet.Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b", "ro-c", "ro-d"},
		Services:       []fleet.ServiceSpec{{Name: "search", Instances: nodes, Slots: 4, Connections: 20, ServiceTime: time.Millisecond}},
		Policy:         "full",
		LogLevel:       "warn",
		Settings:       map[string]string{"settings/default": fleet.ScopeObject(nil)},
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	var durations []time.Duration
	version := int64(0)
	for range changes {
		started := time.Now()
		if version, err = writeScope(f.PlatformURL, version); err != nil {
			return err
		}
		if err := waitUntilInForce(ctx, f, version); err != nil {
			return err
		}
		durations = append(durations, time.Since(started))
		time.Sleep(time.Second)
	}
	slices.Sort(durations)
	fmt.Printf("%d nodes, %d changes, in force everywhere: median %s, slowest %s\n", nodes, changes,
		durations[len(durations)/2].Round(time.Millisecond), durations[len(durations)-1].Round(time.Millisecond))
	return nil
}

// writeScope writes a settings scope that nothing else writes, replacing the given
// version, and returns the new version.
func writeScope(platform string, version int64) (int64, error) {
	body, err := json.Marshal(map[string][]byte{"value": []byte(fleet.ScopeObject(nil))})
	if err != nil {
		return 0, errors.Wrap(err, "encode scope")
	}
	url := fmt.Sprintf("%s/v1/objects/settings/service/search?if_version=%d", platform, version)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "write scope")
	}
	defer resp.Body.Close()
	var object struct {
		Version int64 `json:"version"`
	}
	err = json.NewDecoder(resp.Body).Decode(&object)
	return object.Version, errors.Wrapf(err, "write scope: %s", resp.Status)
}

// waitUntilInForce waits until a settings version is in force at every node.
func waitUntilInForce(ctx context.Context, f *fleet.Fleet, version int64) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, instance := range f.Instances("") {
		group.Go(func() error { return instance.Node.WaitForRevisionEvery(ctx, pollInterval, version) })
	}
	return group.Wait()
}
