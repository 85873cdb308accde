package serving

// Wait is the reason why a request waits.
type Wait string

// The reasons to wait.
const (
	// WaitDisk: a load from an engine's own disk or memory.
	WaitDisk Wait = "disk"
	// WaitWeightStore: a load from the weight store, or waiting for its capacity.
	WaitWeightStore Wait = "weight_store"
	// WaitCopies: all loaded models that could be evicted for the model have higher worth, or are in use.
	WaitCopies Wait = "copies_in_use"
	// WaitAdapter: the load of an adapter whose model is loaded.
	WaitAdapter Wait = "adapter"
	// WaitHolder: no instance that orders loads can be reached.
	WaitHolder Wait = "no_holder"
	// WaitEngine: no engine can take the model, or no engine can be ordered now.
	WaitEngine Wait = "no_engine"
	// WaitTurn: the servers that have the model limit their requests or have asked for a pause.
	WaitTurn Wait = "turn"
	// WaitLoad: a load in progress, from any source.
	WaitLoad Wait = "load_under_way"
)
