// Package upstream keeps the announced state of the upstream instance beside this
// node and sends calls to it over HTTP/1.1 connections, which it opens in advance.
package upstream

import (
	"encoding/json"
	"io"
	"net"
	"strconv"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	maxSlots = 10000
	maxPort  = 65535
	// maxAnnouncementBytes bounds how much a faulty upstream can make the node read.
	maxAnnouncementBytes = 16 << 10
)

// Announcement is what an upstream sends to its own node about itself.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP address and port on which the upstream accepts calls.
	Address string `json:"address"`
	// Slots is the number of calls that the upstream runs at the same time.
	Slots int `json:"slots"`
	// MaxConnections bounds the open connections from the node to the upstream. It is at
	// least Slots.
	MaxConnections int `json:"max_connections"`
	// Ready is set while the upstream accepts calls.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// RefusesBeforeWork declares that a response which echoes the attempt id in
	// Mustardwing-Refused-Attempt rejects the call: it was not run, not even in part.
	RefusesBeforeWork bool `json:"refuses_before_work"`
}

// ParseAnnouncement reads an announcement from JSON and validates it. Errors have
// the code SettingsInvalid.
func ParseAnnouncement(r io.Reader) (Announcement, error) {
	decoder := json.NewDecoder(io.LimitReader(r, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	var a Announcement
	if err := decoder.Decode(&a); err != nil {
		return Announcement{}, resultcode.Wrap(err, resultcode.SettingsInvalid, "announcement: want a JSON object with the documented fields")
	}
	return a, a.validate()
}

func (a Announcement) validate() error {
	switch {
	case !call.ValidName(a.Service):
		return invalid("service", strconv.Quote(a.Service), "1 to 63 characters of a-z, 0-9 and -, starting with a letter")
	case !validAddress(a.Address):
		return invalid("address", strconv.Quote(a.Address), "an IP address and a port")
	case a.Slots < 1 || a.Slots > maxSlots:
		return invalid("slots", strconv.Itoa(a.Slots), "1 to 10000")
	case a.MaxConnections < a.Slots:
		return invalid("max_connections", strconv.Itoa(a.MaxConnections), "at least the number of slots")
	}
	return nil
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 1 && number <= maxPort
}

func invalid(field, value, want string) error {
	return resultcode.New(resultcode.SettingsInvalid, "announcement: %s is %s: want %s", field, value, want)
}
