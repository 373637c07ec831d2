package platform

import "github.com/pkg/errors"

// ErrCompacted means that the store no longer keeps the changes after the given
// version. List the prefix and watch from the listing's version.
var ErrCompacted = errors.New("platform: changes after this version are no longer kept")
