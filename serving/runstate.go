package serving

// RunState is what an engine says of a run that broke off there.
type RunState int

// The states of a run on an engine.
const (
	// RunUnknown means that the engine could not be asked.
	RunUnknown RunState = iota
	// RunActive means that the engine still works on it, or does not say.
	RunActive
	// RunNotListed means that the run is not among those that the engine lists. Its list may be some
	// hundred milliseconds old, and has no requests that wait in its queue.
	RunNotListed
	// RunGone means that the engine's process has ended.
	RunGone
)
