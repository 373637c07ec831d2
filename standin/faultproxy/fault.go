package faultproxy

import "time"

// Mode is the kind of fault that the proxy applies to connections.
type Mode string

// Modes of the proxy.
const (
	// Pass forwards without a fault.
	Pass Mode = "pass"
	// Delay delays each forwarded read by Fault.Delay.
	Delay Mode = "delay"
	// Freeze holds data back and keeps connections open until the fault changes.
	Freeze Mode = "freeze"
	// Cut closes all open connections and each new one.
	Cut Mode = "cut"
	// Reset is Cut with TCP resets.
	Reset Mode = "reset"
	// CutAfter closes a connection instead of passing more than Fault.Bytes in a
	// direction.
	CutAfter Mode = "cut-after"
)

// Direction of data through the proxy.
type Direction int

// Directions.
const (
	ToServer Direction = iota
	ToClient
)

// Fault is the proxy's current behaviour. The zero value forwards without a fault.
type Fault struct {
	Mode Mode `json:"mode"`
	// Delay is used in mode Delay only, Bytes in mode CutAfter only.
	Delay time.Duration `json:"delay_ns"`
	Bytes int64         `json:"bytes"`
	// Only limits delay, freeze and cut-after to one direction: "to-server" or
	// "to-client". Empty means both.
	Only string `json:"only"`
}

// applies reports whether the fault affects data in a direction.
func (f Fault) applies(d Direction) bool {
	switch f.Only {
	case "to-server":
		return d == ToServer
	case "to-client":
		return d == ToClient
	default:
		return true
	}
}
