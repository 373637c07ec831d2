package settings

// Path names a place in the settings tree. Empty parts stand for the level
// above.
type Path struct {
	Region, Service, Kind string
}
