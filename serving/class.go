package serving

import "time"

// TrafficClass groups the requests of routes that have the same priority and objective. Routes come and go with
// the configuration, while the number of classes stays small.
type TrafficClass struct {
	// Priority is that of the route or of the request's workspace; 0 is the highest.
	Priority int
	// Objective is the route's latency objective.
	Objective time.Duration
}

// Class returns the traffic class of the route's requests.
func (r *Route) Class() TrafficClass {
	return TrafficClass{Priority: r.Priority, Objective: r.Objective}
}

// minObjectiveSpread is the ratio of two objectives from which callers compete: the patient ones can wait while the
// urgent ones are served.
const minObjectiveSpread = 2

// Contended reports whether callers with objectives far apart share the engines of a service, according to the
// configured routes. Services without engines are never contended.
func (c *Config) Contended(service string) bool { return c.contended[service] }

// contendedServices returns the services for which Contended reports true.
func (c *Config) contendedServices() map[string]bool {
	shortest, contended := map[string]time.Duration{}, map[string]bool{}
	longest := map[string]time.Duration{}
	for i := range c.Routes {
		objective := c.Routes[i].Objective
		if objective <= 0 {
			continue
		}
		for _, t := range c.Routes[i].Targets {
			if s, known := shortest[t.Service]; !known || objective < s {
				shortest[t.Service] = objective
			}
			longest[t.Service] = max(longest[t.Service], objective)
		}
	}
	for name, objective := range shortest {
		if c.Services[name].Engine != nil && longest[name] >= minObjectiveSpread*objective {
			contended[name] = true
		}
	}
	return contended
}

// LowestPriority is the lowest priority that engines support.
const LowestPriority = 9

// maxObjective bounds the objectives of classes.
const maxObjective = time.Hour

// OtherClass is the class of requests whose own class is not counted, because there are too many.
var OtherClass = TrafficClass{Priority: LowestPriority, Objective: maxObjective}

// Bounded returns the class with priority and objective within what is supported, whatever is configured.
func (c TrafficClass) Bounded() TrafficClass {
	return TrafficClass{Priority: min(LowestPriority, max(0, c.Priority)), Objective: min(maxObjective, max(0, c.Objective))}
}
