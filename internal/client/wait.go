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

// waitPause follows a failed read, and a watch that returned at once.
const waitPause = time.Second

// WaitResult tells that a revision is in force everywhere.
type WaitResult struct {
	Revision int64 `json:"revision"`
	Domains  int   `json:"domains"`
	Nodes    int   `json:"nodes"`
}

// wait returns when every failure domain reports the revision in force at all
// its nodes. It ends with WaitTimedOut when the context does, and names what was
// missing last. Zero stands for the latest revision in the store.
func (c *Client) wait(ctx context.Context, revision int64) (WaitResult, error) {
	w := waiter{client: c, revision: revision, reports: make(map[string]platform.Object)}
	for {
		done, err := w.look(ctx)
		if done {
			return w.result, nil
		}
		if err != nil && ctx.Err() == nil && !retryable(err) {
			return WaitResult{}, err
		}
		if ctx.Err() != nil || (err != nil && pause(ctx, waitPause) != nil) {
			return WaitResult{}, w.timedOut(err)
		}
	}
}

// waiter follows the reports with a watch, so that waiting costs one call at a
// time however long it takes.
type waiter struct {
	client   *Client
	revision int64
	reports  map[string]platform.Object
	// version is the store's version up to which reports is complete; zero before
	// the first listing.
	version int64
	missing []string
	result  WaitResult
}

func (w *waiter) look(ctx context.Context) (bool, error) {
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
	return w.judge()
}

// refresh lists the reports at first and watches for newer ones afterwards.
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

func (w *waiter) judge() (bool, error) {
	w.missing = nil
	w.result = WaitResult{Revision: w.revision, Domains: len(w.reports)}
	for _, object := range w.reports {
		report, err := w.client.report(object)
		if err != nil {
			return false, err
		}
		w.missing = append(w.missing, report.missing(w.revision)...)
		w.result.Nodes += report.Nodes
	}
	slices.Sort(w.missing)
	if w.result.Nodes == 0 {
		w.missing = append(w.missing, "no node has reported yet")
	}
	return len(w.missing) == 0, nil
}

func (w *waiter) timedOut(last error) error {
	// The list may be long when a whole domain is behind.
	const shown = 20
	missing := w.missing
	if len(missing) > shown {
		rest := "and " + strconv.Itoa(len(missing)-shown) + " more"
		missing = append(append([]string(nil), missing[:shown]...), rest)
	}
	if last != nil && retryable(last) && len(missing) == 0 {
		missing = []string{resultcode.From(last).Detail}
	}
	return resultcode.New(resultcode.WaitTimedOut, "revision %s is not in force everywhere\n  %s",
		showRevision(w.revision), strings.Join(missing, "\n  "))
}

func showRevision(revision int64) string {
	return strconv.FormatInt(revision, 10)
}
