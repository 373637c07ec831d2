package client

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/mustardwing/mustardwing/internal/idempotency"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

func releaseCommand() command {
	return command{
		name: "release", args: "SERVICE -all-nodes-ended", minArgs: 1, maxArgs: 1,
		summary: "Releases the ownership of a service's idempotency keys after all its nodes have ended for good.",
		examples: []string{
			"mustardwing release payments -all-nodes-ended",
		},
		register: func(f *flag.FlagSet, o *options, _ string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
			f.BoolVar(&o.allNodesEnded, "all-nodes-ended", false,
				"confirms that every former node of the service has ended; a request could run twice otherwise")
		},
		run: runRelease,
	}
}

// ReleaseResult is the result of release: the service whose keys no longer have
// an owner.
type ReleaseResult struct {
	Service string `json:"service"`
}

func runRelease(ctx context.Context, inv *invocation) (output, error) {
	service := inv.args[0]
	if err := checkNames(service); err != nil {
		return nil, err
	}
	if !inv.options.allNodesEnded {
		return nil, resultcode.New(resultcode.Usage,
			"-all-nodes-ended is missing: give it only when every former node of %s has ended; a paused or unreachable node has not", service)
	}
	c, err := inv.client()
	if err != nil {
		return nil, err
	}
	err = idempotency.Release(ctx, c.Store, service, c.Now())
	// An error without a code of its own, which counts as Internal, comes from decoding the
	// record.
	if err != nil && resultcode.From(err).Code == resultcode.Internal {
		err = resultcode.Wrap(err, resultcode.PlatformMalformed, "object %q: want an ownership record", idempotency.RecordKey(service))
	}
	return ReleaseResult{Service: service}, err
}

func (r ReleaseResult) text(w io.Writer) {
	fmt.Fprintf(w, "%s: released; the next node of the service to start owns its keys\n", r.Service)
}
