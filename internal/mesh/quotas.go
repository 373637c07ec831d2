package mesh

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/organisation"
)

// Quotas decides which root requests are within the quota of their organisation, over all nodes
// together. It is safe for concurrent use.
type Quotas interface {
	// Take counts a request of an organisation that has a quota. It reports whether the request
	// is within the quota, and if not, after which time another one probably is.
	Take(now time.Time, o *organisation.Organisation) (retryAfter time.Duration, ok bool)
	// Return gives back a request that Take has counted at arrived and that was not run.
	Return(arrived time.Time, o *organisation.Organisation)
}
