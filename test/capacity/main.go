// Command capacity measures the cost of the control layer per member, member change,
// settings revision and status summary, and prints slopes with the standard error of
// their fit. The results are published in docs/CAPACITY.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/pkg/errors"
)

func main() {
	phase := flag.Duration("phase", 6*time.Second, "length of one measurement of a running fleet")
	flag.Parse()
	fmt.Printf("%s, %d processors, %s/%s\n", runtime.Version(), runtime.NumCPU(), runtime.GOOS, runtime.GOARCH)
	steps := []func(time.Duration) error{measureMemory, measureAntiEntropy, measureSettings, measureStatus, measureIdleFleet, measureChanges}
	for _, step := range steps {
		if err := step(*phase); err != nil {
			fmt.Fprintln(os.Stderr, errors.Wrap(err, "capacity"))
			os.Exit(1)
		}
	}
}

// printTable prints one row per x value and, for each column, the line fitted through
// its points. order holds the names of the columns in the order of printing.
func printTable(title, xName string, x []float64, columns map[string][]float64, order []string) {
	fmt.Printf("\n%s\n%12s", title, xName)
	for _, name := range order {
		fmt.Printf(" %22s", name)
	}
	fmt.Println()
	for i := range x {
		fmt.Printf("%12.0f", x[i])
		for _, name := range order {
			fmt.Printf(" %22.2f", columns[name][i])
		}
		fmt.Println()
	}
	for _, name := range order {
		l := fit(x, columns[name])
		fmt.Printf("  %s = %.4g + (%.4g ± %.2g) * %s\n", name, l.Intercept, l.Slope, l.SlopeError, xName)
	}
}
