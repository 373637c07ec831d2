package client

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// PlatformVariable names the environment variable with the platform's address.
const PlatformVariable = "MUSTARDWING_PLATFORM"

// storeSchemes are the URL schemes of stores.
var storeSchemes = []string{"http", "https", "objects"}

// App is the command-line client with its dependencies: the standard streams,
// the environment, the store, files, the user and the clock.
type App struct {
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	// Dial returns the store at a URL with one of storeSchemes without calling it.
	Dial func(url string) platform.Store
	// Config is the form of the configuration of routes.
	Config ConfigFormat
	// ReadFile returns the content of a file and fails when it exceeds limit
	// bytes; "-" is the standard input.
	ReadFile func(path string, limit int64) ([]byte, error)
	// User is the name of the user who runs the client, the default of -by.
	User string
	Now  func() time.Time
	// NewWriteID returns a unique id for one write.
	NewWriteID func() string
}

// output is the result of a command. Its encoding by encoding/json is the output
// for programs.
type output interface {
	// text writes the result for people.
	text(w io.Writer)
}

// statusOutput is an output that decides the exit status.
type statusOutput interface {
	output
	exitStatus() int
}

// Run executes the command line args, which does not include the program's name,
// and returns the exit status from the result code table.
func (a *App) Run(ctx context.Context, args []string) (status int) {
	asJSON := false
	defer func() {
		if recovered := recover(); recovered != nil {
			status = a.printError(resultcode.New(resultcode.Internal, "%v; this is a bug in mustardwing, please report it with the command line", recovered), asJSON)
		}
	}()
	if len(args) == 0 || isHelp(args[0]) {
		a.printUsage(a.Stdout)
		return exitStatus(resultcode.OK)
	}
	cmd, ok := findCommand(args[0])
	if !ok {
		return a.printError(resultcode.New(resultcode.Usage, "command %q: want one of %s; -h explains them", args[0], commandNames()), false)
	}
	inv, err := a.parse(cmd, args[1:])
	if errors.Is(err, errHelp) {
		cmd.printUsage(a.Stdout)
		return exitStatus(resultcode.OK)
	}
	asJSON = inv.options.json()
	if err != nil {
		return a.printError(err, asJSON)
	}
	ctx, cancel := context.WithTimeout(ctx, inv.options.timeout)
	defer cancel()
	result, err := cmd.run(ctx, inv)
	if err != nil {
		return a.printError(err, asJSON)
	}
	a.printResult(result, asJSON)
	if s, ok := result.(statusOutput); ok {
		return s.exitStatus()
	}
	return exitStatus(resultcode.OK)
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help" || arg == "help"
}

// store returns the store at the address from the command line or, if that is
// empty, from the environment.
func (a *App) store(address string) (platform.Store, error) {
	source := "-platform"
	if address == "" {
		address, source = a.Getenv(PlatformVariable), PlatformVariable
	}
	want := "an http, https or objects URL such as http://127.0.0.1:8090"
	if address == "" {
		return nil, resultcode.New(resultcode.Usage, "no platform address: give -platform or set %s to %s", PlatformVariable, want)
	}
	parsed, err := url.Parse(address)
	if err != nil || !slices.Contains(storeSchemes, parsed.Scheme) || parsed.Hostname() == "" {
		return nil, resultcode.New(resultcode.Usage, "%s %q: want %s", source, address, want)
	}
	return a.Dial(strings.TrimSuffix(address, "/")), nil
}

func (a *App) printResult(result output, asJSON bool) {
	if asJSON {
		writeJSON(a.Stdout, result)
		return
	}
	result.text(a.Stdout)
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Code   resultcode.Code `json:"code"`
	Name   string          `json:"name"`
	Detail string          `json:"detail"`
	// Conflict and Partial are set for errors that have these details.
	Conflict *ConflictError `json:"conflict,omitempty"`
	Partial  *PartialError  `json:"partial,omitempty"`
}

// printError prints an error and returns its exit status.
func (a *App) printError(err error, asJSON bool) int {
	coded := codedError(err)
	if !asJSON {
		fmt.Fprintf(a.Stderr, "error %d %s: %s\n", coded.Code, coded.Code, errorText(coded))
		return exitStatus(coded.Code)
	}
	f := errorOutput{Code: coded.Code, Name: coded.Code.String(), Detail: errorText(coded)}
	errors.As(err, &f.Conflict)
	errors.As(err, &f.Partial)
	writeJSON(a.Stderr, struct {
		Error errorOutput `json:"error"`
	}{f})
	return exitStatus(coded.Code)
}

// codedError returns the error with its result code. The text of a PartialError
// takes precedence over that of the error it wraps.
func codedError(err error) *resultcode.Error {
	var partial *PartialError
	if errors.As(err, &partial) {
		return partial.resultError()
	}
	return resultcode.From(err)
}

func exitStatus(code resultcode.Code) int {
	return resultcode.Lookup(code).ExitStatus
}
