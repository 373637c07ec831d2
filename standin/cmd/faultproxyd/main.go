// Command faultproxyd runs the fault-injecting TCP proxy. It prints the proxy's and
// the control endpoint's address on standard output. PUT a JSON fault to the control
// address to change the proxy's behaviour.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/mustardwing/mustardwing/standin/faultproxy"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address to proxy")
	control := flag.String("control", "127.0.0.1:0", "address of the control endpoint")
	target := flag.String("target", "", "address to forward to")
	flag.Parse()
	if err := run(*listen, *control, *target); err != nil {
		fmt.Fprintln(os.Stderr, "faultproxyd:", err)
		os.Exit(1)
	}
}

func run(listen, control, target string) error {
	proxy, err := faultproxy.Start(listen, target)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", control)
	if err != nil {
		return err
	}
	fmt.Println(proxy.Addr(), listener.Addr())
	server := &http.Server{Handler: controlHandler(proxy), ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(listener)
}

func controlHandler(proxy *faultproxy.Proxy) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var fault faultproxy.Fault
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		proxy.SetFault(fault)
	})
}
