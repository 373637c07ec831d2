// Command mustardwing is the command-line client that operators use to read and
// edit the settings of a fleet and to see what its nodes report.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/client"
	"github.com/mustardwing/mustardwing/internal/platform"
	adapter "github.com/mustardwing/mustardwing/platform"
)

const (
	// callTimeout bounds one call to the platform; a watch may take watchPoll longer. The
	// flag -timeout bounds the whole command.
	callTimeout = 5 * time.Second
	// watchPoll is how long the platform may hold a watch request open.
	watchPoll = 5 * time.Second
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &client.App{
		Stdout:     os.Stdout,
		Stderr:     os.Stderr,
		Getenv:     os.Getenv,
		Dial:       dial,
		Config:     client.ConfigFormat{Key: adapter.ConfigKey, Decode: adapter.DecodeConfig},
		ReadFile:   readFile,
		User:       userName(),
		Now:        time.Now,
		NewWriteID: client.NewWriteID,
	}
	return app.Run(ctx, os.Args[1:])
}

// objectsScheme is the URL scheme of a store that speaks the protocol of the users'
// platform.
const objectsScheme = "objects://"

func dial(url string) platform.Store {
	if address, ok := strings.CutPrefix(url, objectsScheme); ok {
		return adapter.NewStore(address)
	}
	return platform.NewClient(platform.ClientConfig{URL: url, Timeout: callTimeout, PollTimeout: watchPoll})
}

// readFile returns the content of a file, or of the standard input for "-". It fails
// when the content is longer than limit bytes.
func readFile(path string, limit int64) ([]byte, error) {
	file := os.Stdin
	if path != "-" {
		var err error
		file, err = os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open")
		}
		defer file.Close()
	}
	data, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("more than %d bytes", limit)
	}
	return data, err
}

// userName returns the name of the current user, or an empty one when the system
// does not know it. The flag -by is mandatory then.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}
