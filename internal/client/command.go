package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
)

// command is one subcommand.
type command struct {
	name string
	// args is the argument synopsis in the help text.
	args    string
	summary string
	// examples are complete command lines.
	examples []string
	// minArgs and maxArgs bound the number of arguments; a negative maxArgs means
	// no bound.
	minArgs, maxArgs int
	// register defines the command's flags; user is the default author of changes.
	register func(f *flag.FlagSet, o *options, user string)
	// run executes the command and returns the result to print.
	run func(ctx context.Context, inv *invocation) (output, error)
}

func commands() []command {
	return []command{
		getCommand(), setCommand(), unsetCommand(), applyCommand(), diffCommand(), checkCommand(), configCommand(),
		historyCommand(), explainCommand(), statusCommand(), waitCommand(), releaseCommand(), codesCommand(),
	}
}

func findCommand(name string) (command, bool) {
	for _, c := range commands() {
		if c.name == name {
			return c, true
		}
	}
	return command{}, false
}

func commandNames() string {
	var names []string
	for _, c := range commands() {
		names = append(names, c.name)
	}
	return strings.Join(names, ", ")
}

func (a *App) printUsage(w io.Writer) {
	fmt.Fprint(w, `mustardwing reads and edits the settings of a mustardwing fleet.

Usage: mustardwing COMMAND [flags] [arguments]

`)
	t := newTable(w)
	for _, c := range commands() {
		t.row("  "+c.name, c.summary)
	}
	t.flush()
	fmt.Fprintf(w, `
A scope is default, region/REGION, service/SERVICE or service/SERVICE/KIND.
The platform's address comes from -platform or %s.
Exit status: 0 done, 2 wrong usage, 3 invalid settings, 4 conflicting edit,
5 platform unavailable, 6 not found, 7 wait timed out, 8 unreadable response,
9 internal error. mustardwing codes lists all result codes. config check exits
with 2 for errors and, with -strict, 1 for warnings.
mustardwing COMMAND -h shows the flags of a command and examples.
`, PlatformVariable)
}

func (c command) printUsage(w io.Writer) {
	fmt.Fprintf(w, "mustardwing %s %s\n\n%s\n\nFlags:\n", c.name, c.args, c.summary)
	set := flag.NewFlagSet(c.name, flag.ContinueOnError)
	set.SetOutput(w)
	c.register(set, &options{}, "")
	set.PrintDefaults()
	fmt.Fprint(w, "\nExamples:\n")
	for _, example := range c.examples {
		fmt.Fprintf(w, "  %s\n", example)
	}
}
