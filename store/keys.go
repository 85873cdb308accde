package store

// Prefixes of the objects that martenport keeps, one kind each.
const (
	// KeyConfig is the single object with the accepted declaration.
	KeyConfig = "declarations/current"
	// PrefixSlots holds one object a model: its replica slots.
	PrefixSlots = "slots/"
	// PrefixEngines holds one object an engine: its orderer, epoch and claims.
	PrefixEngines = "engines/"
	// PrefixInstances holds one object an entry instance.
	PrefixInstances = "instances/"
	// PrefixBackends is written by the platform: its list of backend servers.
	PrefixBackends = "backends/"
	// PrefixRuns holds one object for each key of a non-idempotent request.
	PrefixRuns = "runs/"
)
