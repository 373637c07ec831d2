package fleet

import "github.com/mustardwing/mustardwing/standin/faultproxy"

// startProxies opens the addresses that the node and the upstream announce. The
// targets follow when the processes have printed theirs.
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
