package fleet

import "slices"

// KillInstance ends a node and its upstream at once and forgets the instance.
func (f *Fleet) KillInstance(i *Instance) {
	i.Node.Kill()
	i.Upstream.Kill()
	i.closeProxies()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = slices.DeleteFunc(f.instances, func(other *Instance) bool { return other == i })
}

// RestartInstance starts a killed instance's node again with the same id and
// addresses, and a new upstream beside it.
func (f *Fleet) RestartInstance(i *Instance) (*Instance, error) {
	f.mu.Lock()
	index := f.next
	f.next++
	f.mu.Unlock()
	spec := i.Node.Spec
	spec.Listen = i.Node.Addresses
	restarted := &Instance{Service: i.Service}
	return restarted, f.startInstance(restarted, spec, index)
}
