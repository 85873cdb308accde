package store

// Keys and key prefixes of the objects that martenport stores, one kind each.
const (
	// KeyConfig is the single object with the accepted declaration.
	KeyConfig = "declarations/current"
	// PrefixSlots is the prefix of one object per model, with its replica slots.
	PrefixSlots = "slots/"
	// PrefixEngines is the prefix of one object per engine, with its orderer, epoch and claims.
	PrefixEngines = "engines/"
	// PrefixInstances is the prefix of one object per entry instance.
	PrefixInstances = "instances/"
	// PrefixBackends is the prefix of the backend servers' objects, which the platform writes.
	PrefixBackends = "backends/"
	// PrefixRuns is the prefix of one object for each key of a non-idempotent request.
	PrefixRuns = "runs/"
)
