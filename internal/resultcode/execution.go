package resultcode

// Execution says whether a request was run by an upstream. For operator commands and
// calls to the platform's store, it says whether the change took effect.
type Execution uint8

const (
	// Unknown means that an upstream may have run the request.
	Unknown Execution = iota
	// NotRun means that no upstream did any work for the request.
	NotRun
	// Run means that an upstream ran the request and responded completely.
	Run
)

// String returns the value carried in the Mustardwing-Run header.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "no"
	case Run:
		return "yes"
	default:
		return "unknown"
	}
}

// ParseExecution is the inverse of String. Any other text is Unknown.
func ParseExecution(s string) Execution {
	switch s {
	case "no":
		return NotRun
	case "yes":
		return Run
	default:
		return Unknown
	}
}
