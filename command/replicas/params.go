package replicas

import "time"

// Params set how models are placed.
type Params struct {
	// DemandWindow is the time constant of rates: a shift of demand shows
	// within it, single requests for rare models do not outlast it by much.
	DemandWindow time.Duration
	// ForgetRate is the rate, a second, below which a model counts as idle.
	ForgetRate float64
	// RunningWait is how long an unload is expected to wait for requests that
	// run: about the length of a generation.
	RunningWait time.Duration
	// OrderTime is what a load adds to its configured time: a round trip and
	// the engine's own. UnloadTime is what an unload takes before the next
	// order is accepted.
	OrderTime, UnloadTime time.Duration
	// KeepFor is how long an adapter is kept after it is ready and after its last
	// use.
	KeepFor time.Duration
	// CopyShare is the part of an engine's places that the requests for one model may
	// take up on it, all instances together, before another copy is worth its memory.
	// A copy for every 12 requests, on engines with 64 places, left rare models too
	// little: .023 +- .007 of worth (24 pairs of days on the users' platform).
	CopyShare float64
	// SpareRate is the rate, a second, from which a model has a second copy,
	// so that the loss of an engine does not stop it.
	SpareRate float64
	// AdapterTime is how long an adapter takes to load.
	AdapterTime time.Duration
	// RemoteWindow is the time over which loads from the weight store are counted.
	RemoteWindow time.Duration
	// RemoteAtOnce is how many loads from the weight store are tried together while
	// nothing is known of its speed: a second one shows whether it has to share.
	RemoteAtOnce float64
	// RemoteOverage times what the weight store's rate gives in a window, and
	// RemoteExtra more loads, may begin within one at the most, whoever holds the lease
	// meanwhile.
	RemoteOverage, RemoteExtra float64
	// EngineTimeCost is the least that a second costs in which an engine can load nothing
	// else, in seconds of waiting, so that models that are asked for alike are not
	// exchanged ahead of requests.
	EngineTimeCost float64
	// Horizon is the time within which a copy counts: one that is not asked for
	// within it would have been evicted for another anyway.
	Horizon time.Duration
	// WantLifetime is how long a wanted model is remembered after it was last
	// asked for.
	WantLifetime time.Duration
}

// DefaultParams returns the parameters used unless set otherwise. Times of
// loads come from the configuration; the times of orders were measured on the
// users' platform (50 to 60 ms for an unload, 20 ms beyond a load's time) and only
// begin what is learned. docs/DECISIONS.md has what was measured for the others.
func DefaultParams() Params {
	return Params{
		DemandWindow: 4 * time.Second, ForgetRate: 0.001, Horizon: 4 * time.Second, WantLifetime: 1500 * time.Millisecond,
		RunningWait: 2 * time.Second, OrderTime: 30 * time.Millisecond, UnloadTime: 60 * time.Millisecond,
		AdapterTime: 80 * time.Millisecond, KeepFor: time.Second,
		CopyShare: 0.5, SpareRate: 1.5, EngineTimeCost: 0.5,
		RemoteWindow: 5 * time.Second, RemoteAtOnce: 2, RemoteOverage: 1, RemoteExtra: 3,
	}
}
