package bench

import "github.com/mustardwing/mustardwing/test/fleet"

// Settings returns the settings objects of the measurements. Each class of the load is
// a call kind whose priority they set.
func Settings(services []fleet.ServiceSpec) map[string]string {
	objects := map[string]string{
		"settings/default": fleet.ScopeObject(fleet.Overrides{"timeout": "2s", "ramp_up": "1s"}),
	}
	for _, s := range services {
		objects["settings/service/"+s.Name] = fleet.ScopeObject(nil,
			fleet.KindOverrides{Name: critical, Overrides: fleet.Overrides{"priority": "critical"}},
			fleet.KindOverrides{Name: normal, Overrides: fleet.Overrides{"priority": "normal"}},
			fleet.KindOverrides{Name: long, Overrides: fleet.Overrides{"priority": "normal", "timeout": "10s"}},
		)
	}
	return objects
}
