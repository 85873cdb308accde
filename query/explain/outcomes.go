package explain

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/martenport/martenport/serving"
)

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes.
const (
	OnTime  Outcome = "on_time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Left: the client did not wait for the end.
	Left Outcome = "left"
)

// Group is the requests of a priority that ended alike for the same reason.
type Group struct {
	// Priority is noPriority for requests that no route was found for.
	Priority int     `json:"priority"`
	Outcome  Outcome `json:"outcome"`
	// For is what they waited for most, or what else made them late or fail; empty
	// if nothing did.
	For string `json:"for"`
	// Requests is their number, Share that of all, and Worth their part of the weight
	// of all, by priority.
	Requests int     `json:"requests"`
	Share    float64 `json:"share"`
	Worth    float64 `json:"worth"`
}

// forEngine is the reason of requests that an engine was slow to begin.
const forEngine = "engine"

// Outcomes groups all requests that the logs tell the end of, by priority and then by
// falling number.
func Outcomes(lines []Line) []Group {
	type key struct {
		priority int
		outcome  Outcome
		cause    string
	}
	counts := map[key]int{}
	total, weight := 0, 0.0
	for _, l := range lines {
		outcome, ended := outcomeOf(l)
		if !ended {
			continue
		}
		priority := priorityOf(l)
		counts[key{priority, outcome, causeOf(l, outcome)}]++
		total++
		weight += weightOf(priority)
	}
	groups := make([]Group, 0, len(counts))
	for k, n := range counts {
		groups = append(groups, Group{
			Priority: k.priority, Outcome: k.outcome, For: k.cause, Requests: n,
			Share: float64(n) / float64(total), Worth: float64(n) * weightOf(k.priority) / max(weight, leastWeight),
		})
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.For, b.For))
	})
	return groups
}

// noPriority is that of requests without a route, which weigh nothing.
const noPriority = -1

// leastWeight is below that of any request.
const leastWeight = 1e-9

func priorityOf(l Line) int {
	if l.Fields["priority"] == "" {
		return noPriority
	}
	return number(l, "priority")
}

func weightOf(priority int) float64 {
	if priority == noPriority {
		return 0
	}
	return serving.Weight(priority)
}

// outcomeOf says how a request ended, if the line is its last one.
func outcomeOf(l Line) (Outcome, bool) {
	switch {
	case l.Message == "request answered":
		return answered(l), true
	case strings.HasPrefix(l.Message, "request not answered"), strings.HasPrefix(l.Message, "request refused"):
		return unanswered(l), true
	default:
		return "", false
	}
}

func answered(l Line) Outcome {
	const firstFailure = 500
	switch {
	case number(l, "status") >= firstFailure:
		return Failed
	case objective(l) > 0 && firstAnswer(l) > objective(l):
		return Late
	default:
		return OnTime
	}
}

func unanswered(l Line) Outcome {
	switch {
	case l.Fields["reason"] == "cancelled":
		return Left
	case l.Fields["verdict"] == "NotRun", strings.HasPrefix(l.Message, "request refused"):
		return Refused
	default:
		return Failed
	}
}

// causeOf says why a request ended as it did: what it waited for, the engine if it was
// slow without that, or the reason that the instance gives.
func causeOf(l Line, outcome Outcome) string {
	waited := l.Fields["waited_for"]
	switch {
	case outcome == OnTime:
		return ""
	case outcome == Late && waited != "" && 2*number(l, "waited_ms") >= firstAnswer(l):
		return waited
	case outcome == Late:
		return forEngine
	case outcome == Refused && waited != "":
		return waited
	case l.Fields["reason"] != "":
		return l.Fields["reason"]
	default:
		return "status " + l.Fields["status"]
	}
}

// firstAnswer is how long the client waited, in milliseconds: for the first event of a
// stream, or the whole answer.
func firstAnswer(l Line) int {
	if l.Fields["first_ms"] != "" {
		return number(l, "first_ms")
	}
	return number(l, "ms")
}

func objective(l Line) int { return number(l, "objective_ms") }

// number reads a whole number; a line without it has none of what it counts.
func number(l Line, key string) int {
	n, err := strconv.Atoi(l.Fields[key])
	if err != nil {
		return 0
	}
	return n
}
