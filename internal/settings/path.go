package settings

// Path selects the scopes whose overrides apply to a call. An empty field skips its
// level.
type Path struct {
	Region, Service, Kind string
}
