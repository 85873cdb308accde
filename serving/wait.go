package serving

// Wait says what a request waits for.
type Wait string

// What requests wait for.
const (
	// WaitDisk: a load from an engine's own disk or memory.
	WaitDisk Wait = "disk"
	// WaitWeightStore: a load from the weight store, or a turn there.
	WaitWeightStore Wait = "weight_store"
	// WaitCopies: all that could be evicted for the model is worth more, or in use.
	WaitCopies Wait = "copies_in_use"
	// WaitAdapter: an adapter of a model that is loaded.
	WaitAdapter Wait = "adapter"
	// WaitHolder: no instance can be reached that orders loads.
	WaitHolder Wait = "no_holder"
	// WaitEngine: no engine can take the model, or none can be ordered now.
	WaitEngine Wait = "no_engine"
	// WaitTurn: the servers that have the model limit what they take, or rest.
	WaitTurn Wait = "turn"
	// WaitLoad: a load under way, whatever it is from.
	WaitLoad Wait = "load_under_way"
)
