package client

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Defaults of -timeout.
const (
	defaultTimeout     = 10 * time.Second
	defaultWaitTimeout = time.Minute
)

// errHelp means that the command line asks for the command's help.
var errHelp = flag.ErrHelp

// options holds the flags of all commands; each command registers its own.
type options struct {
	// platform is the platform's address; empty stands for the environment variable.
	platform string
	// output is text or json.
	output  string
	timeout time.Duration
	// by and reason are the author and the reason of the changes that do not give their
	// own.
	by     string
	reason string
	// ifVersion is the version that the object must have; anyVersion accepts all.
	ifVersion int64
	// replaceInvalid lets apply and diff replace objects that cannot be decoded,
	// starting from an empty one.
	replaceInvalid bool
	region         string
	service        string
	kind           string
	method         string
	path           string
	// revision is the one that wait waits for; 0 stands for the latest in the store.
	revision int64
	// allNodesEnded is the operator's confirmation that release requires.
	allNodesEnded bool
	// against names the configuration to compare with; strict makes warnings an exit status.
	against string
	strict  bool
}

func (o *options) json() bool {
	return o.output == "json"
}

func (o *options) registerCommon(f *flag.FlagSet, timeout time.Duration) {
	f.StringVar(&o.output, "o", "text", "output `form`: text or json")
	f.DurationVar(&o.timeout, "timeout", timeout, "time limit of the whole command")
}

func (o *options) registerPlatform(f *flag.FlagSet) {
	f.StringVar(&o.platform, "platform", "", "`URL` of the platform; default from "+PlatformVariable)
}

func (o *options) registerAttribution(f *flag.FlagSet, user string) {
	f.StringVar(&o.reason, "reason", "", "why; `text` recorded with the override")
	f.StringVar(&o.by, "by", user, "who decides; `name` recorded with the override")
}

func (o *options) registerPath(f *flag.FlagSet) {
	f.StringVar(&o.region, "region", "", "`name` of the region")
	f.StringVar(&o.service, "service", "", "`name` of the service")
	f.StringVar(&o.kind, "kind", "", "`name` of the call kind")
	f.StringVar(&o.method, "method", "", "HTTP `method`, with -path instead of -kind")
	f.StringVar(&o.path, "path", "", "URL `path` of a call, with -method instead of -kind")
}

func (o *options) attribution(now time.Time) Attribution {
	return Attribution{SetBy: o.by, Reason: o.reason, SetAt: now.UTC().Truncate(time.Second)}
}

// invocation is one parsed command line.
type invocation struct {
	app     *App
	options options
	args    []string
}

// parse parses the flags and arguments of a command, with flags before, between and
// after the arguments. It returns errHelp for a request for help. It returns an
// invocation together with an error too, so that the error is printed in the form that -o
// selects.
func (a *App) parse(cmd command, args []string) (*invocation, error) {
	inv := &invocation{app: a, options: options{output: "text", timeout: defaultTimeout}}
	set := flag.NewFlagSet(cmd.name, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	cmd.register(set, &inv.options, a.User)
	for len(args) > 0 {
		if err := set.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return inv, errHelp
			}
			return inv, resultcode.New(resultcode.Usage, "%s: %s; mustardwing %s -h explains the flags", cmd.name, err, cmd.name)
		}
		args = set.Args()
		if len(args) > 0 {
			inv.args = append(inv.args, args[0])
			args = args[1:]
		}
	}
	return inv, inv.check(cmd)
}

// check returns a usage error for a value of a common flag or a number of arguments
// that the command does not accept.
func (inv *invocation) check(cmd command) error {
	if o := inv.options.output; o != "text" && o != "json" {
		return resultcode.New(resultcode.Usage, "-o %q: want text or json", o)
	}
	if inv.options.timeout <= 0 {
		return resultcode.New(resultcode.Usage, "-timeout %s: want a positive duration such as 30s", inv.options.timeout)
	}
	if len(inv.args) < cmd.minArgs || (cmd.maxArgs >= 0 && len(inv.args) > cmd.maxArgs) {
		return resultcode.New(resultcode.Usage, "%s %s: want mustardwing %s", cmd.name, strings.Join(inv.args, " "), strings.TrimSpace(cmd.name+" "+cmd.args))
	}
	return nil
}

// client returns a client of the platform's store.
func (inv *invocation) client() (*Client, error) {
	store, err := inv.app.store(inv.options.platform)
	if err != nil {
		return nil, err
	}
	return &Client{Store: store, Now: inv.app.Now, NewWriteID: inv.app.NewWriteID}, nil
}

// scopeArg parses the first argument as a scope name and returns a usage error
// for an invalid one.
func (inv *invocation) scopeArg() (settings.ScopeName, error) {
	name, err := settings.ParseScopeName(inv.args[0])
	if err != nil {
		return name, resultcode.New(resultcode.Usage, "%s", resultcode.From(err).Detail)
	}
	return name, nil
}
