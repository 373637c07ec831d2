package configcheck

// Severity says whether a finding speaks against sending a configuration.
type Severity string

const (
	// Error is a mistake: the configuration is refused, or part of it cannot work.
	Error Severity = "error"
	// Warning is something that has no effect or contradicts something else.
	Warning Severity = "warning"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Where names the object in the configuration.
	Where string `json:"where"`
	Text  string `json:"text"`
}
