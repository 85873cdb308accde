package explain

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/martenport/martenport/serving"
)

// Outcome is how a request ended from its client's point of view.
type Outcome string

// Outcomes of requests.
const (
	OnTime  Outcome = "on_time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Abandoned means that the client disconnected before the request ended.
	Abandoned Outcome = "left"
)

// Group is the set of requests of one priority with the same outcome and cause.
type Group struct {
	// Priority is noPriority for requests that matched no route.
	Priority int     `json:"priority"`
	Outcome  Outcome `json:"outcome"`
	// Cause is what the requests waited for longest, or what else delayed them or made them fail;
	// empty if nothing did.
	Cause string `json:"for"`
	// Requests is the number of requests, Share their fraction of all requests, and WeightShare
	// their fraction of the total weight, which depends on the priority.
	Requests    int     `json:"requests"`
	Share       float64 `json:"share"`
	WeightShare float64 `json:"worth"`
}

// causeEngine is the cause of requests that an engine was slow to start.
const causeEngine = "engine"

// Outcomes groups all requests whose end is logged, ordered by priority and then by descending
// number of requests.
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
		requests := requestsOf(l)
		counts[key{priority, outcome, causeOf(l, outcome)}] += requests
		total += requests
		weight += float64(requests) * weightOf(priority)
	}
	groups := make([]Group, 0, len(counts))
	for k, n := range counts {
		groups = append(groups, Group{
			Priority: k.priority, Outcome: k.outcome, Cause: k.cause, Requests: n,
			Share: float64(n) / float64(total), WeightShare: float64(n) * weightOf(k.priority) / max(weight, minWeight),
		})
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Requests, a.Requests),
			cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return groups
}

// messageOmitted is the message of lines that state how many refusals have no line of their own.
const messageOmitted = "refusals not logged one by one"

// requestsOf returns the number of requests whose end a line states.
func requestsOf(l Line) int {
	if l.Message == messageOmitted {
		return intField(l, "requests")
	}
	return 1
}

// noPriority is the priority of requests without a route, whose weight is 0.
const noPriority = -1

// minWeight is less than the weight of any request and prevents a division by zero.
const minWeight = 1e-9

func priorityOf(l Line) int {
	if l.Fields["priority"] == "" {
		return noPriority
	}
	return intField(l, "priority")
}

func weightOf(priority int) float64 {
	if priority == noPriority {
		return 0
	}
	return serving.Weight(priority)
}

// outcomeOf returns the outcome of a request and whether the line is the request's last one. Other
// lines have no outcome.
func outcomeOf(l Line) (Outcome, bool) {
	switch {
	case l.Message == "request answered":
		return answeredOutcome(l), true
	case strings.HasPrefix(l.Message, "request not answered"), strings.HasPrefix(l.Message, "request refused"), l.Message == messageOmitted:
		return unansweredOutcome(l), true
	default:
		return "", false
	}
}

func answeredOutcome(l Line) Outcome {
	const firstServerError = 500
	switch {
	case intField(l, "status") >= firstServerError:
		return Failed
	case objectiveMS(l) > 0 && responseTimeMS(l) > objectiveMS(l):
		return Late
	default:
		return OnTime
	}
}

func unansweredOutcome(l Line) Outcome {
	switch {
	case l.Fields["reason"] == "cancelled":
		return Abandoned
	case l.Fields["verdict"] == "NotRun", strings.HasPrefix(l.Message, "request refused"):
		return Refused
	default:
		return Failed
	}
}

// causeOf returns the cause of an outcome: what the request waited for, the engine if it was slow
// without such a wait, or the reason that the instance logged.
func causeOf(l Line, outcome Outcome) string {
	waited := l.Fields["waited_for"]
	switch {
	case outcome == OnTime:
		return ""
	case outcome == Late && waited != "" && 2*intField(l, "waited_ms") >= responseTimeMS(l):
		return waited
	case outcome == Late:
		return causeEngine
	case outcome == Refused && waited != "":
		return waited
	case l.Fields["reason"] != "":
		return l.Fields["reason"]
	default:
		return "status " + l.Fields["status"]
	}
}

// responseTimeMS returns how long the client waited, in milliseconds: for the first event of a
// stream, or for the whole response.
func responseTimeMS(l Line) int {
	if l.Fields["first_ms"] != "" {
		return intField(l, "first_ms")
	}
	return intField(l, "ms")
}

func objectiveMS(l Line) int { return intField(l, "objective_ms") }

// intField returns the integer value of a field, 0 if the line lacks the field or it is no integer.
func intField(l Line, key string) int {
	n, err := strconv.Atoi(l.Fields[key])
	if err != nil {
		return 0
	}
	return n
}
