package serving

import (
	"testing"
	"time"
)

func TestContended(t *testing.T) {
	route := func(service string, objective time.Duration) Route {
		return Route{Objective: objective, Targets: []Target{{Service: service, Weight: 1}}}
	}
	tests := []struct {
		name   string
		routes []Route
		want   bool
	}{
		{"one kind of caller", []Route{route("engines", time.Second)}, false},
		{"objectives close together", []Route{route("engines", time.Second), route("engines", 1500*time.Millisecond)}, false},
		{"objectives far apart", []Route{route("engines", time.Second), route("engines", 5*time.Second)}, true},
		{"no objective configured", []Route{route("engines", 0), route("engines", time.Second)}, false},
		{"other service is patient", []Route{route("engines", time.Second), route("plain", 5*time.Second)}, false},
	}
	for _, test := range tests {
		c := Config{Routes: test.routes, Services: map[string]Service{"engines": {Name: "engines", Engine: &EngineSpec{}}, "plain": {Name: "plain"}}}
		if err := c.Index(); err != nil {
			t.Fatal(err)
		}
		if got := c.Contended("engines"); got != test.want {
			t.Errorf("%s: contended = %v, want %v", test.name, got, test.want)
		}
		if c.Contended("plain") {
			t.Errorf("%s: a service without engines is contended", test.name)
		}
	}
}
