// Command mustardwing-node runs a node on the users' platform, which passes the
// path of the settings file in the environment.
package main

import (
	"flag"
	"os"

	"github.com/mustardwing/mustardwing/internal/logging"
	"github.com/mustardwing/mustardwing/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	var options platform.Options
	flag.BoolVar(&options.LearnedCapacity, "learned-capacity", false, "default of the setting learned_capacity; the settings tree goes first")
	flag.Parse()
	writer := logging.NewWriter(os.Stdout)
	defer writer.Close()
	log := logging.New(writer)
	if err := platform.Run(options, log); err != nil {
		log.Error().Err(err).Msg("node ended with an error")
		return 1
	}
	return 0
}
