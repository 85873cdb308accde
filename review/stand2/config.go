package main

import "sort"

// Bounds of the sheet "Pulmapilt gallery routing across Tallinn halls, some months on", which has keys.
const keyBounds = `seedLagS = 3
reuseAfterS = 2
stabilityMs = 4000
ackMs = 6000
catchUpS = 6
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
outerMs = 6000
revokeFailClosed = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 182
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 17000
recoverS = 15
passMs = 200
retryS = 0
fencingEnforced = false
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOverage = 1.1`

// Bounds of the sheet "Pulmapilt gallery routing across Tallinn halls".
const smallBounds = `seedLagS = 3
reuseAfterS = 2
stabilityMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 52
recoverS = 12
passMs = 120
retryS = 0
fencingEnforced = false
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOverage = 1.1`

// Names in the configurations.
const (
	plainService, engineService = "galerii", "kirjutaja"
	plainPath, streamPath       = "/full-fetch/", "/caption-live/"
	albumPath                   = "/album-keepsake/"
)

// configuration returns a configuration. keys are those of each tenant; requests need none if it is nil.
func configuration(version int, keys map[string][]string, engine map[string]any) map[string]any {
	services := []any{map[string]any{"name": plainService}}
	routes := []any{map[string]any{
		"name": "full-fetch", "host": routeHost, "pathPrefix": plainPath, "routeType": "safe", "timeoutMs": 1500, "goalMs": 300, "priority": 2,
		"service": plainService, "attempts": 2,
	}}
	if engine != nil {
		services = append(services, map[string]any{"name": engineService, "engine": engine})
		routes = append(routes, map[string]any{
			"name": "caption-live", "host": routeHost, "pathPrefix": streamPath, "routeType": "streaming", "timeoutMs": 15000, "goalMs": 400,
			"gapTargetMs": 300, "priority": 1, "service": engineService, "attempts": 2, "resumable": true,
		}, map[string]any{
			"name": "album-keepsake", "host": routeHost, "pathPrefix": albumPath, "routeType": "streaming", "timeoutMs": 25000, "goalMs": 2500,
			"gapTargetMs": 300, "priority": 0, "service": engineService, "attempts": 1, "resumable": false,
		})
	}
	c := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if keys != nil {
		tenants := []any{}
		for name, list := range keys {
			tenants = append(tenants, map[string]any{"name": name, "apiKeys": list})
		}
		sort.Slice(tenants, func(a, b int) bool {
			return tenants[a].(map[string]any)["name"].(string) < tenants[b].(map[string]any)["name"].(string)
		})
		c["tenants"] = tenants
	}
	return c
}

// engineSpec returns the description of engines in the configuration.
func engineSpec(weightsMB float64, models map[string]model) map[string]any {
	list := []any{}
	for name, m := range models {
		list = append(list, map[string]any{
			"name": name, "weightsMb": m.weightsMB, "loadS": 6, "diskS": m.disk.Seconds(), "warmS": m.disk.Seconds() / 2, "adapters": 0, "adapterSizeMb": 12,
		})
	}
	return map[string]any{"slots": 64, "weightsMb": weightsMB, "adapterSlots": 8, "loadsPerS": 3.1, "models": list, "backups": true, "handle_s": 5}
}
