package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwing/mustardwing/standin/faultproxy"
	"github.com/mustardwing/mustardwing/standin/upstream"
)

const (
	// readyTimeout bounds each wait for a state of the nodes, which are polled every
	// readyInterval.
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
)

// Instance is one instance of a service: an upstream and its node.
type Instance struct {
	Service  ServiceSpec
	Node     *Node
	Upstream *Process
	// PeerProxy and UpstreamProxy are set for instances of a proxied service.
	PeerProxy, UpstreamProxy *faultproxy.Proxy
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	// BinDir holds the programs, WorkDir the nodes' settings files.
	BinDir  string
	WorkDir string
	// Platform is the platform stand-in, PlatformURL the root of its API.
	Platform    *Process
	PlatformURL string

	mu        sync.Mutex
	instances []*Instance
	// nextIndex is the index of the next instance that is started. It determines the
	// seed of the instance and, unless a killed instance is restarted, the ID and the
	// failure domain of its node.
	nextIndex int
	// seeds are the gossip addresses given to nodes that are added later, so that
	// they can join while the platform is unavailable.
	seeds []string
	// removeWorkDir makes Stop remove the work directory.
	removeWorkDir bool
}

// Start starts the platform stand-in, stores the settings and starts all
// instances. It returns when every node is ready and sees every instance as usable.
func Start(ctx context.Context, binDir, workDir string, d Deployment) (*Fleet, error) {
	f := &Fleet{Deployment: d, BinDir: binDir, WorkDir: workDir}
	platform, err := StartProcess("platform", filepath.Join(binDir, "platformd"), "-listen", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.Platform = platform
	f.PlatformURL = "http://" + strings.TrimPrefix(platform.FirstLine, "http://")
	if err := f.startInstances(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// StartInTempDir calls Start with a new temporary work directory, which Stop
// removes. The directory name contains name, the name of the calling program.
func StartInTempDir(ctx context.Context, binDir, name string, d Deployment) (*Fleet, error) {
	workDir, err := os.MkdirTemp("", "mustardwing-"+name)
	if err != nil {
		return nil, errors.Wrap(err, "create work directory")
	}
	f, err := Start(ctx, binDir, workDir, d)
	if err != nil {
		_ = os.RemoveAll(workDir)
		return nil, err
	}
	f.removeWorkDir = true
	return f, nil
}

func (f *Fleet) startInstances(ctx context.Context) error {
	for key, value := range f.Deployment.Settings {
		if err := f.PutObject(key, []byte(value)); err != nil {
			return err
		}
	}
	group, groupCtx := errgroup.WithContext(ctx)
	total := 0
	for _, service := range f.Deployment.Services {
		for range service.Instances {
			total++
			group.Go(func() error {
				_, err := f.AddInstance(groupCtx, service)
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, instance := range f.Instances("") {
		f.seeds = append(f.seeds, instance.Node.Addresses.Gossip)
	}
	if err := f.WaitForUsableMembers(ctx, total); err != nil {
		return err
	}
	return f.WaitForReady(ctx)
}

// AddInstance starts a node and its upstream. It does not wait until other nodes see
// them.
func (f *Fleet) AddInstance(ctx context.Context, service ServiceSpec) (*Instance, error) {
	f.mu.Lock()
	index := f.nextIndex
	f.nextIndex++
	f.mu.Unlock()
	instance := &Instance{Service: service}
	if service.Proxied {
		if err := instance.startProxies(); err != nil {
			return nil, err
		}
	}
	if err := f.startInstance(instance, f.nodeSpec(service.Name, index), index); err != nil {
		instance.closeProxies()
		return nil, err
	}
	return instance, nil
}

func (f *Fleet) startInstance(i *Instance, spec NodeSpec, index int) error {
	service := i.Service
	if i.PeerProxy != nil {
		spec.AdvertisePeer = i.PeerProxy.Addr()
		service.Advertise = i.UpstreamProxy.Addr()
	}
	node, err := StartNode(f.BinDir, f.WorkDir, spec)
	if err != nil {
		return err
	}
	i.Node = node
	if i.PeerProxy != nil {
		i.PeerProxy.SetTarget(node.Addresses.Peer)
	}
	f.mu.Lock()
	f.instances = append(f.instances, i)
	f.mu.Unlock()
	i.Upstream, err = f.StartUpstream(node, service, index)
	if err == nil && i.UpstreamProxy != nil {
		i.UpstreamProxy.SetTarget(i.Upstream.FirstLine)
	}
	return err
}

func (f *Fleet) nodeSpec(service string, index int) NodeSpec {
	d := f.Deployment
	return NodeSpec{
		ID:            fmt.Sprintf("%s-%d", service, index),
		Region:        d.Region,
		FailureDomain: d.FailureDomains[index%len(d.FailureDomains)],
		PlatformURL:   f.PlatformURL,
		Seeds:         f.seeds,
		Policy:        d.Policy,
		LogLevel:      d.LogLevel,
		OTLPEndpoint:  d.OTLPEndpoint,
	}
}

// StartUpstream starts an upstream that announces itself to the node.
func (f *Fleet) StartUpstream(node *Node, s ServiceSpec, index int) (*Process, error) {
	args := []string{
		"-node", "http://" + node.Addresses.Loopback,
		"-service", s.Name,
		"-slots", fmt.Sprint(s.Slots),
		"-connections", fmt.Sprint(s.Connections),
		"-service-time", s.ServiceTime.String(),
		"-children", strings.Join(s.NestedCalls, ","),
		"-cold-start", s.ColdStart.String(),
		"-seed", fmt.Sprint(f.Deployment.Seed + uint64(index)),
		"-advertise", s.Advertise,
		fmt.Sprintf("-fails=%t", s.Fails),
		fmt.Sprintf("-refuses-before-work=%t", s.RefusesBeforeWork),
	}
	if s.Distribution != "" {
		args = append(args, "-distribution", s.Distribution)
	}
	if len(s.Kinds) > 0 {
		var kinds []string
		for name, d := range s.Kinds {
			kinds = append(kinds, name+"="+d.String())
		}
		args = append(args, "-kinds", strings.Join(kinds, ","))
	}
	return StartProcess("upstream-"+node.Spec.ID, filepath.Join(f.BinDir, "upstreamd"), args...)
}

// Instances returns the instances of a service, or all for an empty name, without those
// that KillInstance has removed.
func (f *Fleet) Instances(service string) []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*Instance
	for _, instance := range f.instances {
		if service == "" || instance.Service.Name == service {
			found = append(found, instance)
		}
	}
	return found
}

// CallerURLs returns the base URLs of all caller listeners, on which the nodes accept
// callers' requests.
func (f *Fleet) CallerURLs() []string {
	var urls []string
	for _, instance := range f.Instances("") {
		urls = append(urls, "http://"+instance.Node.Addresses.Caller)
	}
	return urls
}

// PutObject creates an object in the platform's object store. It returns an error if the
// object exists.
func (f *Fleet) PutObject(key string, value []byte) error {
	body, err := json.Marshal(map[string][]byte{"value": value})
	if err != nil {
		return errors.Wrap(err, "encode object")
	}
	req, err := http.NewRequest(http.MethodPut, f.PlatformURL+"/v1/objects/"+key+"?if_version=0", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "put object")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("put %s: %s", key, resp.Status)
	}
	return nil
}

// SetSlow sets the factor by which the upstream's service times are multiplied; 1 is
// normal speed.
func (i *Instance) SetSlow(factor float64) error {
	_, err := get(fmt.Sprintf("http://%s/control/slow?factor=%g", i.Upstream.FirstLine, factor))
	return err
}

// Stats reads the upstream's counters.
func (i *Instance) Stats() (upstream.Stats, error) {
	var stats upstream.Stats
	data, err := get("http://" + i.Upstream.FirstLine + "/stats")
	if err != nil {
		return stats, err
	}
	return stats, errors.Wrap(json.Unmarshal(data, &stats), "decode stats")
}

// Stop kills all processes and waits until they have ended.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, instance := range f.Instances("") {
		wg.Go(func() {
			instance.Node.Kill()
			if instance.Upstream != nil {
				instance.Upstream.Kill()
			}
			instance.closeProxies()
		})
	}
	wg.Wait()
	f.Platform.Kill()
	if f.removeWorkDir {
		// The error is ignored: files that remain are small and in the system's
		// temporary directory.
		_ = os.RemoveAll(f.WorkDir)
	}
}

// get returns the body of a response with status 200 and an error for any other status.
func get(url string) ([]byte, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, errors.Wrap(err, "get")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("get %s: %s: %s", url, resp.Status, data)
	}
	return data, nil
}

// Drain makes the upstream announce that it drains.
func (i *Instance) Drain() error {
	_, err := get("http://" + i.Upstream.FirstLine + "/control/drain")
	return err
}
