package status

import (
	"context"
	"encoding/json"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Read returns the reports of all failure domains, sorted by name. Reports that
// cannot be decoded are left out; the error names one of them and is returned together
// with the decoded reports.
func Read(ctx context.Context, store platform.Store) ([]DomainReport, error) {
	listing, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var reports []DomainReport
	var malformed error
	for _, object := range listing.Objects {
		var report DomainReport
		if err := json.Unmarshal(object.Value, &report); err != nil {
			malformed = resultcode.Wrap(err, resultcode.PlatformMalformed, "object %s, version %d", object.Key, object.Version)
			continue
		}
		reports = append(reports, report)
	}
	return reports, malformed
}
