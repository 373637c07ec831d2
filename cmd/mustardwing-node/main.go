// Command mustardwing-node runs a node on the users' platform, which names the
// settings file.
package main

import (
	"os"

	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/platform"
)

func main() {
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	if err := platform.Run(log); err != nil {
		log.Error().Err(err).Msg("ended")
		os.Exit(1)
	}
}
