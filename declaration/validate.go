package declaration

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"time"

	"github.com/dustin/go-humanize"
)

// maxDeadline is the maximum declared deadline. The longest requests are overnight
// jobs, which take less than a day.
const maxDeadline = 24 * time.Hour

// namePattern matches valid names of all kinds. Names become parts of object keys
// and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// IsName reports whether s is a valid name for an instance, a failure domain or any
// declared object.
func IsName(s string) bool { return namePattern.MatchString(s) }

// checker validates one declaration and collects its faults.
type checker struct {
	d      *Declaration
	faults []Fault
}

// Validate returns all faults of d, nil if it is valid.
func Validate(d *Declaration) []Fault {
	c := &checker{d: d}
	c.domains()
	c.weights()
	c.engines()
	c.models()
	c.adapters()
	c.services()
	return c.faults
}

func (c *checker) fault(path, message, hint string) {
	c.faults = append(c.faults, Fault{Path: path, Message: message, Hint: hint})
}

// name checks that a name is valid and not in seen, and adds it there.
func (c *checker) name(path, name string, seen map[string]bool) {
	if !IsName(name) {
		c.fault(path, fmt.Sprintf("%q is not a name", name), "use 1 to 63 of a-z, 0-9, dot, dash and underscore")
	}
	if seen[name] {
		c.fault(path, fmt.Sprintf("%q is declared twice", name), "remove or rename one of them")
	}
	seen[name] = true
}

func (c *checker) domain(path, domain string) {
	if !slices.Contains(c.d.FailureDomains, domain) {
		c.fault(path, fmt.Sprintf("failure domain %q is not declared", domain), "add it to failureDomains or correct the name")
	}
}

func (c *checker) address(path, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		c.fault(path, fmt.Sprintf("%q is not host:port", address), "write it as 10.0.0.1:9000")
	}
}

func (c *checker) deadline(path string, d time.Duration) {
	if d <= 0 || d > maxDeadline {
		c.fault(path, fmt.Sprintf("deadline %v is out of range", d), "give a duration above 0s and at most 24h, such as 30s")
	}
}

func (c *checker) version(path, version string) {
	if version == "" {
		c.fault(path, "version is missing", `give one, such as "1"`)
	}
}

func (c *checker) domains() {
	if len(c.d.FailureDomains) == 0 {
		c.fault("$.failureDomains", "no failure domain", "list at least one")
	}
	seen := map[string]bool{}
	for i, name := range c.d.FailureDomains {
		c.name(fmt.Sprintf("$.failureDomains[%d]", i), name, seen)
	}
}

func (c *checker) weights() {
	if c.d.TailWeight < 0 || c.d.TailWeight > 1 {
		c.fault("$.tailWeight", fmt.Sprintf("%v is out of range", c.d.TailWeight), "give a number from 0 to 1")
	}
	if c.d.WeightStore.StartsPerSecond <= 0 {
		c.fault("$.weightStore.startsPerSecond", "must be above 0", "give the weight store's loads a second, such as 3")
	}
	if c.d.WeightStore.Streams < 1 {
		c.fault("$.weightStore.streams", "must be at least 1", "give the loads that run at full speed at once, such as 4")
	}
}

func (c *checker) engines() {
	seen := map[string]bool{}
	for i, e := range c.d.Engines {
		path := fmt.Sprintf("$.engines[%d]", i)
		c.name(path+".name", e.Name, seen)
		c.domain(path+".failureDomain", e.FailureDomain)
		c.address(path+".address", e.Address)
		if e.Memory <= 0 {
			c.fault(path+".memory", "must be above 0", "give the accelerator memory, such as 80GiB")
		}
		if e.Role != "" && !IsName(e.Role) {
			c.fault(path+".role", fmt.Sprintf("%q is not a role", e.Role), "use 1 to 63 of a-z, 0-9, dot, dash and underscore")
		}
	}
}

func (c *checker) models() {
	seen := map[string]bool{}
	for i := range c.d.Models {
		m := &c.d.Models[i]
		path := fmt.Sprintf("$.models[%d]", i)
		c.name(path+".name", m.Name, seen)
		c.version(path+".version", m.Version)
		c.deadline(path+".deadline", m.Deadline)
		if m.MaxReplicas < 0 {
			c.fault(path+".maxReplicas", fmt.Sprintf("%d is below zero", m.MaxReplicas), "give 0 to serve none")
		}
		if m.QueueLimit < 0 {
			c.fault(path+".queueLimit", fmt.Sprintf("%d is below zero", m.QueueLimit), "leave it out to take the instance's setting")
		}
		for j, domain := range m.FailureDomains {
			c.domain(fmt.Sprintf("%s.failureDomains[%d]", path, j), domain)
		}
		c.modelMemory(path+".memory", m)
	}
}

func (c *checker) modelMemory(path string, m *Model) {
	if m.Memory <= 0 {
		c.fault(path, "must be above 0", "give what one replica occupies, such as 14GiB")
		return
	}
	largest := Size(0)
	for _, e := range c.d.Engines {
		if m.AllowedIn(e.FailureDomain) {
			largest = max(largest, e.Memory)
		}
	}
	if m.Memory > largest {
		c.fault(path, fmt.Sprintf("%s is more than any engine allowed for the model has (%s)", humanize.IBytes(uint64(m.Memory)), humanize.IBytes(uint64(largest))),
			"correct the size, or allow a failure domain with a larger engine")
	}
}

func (c *checker) adapters() {
	models := map[string]bool{}
	for _, m := range c.d.Models {
		models[m.Name] = true
	}
	seen := map[AdapterID]bool{}
	for i, a := range c.d.Adapters {
		path := fmt.Sprintf("$.adapters[%d]", i)
		c.name(path+".name", a.Name, map[string]bool{})
		c.version(path+".version", a.Version)
		if !models[a.Model] {
			c.fault(path+".model", fmt.Sprintf("model %q is not declared", a.Model), "declare it or correct the name")
		}
		if a.Memory <= 0 {
			c.fault(path+".memory", "must be above 0", "give what the adapter occupies, such as 200MiB")
		}
		id := AdapterID{a.Model, a.Name}
		if seen[id] {
			c.fault(path+".name", fmt.Sprintf("%q is declared twice for model %q", a.Name, a.Model), "remove or rename one of them")
		}
		seen[id] = true
	}
}

func (c *checker) services() {
	seen := map[string]bool{}
	for i, s := range c.d.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		c.name(path+".name", s.Name, seen)
		c.deadline(path+".deadline", s.Deadline)
		methods := map[string]bool{}
		for j, m := range s.Methods {
			c.name(fmt.Sprintf("%s.methods[%d].name", path, j), m.Name, methods)
		}
		instances := map[string]bool{}
		for j, b := range s.Instances {
			at := fmt.Sprintf("%s.instances[%d]", path, j)
			c.name(at+".name", b.Name, instances)
			c.domain(at+".failureDomain", b.FailureDomain)
			c.address(at+".address", b.Address)
		}
	}
}
