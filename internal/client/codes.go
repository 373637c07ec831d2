package client

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

func codesCommand() command {
	return command{
		name: "codes", args: "[CODE]", maxArgs: 1,
		summary: "Prints the table of result codes, or one of them.",
		examples: []string{
			"mustardwing codes",
			"mustardwing codes 112",
		},
		register: func(f *flag.FlagSet, o *options, _ string) { o.registerCommon(f, defaultTimeout) },
		run:      runCodes,
	}
}

// CodeView is one row of the table of result codes.
type CodeView struct {
	Code       resultcode.Code `json:"code"`
	Name       string          `json:"name"`
	HTTPStatus int             `json:"http_status"`
	// Run is the execution outcome of a call that ends with the code.
	Run string `json:"run"`
	// MayRetry is true when a retry of the same call is safe and may succeed.
	MayRetry bool `json:"may_retry"`
	// ExitStatus is that of a command that ends with the code.
	ExitStatus int    `json:"exit_status"`
	Meaning    string `json:"meaning"`
}

// CodesResult is the table of result codes.
type CodesResult struct {
	Codes []CodeView `json:"codes"`
}

func runCodes(_ context.Context, inv *invocation) (output, error) {
	var result CodesResult
	for _, e := range resultcode.Entries() {
		if len(inv.args) == 1 && inv.args[0] != fmt.Sprint(uint16(e.Code)) {
			continue
		}
		result.Codes = append(result.Codes, CodeView{e.Code, e.Name, e.HTTPStatus, e.Execution.String(), e.MayRetry, e.ExitStatus, e.Meaning})
	}
	if len(result.Codes) == 0 {
		return nil, resultcode.New(resultcode.ScopeNotFound, "result code %q: want a number of the table that mustardwing codes prints", inv.args[0])
	}
	return result, nil
}

func (r CodesResult) text(w io.Writer) {
	t := newTable(w)
	t.row("CODE", "NAME", "HTTP", "RUN", "RETRY", "EXIT", "MEANING")
	for _, c := range r.Codes {
		retry := "no"
		if c.MayRetry {
			retry = "yes"
		}
		t.row(fmt.Sprint(uint16(c.Code)), c.Name, fmt.Sprint(c.HTTPStatus), c.Run, retry, fmt.Sprint(c.ExitStatus), c.Meaning)
	}
	t.flush()
}
