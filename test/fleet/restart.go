package fleet

import "slices"

// KillInstance kills a node and its upstream and removes the instance from the
// fleet.
func (f *Fleet) KillInstance(i *Instance) {
	i.Node.Kill()
	i.Upstream.Kill()
	i.closeProxies()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = slices.DeleteFunc(f.instances, func(other *Instance) bool { return other == i })
}

// RestartInstance starts the node of a killed instance again with the same ID and
// listen addresses, together with a new upstream. It starts no proxies.
func (f *Fleet) RestartInstance(i *Instance) (*Instance, error) {
	f.mu.Lock()
	index := f.nextIndex
	f.nextIndex++
	f.mu.Unlock()
	spec := i.Node.Spec
	spec.Listen = i.Node.Addresses
	restarted := &Instance{Service: i.Service}
	return restarted, f.startInstance(restarted, spec, index)
}
