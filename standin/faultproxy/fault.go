package faultproxy

import "time"

// Mode is what the proxy does to connections.
type Mode string

// Modes of the proxy.
const (
	Pass   Mode = "pass"
	Delay  Mode = "delay"
	Freeze Mode = "freeze"
	// Cut closes connections and refuses new ones.
	Cut Mode = "cut"
	// Reset is Cut with a TCP reset.
	Reset Mode = "reset"
	// CutAfter closes a connection once Bytes have passed in the direction.
	CutAfter Mode = "cut-after"
)

// Direction of data through the proxy.
type Direction int

// Directions.
const (
	ToServer Direction = iota
	ToClient
)

// Fault is the proxy's current behaviour.
type Fault struct {
	Mode  Mode          `json:"mode"`
	Delay time.Duration `json:"delay_ns"`
	Bytes int64         `json:"bytes"`
	// Only limits delay, freeze and cut-after to one direction: "to-server" or
	// "to-client". Empty means both.
	Only string `json:"only"`
}

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
