package integration

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/standin/loadgen"
	"github.com/mustardwing/mustardwing/test/fleet"
)

// failureFraction returns the fraction of the requests of a class that did not succeed.
func failureFraction(c *loadgen.ClassResult) float64 {
	return 1 - float64(c.Succeeded)/float64(max(1, c.Offered))
}

// Guards against overload in which any critical call fails, or in which normal calls fail
// as often as background ones. Two instances with four slots serve 200 calls of 40 ms per
// second. The load is four times that; its critical calls alone fit easily.
func TestOverloadShedsByPriority(t *testing.T) {
	const serviceTime = 40 * time.Millisecond
	classes := []string{"background", "normal", "critical"}
	rates := map[string]float64{"background": 370, "normal": 370, "critical": 60}
	var kinds []fleet.KindOverrides
	config := loadgen.Config{
		Phases:  []loadgen.Phase{{Duration: 8 * time.Second, Factor: 1}},
		Timeout: 5 * time.Second,
		Seed:    4,
	}
	for _, name := range classes {
		kinds = append(kinds, fleet.KindOverrides{Name: name, Overrides: fleet.Overrides{"priority": name}})
		config.Classes = append(config.Classes, loadgen.Class{Name: name, Service: "history", Kind: name, Method: http.MethodGet, Rate: rates[name]})
	}
	f := startFleet(t, fleet.Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b"},
		Services:       []fleet.ServiceSpec{{Name: "history", Instances: 2, Slots: 4, Connections: 100, ServiceTime: serviceTime}},
		Policy:         "full",
		Settings: map[string]string{
			"settings/default":         fleet.ScopeObject(fleet.Overrides{"timeout": "5s", "ramp_up": "0s"}),
			"settings/service/history": fleet.ScopeObject(nil, kinds...),
		},
	})
	config.Targets = f.CallerURLs()
	result, err := loadgen.Run(context.Background(), config)
	assert.NilError(t, err)
	for _, name := range classes {
		c := result.Classes[name]
		t.Logf("%s: %d offered, %d succeeded, %d dropped, failure fraction %.3f, codes %v", name, c.Offered, c.Succeeded, c.Dropped, failureFraction(c), c.Codes)
		assert.Equal(t, c.Mismatched, int64(0))
		assert.Equal(t, c.Dropped, int64(0))
	}
	background, normal, critical := result.Classes["background"], result.Classes["normal"], result.Classes["critical"]
	assert.Equal(t, critical.Succeeded, critical.Offered, "critical calls were shed: %v", critical.Codes)
	assert.Assert(t, normal.Failed > 0, "there was no overload")
	assert.Assert(t, failureFraction(background) > failureFraction(normal), "background calls were served before normal ones")
}
