package client

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// waitRetryDelay is the delay after a failed read or watch.
const waitRetryDelay = time.Second

// WaitResult is the result of wait: a revision that is in force at every node.
type WaitResult struct {
	Revision int64 `json:"revision"`
	Domains  int   `json:"domains"`
	Nodes    int   `json:"nodes"`
}

// wait returns when the report of every failure domain states that the revision is in
// force at all nodes of that domain. When the context ends first, it returns
// WaitTimedOut with the problems seen last. Revision zero stands for the latest one in
// the store.
func (c *Client) wait(ctx context.Context, revision int64) (WaitResult, error) {
	w := waiter{client: c, revision: revision, reports: make(map[string]platform.Object)}
	for {
		done, err := w.checkOnce(ctx)
		if done {
			return w.result, nil
		}
		if err != nil && ctx.Err() == nil && !retryable(err) {
			return WaitResult{}, err
		}
		if ctx.Err() != nil || (err != nil && sleep(ctx, waitRetryDelay) != nil) {
			return WaitResult{}, w.timeoutError(err)
		}
	}
}

// waiter follows the reports with a store watch instead of listing them repeatedly, so
// that a long wait makes few store requests.
type waiter struct {
	client *Client
	// revision is the revision to wait for, zero until the latest one is read.
	revision int64
	// reports holds the reports of the failure domains by key.
	reports map[string]platform.Object
	// version is the store's version up to which reports is complete, or zero if
	// the reports must be listed.
	version int64
	// problems and result are those of the latest evaluation.
	problems []string
	result   WaitResult
}

// checkOnce refreshes the reports and returns whether the revision is in force at
// every node.
func (w *waiter) checkOnce(ctx context.Context) (bool, error) {
	if w.revision == 0 {
		revision, err := w.client.latestRevision(ctx)
		if err != nil {
			return false, err
		}
		w.revision = revision
	}
	if err := w.refresh(ctx); err != nil {
		return false, err
	}
	return w.evaluate()
}

// refresh lists the reports the first time and after a compaction of the store, and
// otherwise waits for newer ones. When the watch fails because of a compaction, it
// changes no report, and the next call lists them.
func (w *waiter) refresh(ctx context.Context) error {
	if w.version == 0 {
		listing, err := w.client.list(ctx, StatusPrefix)
		if err != nil {
			return err
		}
		clear(w.reports)
		for _, object := range listing.Objects {
			w.reports[object.Key] = object
		}
		w.version = listing.Version
		return nil
	}
	events, err := w.client.Store.Watch(ctx, StatusPrefix, w.version)
	if errors.Is(err, platform.ErrCompacted) {
		w.version = 0
		return nil
	}
	if err != nil {
		return err
	}
	for _, object := range events.Events {
		w.reports[object.Key] = object
		if object.Deleted {
			delete(w.reports, object.Key)
		}
	}
	w.version = max(w.version, events.Version)
	return nil
}

// evaluate computes the result and the problems from the reports. It returns true when
// the reports count at least one node and there are no problems.
func (w *waiter) evaluate() (bool, error) {
	w.problems = nil
	w.result = WaitResult{Revision: w.revision, Domains: len(w.reports)}
	for _, object := range w.reports {
		report, err := w.client.decodeReport(object)
		if err != nil {
			return false, err
		}
		w.problems = append(w.problems, report.problems(w.revision)...)
		w.result.Nodes += report.Nodes
	}
	slices.Sort(w.problems)
	if w.result.Nodes == 0 {
		w.problems = append(w.problems, "no node has reported yet")
	}
	return len(w.problems) == 0, nil
}

// timeoutError returns WaitTimedOut with the problems of the latest evaluation. When
// there are none, it gives the detail of lastErr instead, if that error is retryable.
func (w *waiter) timeoutError(lastErr error) error {
	// The list of problems is long when a whole failure domain is behind.
	const maxShown = 20
	problems := w.problems
	if len(problems) > maxShown {
		rest := "and " + strconv.Itoa(len(problems)-maxShown) + " more"
		problems = append(append([]string(nil), problems[:maxShown]...), rest)
	}
	if lastErr != nil && retryable(lastErr) && len(problems) == 0 {
		problems = []string{resultcode.From(lastErr).Detail}
	}
	return resultcode.New(resultcode.WaitTimedOut, "revision %s is not in force everywhere\n  %s",
		formatRevision(w.revision), strings.Join(problems, "\n  "))
}

func formatRevision(revision int64) string {
	return strconv.FormatInt(revision, 10)
}
