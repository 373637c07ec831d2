package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// NodeAddresses are the addresses of a node's listeners, as the node prints them
// at startup.
type NodeAddresses struct {
	Caller   string `json:"caller"`
	Loopback string `json:"loopback"`
	Peer     string `json:"peer"`
	Gossip   string `json:"gossip"`
	Admin    string `json:"admin"`
}

// NodeSpec describes one node.
type NodeSpec struct {
	ID            string
	Region        string
	FailureDomain string
	PlatformURL   string
	// Seeds are gossip addresses of other nodes through which the node joins.
	Seeds []string
	// Policy, LogLevel and OTLPEndpoint are those of the Deployment.
	Policy       string
	LogLevel     string
	OTLPEndpoint string
	// Listen holds fixed listen addresses; an empty one selects a free port.
	Listen NodeAddresses
	// AdvertisePeer is the peer address announced to other nodes, for a node behind
	// a proxy; empty means the address of the peer listener.
	AdvertisePeer string
}

// Node is a running node process.
type Node struct {
	*Process
	Spec      NodeSpec
	Addresses NodeAddresses
}

// settingsFile mirrors the JSON settings file of the node program.
type settingsFile struct {
	NodeID        string            `json:"node_id"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failure_domain"`
	Listen        NodeAddresses     `json:"listen"`
	Advertise     *advertise        `json:"advertise,omitempty"`
	Platform      map[string]string `json:"platform"`
	Seeds         []string          `json:"seeds"`
	Policy        string            `json:"policy"`
	LogLevel      string            `json:"log_level"`
	Trace         map[string]string `json:"trace"`
}

type advertise struct {
	Peer string `json:"peer"`
}

// StartNode writes the node's settings file and starts the node.
func StartNode(binDir, workDir string, spec NodeSpec) (*Node, error) {
	path := filepath.Join(workDir, spec.ID+".json")
	if err := writeSettingsFile(path, spec); err != nil {
		return nil, err
	}
	process, err := StartProcess(spec.ID, filepath.Join(binDir, "mustardwingd"), "-config", path)
	if err != nil {
		return nil, err
	}
	n := &Node{Process: process, Spec: spec}
	if err := json.Unmarshal([]byte(process.FirstLine), &n.Addresses); err != nil {
		process.Kill()
		return nil, errors.Wrapf(err, "%s: decode listener addresses %q", spec.ID, process.FirstLine)
	}
	return n, nil
}

func writeSettingsFile(path string, spec NodeSpec) error {
	file := settingsFile{
		NodeID:        spec.ID,
		Region:        spec.Region,
		FailureDomain: spec.FailureDomain,
		Listen: NodeAddresses{
			Caller:   orFreePort(spec.Listen.Caller),
			Loopback: orFreePort(spec.Listen.Loopback),
			Peer:     orFreePort(spec.Listen.Peer),
			Gossip:   orFreePort(spec.Listen.Gossip),
			Admin:    orFreePort(spec.Listen.Admin),
		},
		Platform: map[string]string{"url": spec.PlatformURL},
		Seeds:    append([]string{}, spec.Seeds...),
		Policy:   spec.Policy,
		LogLevel: spec.LogLevel,
		Trace:    map[string]string{"otlp_endpoint": spec.OTLPEndpoint},
	}
	if spec.AdvertisePeer != "" {
		file.Advertise = &advertise{Peer: spec.AdvertisePeer}
	}
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings file")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o600), "write settings file")
}

// orFreePort returns the address, or one for a free port of the loopback interface if
// the address is empty.
func orFreePort(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}
