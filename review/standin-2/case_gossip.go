package main

import (
	"fmt"
	"net/http"
	"time"
)

// gossipFromAClient: a client sends a request whose path is that of the nodes' own messages and whose
// body is such a message. The node beside the worker applies it instead of passing the request on.
func gossipFromAClient(f *fleet, trouble bool) []string {
	rules := []rule{
		{"listing-search", "safe", "/", "cautare", "1200ms"},
		{"promo-pay", "unsafe", "/promo/", "plati", "1500ms"},
	}
	f.start([]string{"istoric", "cautare", "plati"}, rules...)
	caller := f.nodes[0]
	time.Sleep(boundStable)
	rules[1].service = "cautare"
	body := fmt.Sprintf(`{"news":true,"config":%s}`, configuration(0x100, rules...))
	path := "/mustardwing/v1/gossip"
	if !trouble {
		path += "-archive"
	}
	caller.do(request{method: http.MethodPost, path: path, body: []byte(body), deadline: 5 * time.Second})
	time.Sleep(boundConfigApply)
	var broken []string
	for range 20 {
		out := caller.do(request{method: http.MethodPost, path: "/promo/1", body: []byte("promotion"), deadline: 5 * time.Second})
		for _, e := range f.runsOf(out.id) {
			if e.service != "plati" {
				broken = append(broken, fmt.Sprintf("ROUTE: request %s with path %s was run by a worker of %s; the only configuration sends it to plati", e.id, e.path, e.service))
			}
		}
	}
	return broken
}
