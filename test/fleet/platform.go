package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// SetPlatformFaults replaces the faults that the platform stand-in injects.
func (f *Fleet) SetPlatformFaults(faults platformtest.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	req, err := http.NewRequest(http.MethodPut, f.PlatformURL+"/control/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("set faults: %s", resp.Status)
	}
	return nil
}
