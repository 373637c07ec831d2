package platform

import "github.com/pkg/errors"

// ErrCompacted means that the changes after the given version are no longer
// kept; the caller lists the prefix and watches from the listing's version.
var ErrCompacted = errors.New("platform: changes after this version are no longer kept")
