// Package waitlist lets requests that were refused for lack of room return in order. It is pure: the current
// time is passed in, and nothing is sent.
//
// It answers the load of a model that gets several times the requests that its engines serve. If each try is
// admitted at random, the requests that return compete with those that just came, and one that has waited
// longest is refused again as likely as any. Instead the instances (Desk) report the requests that they
// refuse, and the lease holder (List) keeps them in the order of their first refusals and names those whose
// turn it is. Every instance admits these when they return, and tells the others how long the list is.
//
// Nothing depends on the list for safety: it is in the holder's memory, bounded, and its entries lapse. If the
// holder is lost, its successor begins with an empty list, which fills again from the next refusals; until then
// instances refuse and admit as without a list. A request that two instances admit is one request too many for
// a moment.
package waitlist

import (
	"time"

	"github.com/martenport/martenport/serving"
)

const (
	// maxReported bounds the requests that one report names as refused and as begun.
	maxReported = 64
	// maxClasses bounds the traffic classes of a model that have turns.
	maxClasses = 8
	// askedWindow is the averaging time of the refused requests by class.
	askedWindow = 3 * time.Second
	// maxDue bounds the requests that are named as due at a time, and maxModels the models with a list.
	maxDue, maxModels = 128, 64
	// maxQueues bounds the queues that are described in a message.
	maxQueues = 64
	// maxListed bounds the list of a model; with maxModels it bounds the memory of the holder to about 2 MB.
	maxListed = 256
	// listedLifetime is how long a request is kept that does not return. Clients that wait longer are rare.
	listedLifetime = 10 * time.Second
	// dueLifetime is how long a request stays due: the time until the reply arrives, and a return that is a
	// little late.
	dueLifetime = 3 * time.Second
	// dueAhead is how long before its turn a request is named, so that every instance knows of it in time: the
	// usual time between reports.
	dueAhead = 500 * time.Millisecond
	// dueFraction is the part of what a model's engines serve that is kept for the list. The rest is left to
	// requests that just came, since not all of those refused return.
	dueFraction = 0.8
)

// Refused is a request that an instance refused for lack of room.
type Refused struct {
	// Request has the first bytes of the request's fingerprint.
	Request uint64
	Model   string
	Class   serving.TrafficClass
	// Age is the time since the refusal.
	Age time.Duration
	// TooLate is set if its turn would come too late for its client. It is counted, and has no turn.
	TooLate bool
}

// Report is what an instance tells the holder: the requests that it refused, and the due ones that it admitted.
type Report struct {
	Refused []Refused
	Begun   []uint64
}

// Queue describes the list of a model and class to instances.
type Queue struct {
	Model string
	Class serving.TrafficClass
	// Wait is the expected time until the turn of a request that is refused now, and Each the time between
	// two turns.
	Wait, Each time.Duration
}

// Key is what is listed together.
type Key struct {
	Model string
	Class serving.TrafficClass
}

// Update is what the holder tells all instances: the requests that are due, and the queues.
type Update struct {
	Due    []uint64
	Queues []Queue
}
