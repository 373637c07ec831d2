package settings

// Path selects the scopes whose overrides apply to a call. An empty field selects no
// scope of its level. A kind without a service has no effect.
type Path struct {
	Region, Service, Kind string
}
