package replicas

import "time"

// Params configures the placement of models.
type Params struct {
	// DemandWindow is the time constant of rates: short enough to follow shifts of demand, and not much longer than the
	// effect of single requests for rare models should last.
	DemandWindow time.Duration
	// IdleRate is the rate, in requests per second, below which a model counts as idle.
	IdleRate float64
	// RunningWait is how long an unload is expected to wait for running requests: about the duration of a generation.
	RunningWait time.Duration
	// OrderTime is the overhead of a load over its configured time: a round trip and processing in the engine.
	// UnloadTime is how long after an unload the next order is accepted.
	OrderTime, UnloadTime time.Duration
	// AdapterKeepTime is how long an adapter is kept after it became ready and after its last use.
	AdapterKeepTime time.Duration
	// CopyShare is the share of an engine's slots that the requests for one model, of all instances together, may take
	// before another copy is worth its memory. A copy for every 12 requests, on engines with 64 slots, left too little
	// memory for rare models: .023 +- .007 of the score (24 paired runs on the users' platform).
	CopyShare float64
	// SpareRate is the rate, in requests per second, from which a model gets a second copy, so that the loss of an
	// engine does not interrupt it.
	SpareRate float64
	// AdapterTime is how long an adapter takes to load.
	AdapterTime time.Duration
	// RemoteWindow is the window over which loads from the weight store are counted.
	RemoteWindow time.Duration
	// RemoteConcurrency is the number of concurrent loads from the weight store that are tried while its speed is
	// unknown: a second load shows whether concurrent loads share the bandwidth.
	RemoteConcurrency float64
	// RemoteOverage times the weight store's rate over the window, plus RemoteExtra, is the maximum number of loads that
	// may start within a window, across all lease holders.
	RemoteOverage, RemoteExtra float64
	// EngineTimeCost is the minimum cost of a second in which an engine can load nothing else, in seconds of waiting of
	// a request of weight 1, so that models with similar demand are not swapped proactively.
	EngineTimeCost float64
	// Horizon is the time over which the benefit of a copy counts: a copy that is not used within it would have been
	// evicted for another one anyway.
	Horizon time.Duration
	// WaitingLifetime is how long an instance's report of waiting requests is valid.
	WaitingLifetime time.Duration
}

// DefaultParams returns the default parameters. Load times come from the configuration. Order times were measured on
// the users' platform (50 to 60 ms for an unload, 20 ms beyond a load's time) and are only the initial values of what
// is learned. docs/DECISIONS.md has the measurements behind the others.
func DefaultParams() Params {
	return Params{
		DemandWindow: 4 * time.Second, IdleRate: 0.001, Horizon: 4 * time.Second, WaitingLifetime: 1500 * time.Millisecond,
		RunningWait: 2 * time.Second, OrderTime: 30 * time.Millisecond, UnloadTime: 60 * time.Millisecond,
		AdapterTime: 80 * time.Millisecond, AdapterKeepTime: time.Second,
		CopyShare: 0.5, SpareRate: 1.5, EngineTimeCost: 0.5,
		RemoteWindow: 5 * time.Second, RemoteConcurrency: 2, RemoteOverage: 1, RemoteExtra: 3,
	}
}
