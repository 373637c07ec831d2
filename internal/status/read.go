package status

import (
	"context"
	"encoding/json"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Read returns the reports of all failure domains, sorted by name. Reports that
// cannot be decoded are left out and named in the error, which comes with the
// others.
func Read(ctx context.Context, store platform.Store) ([]DomainReport, error) {
	listing, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var domains []DomainReport
	var malformed error
	for _, object := range listing.Objects {
		var domain DomainReport
		if err := json.Unmarshal(object.Value, &domain); err != nil {
			malformed = resultcode.Wrap(err, resultcode.PlatformMalformed, "object %s, version %d", object.Key, object.Version)
			continue
		}
		domains = append(domains, domain)
	}
	return domains, malformed
}
