package fleet

import "github.com/mustardwing/mustardwing/standin/faultproxy"

// startProxies starts the proxies whose addresses the node and the upstream
// announce. Their targets are set once the processes have printed their addresses.
func (i *Instance) startProxies() error {
	var err error
	if i.PeerProxy, err = faultproxy.Start("127.0.0.1:0", ""); err != nil {
		return err
	}
	i.UpstreamProxy, err = faultproxy.Start("127.0.0.1:0", "")
	return err
}

func (i *Instance) closeProxies() {
	for _, p := range []*faultproxy.Proxy{i.PeerProxy, i.UpstreamProxy} {
		if p != nil {
			_ = p.Close()
		}
	}
}
