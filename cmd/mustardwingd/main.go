// Command mustardwingd is the daemon that runs beside each upstream instance.
package main

import "flag"

func main() {
	flag.Parse()
}
