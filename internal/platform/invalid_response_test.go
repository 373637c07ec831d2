package platform_test

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/responsecheck/responsechecktest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Guards against a write that counts as executed because of a response that is not valid.
func TestInvalidResponseOfTheStoreIsNotBelieved(t *testing.T) {
	for _, r := range responsechecktest.All() {
		c := platform.NewClient(platform.ClientConfig{URL: "http://" + responsechecktest.Serve(t, r.Bytes)})
		err := c.Delete(t.Context(), "settings/a", 1)
		assert.Equal(t, errors.As(err, &responsecheck.Error{}), !r.Valid, "%s: %v", r.Name, err)
		if !r.Valid {
			assert.Equal(t, resultcode.From(err).Code, resultcode.PlatformUnavailable, "%s: %v", r.Name, err)
			assert.Equal(t, resultcode.From(err).Execution, resultcode.Unknown, r.Name)
		}
	}
}
