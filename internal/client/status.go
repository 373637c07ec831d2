package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/mustardwing/mustardwing/internal/call"
)

func statusCommand() command {
	return command{
		name: "status", args: "[-service S]",
		summary: "Shows per service and failure domain what the nodes report, and which need attention.",
		examples: []string{
			"mustardwing status",
			"mustardwing status -service search -o json",
		},
		register: func(f *flag.FlagSet, o *options, _ string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
			f.StringVar(&o.service, "service", "", "`name` of one service")
		},
		run: func(ctx context.Context, inv *invocation) (output, error) {
			c, err := inv.client()
			if err != nil {
				return nil, err
			}
			return c.status(ctx, inv.options.service)
		},
	}
}

func waitCommand() command {
	return command{
		name: "wait", args: "[-revision N] [-timeout D]",
		summary: "Waits until a revision is in force at every node; without -revision the latest one.",
		examples: []string{
			"mustardwing wait",
			"mustardwing wait -revision 4711 -timeout 30s",
		},
		register: func(f *flag.FlagSet, o *options, _ string) {
			o.registerCommon(f, defaultWaitTimeout)
			o.registerPlatform(f)
			f.Int64Var(&o.revision, "revision", 0, "`revision` to wait for; 0 is the latest in the store")
		},
		run: func(ctx context.Context, inv *invocation) (output, error) {
			c, err := inv.client()
			if err != nil {
				return nil, err
			}
			return c.wait(ctx, inv.options.revision)
		},
	}
}

func (s FleetStatus) text(w io.Writer) {
	fmt.Fprintf(w, "revision %d in the store\n\n", s.Revision)
	if len(s.Entries) > 0 {
		writeEntries(w, s.Entries)
	}
	if len(s.Entries) == 0 || len(s.Domains) > 0 {
		s.writeDomains(w)
	}
	for _, line := range s.problems() {
		fmt.Fprintln(w, line)
	}
}

func (s FleetStatus) writeDomains(w io.Writer) {
	t := newTable(w)
	t.row("SERVICE", "DOMAIN", "NODES", "DRAINING", "RUNNING/SLOTS", "QUEUED", "SHED "+priorityHeading(), "REVISION")
	for _, d := range s.Domains {
		for _, v := range d.Services {
			t.row(orNoService(v.Service), d.FailureDomain, fmt.Sprint(v.Nodes), fmt.Sprint(v.Draining),
				fmt.Sprintf("%d/%d", v.Running, v.Slots), fmt.Sprint(v.Queued), joinCounts(v.Shed), v.revisionRange())
		}
	}
	t.flush()
}

// problems lists, after an empty line, what keeps the latest revision from being in
// force everywhere, the nodes that are unreachable and the services without a ready
// instance. It says so when nothing has been reported or there are no problems.
func (s FleetStatus) problems() []string {
	lines := []string{""}
	for _, d := range s.Domains {
		lines = append(lines, d.problems(s.Revision)...)
	}
	if len(s.Domains) == 0 && len(s.Entries) == 0 {
		lines = append(lines, "no failure domain has reported yet")
	}
	for _, e := range s.Entries {
		lines = append(lines, e.problems()...)
	}
	if len(lines) == 1 {
		lines = append(lines, "nothing is unreachable or behind")
	}
	return lines
}

func (s ServiceStatus) revisionRange() string {
	if s.LowestRevision == s.HighestRevision {
		return formatRevision(s.LowestRevision)
	}
	return formatRevision(s.LowestRevision) + "-" + formatRevision(s.HighestRevision)
}

func (r WaitResult) text(w io.Writer) {
	fmt.Fprintf(w, "revision %d is in force at %d nodes in %d failure domains\n", r.Revision, r.Nodes, r.Domains)
}

func priorityHeading() string {
	var names []string
	for p := range call.PriorityCount {
		names = append(names, call.Priority(p).String())
	}
	return strings.Join(names, "/")
}

func joinCounts(counts [call.PriorityCount]uint64) string {
	var texts []string
	for _, n := range counts {
		texts = append(texts, fmt.Sprint(n))
	}
	return strings.Join(texts, "/")
}
