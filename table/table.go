// Package table holds an instance's view of the fleet, which is shared by all of its goroutines:
// the declaration in force, the instances, and the engines.
//
// Lock order: Config, then Members, then Engines. No lock is held during a call to another process,
// and no table calls out while its own lock is held.
//
// Members and Engines may be outdated or wrong. Decisions based on them may then cost time, but
// never safety.
package table

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/declaration"
)

// Tables is the shared state of one instance.
type Tables struct {
	Config  *Config
	Members *Members
	Engines *Engines
}

// New returns tables that contain only self, this instance's own entry.
func New(self Member) *Tables {
	log := &changeLog{changed: make(chan struct{})}
	return &Tables{
		Config:  &Config{},
		Members: newMembers(self, log),
		Engines: newEngines(log),
	}
}

// Config holds the declaration in force, which is only ever replaced by one of a newer generation.
type Config struct {
	mu      sync.Mutex // serializes Apply
	current atomic.Pointer[Accepted]
}

// Accepted is an accepted declaration as stored in the platform and relayed between instances.
type Accepted struct {
	Generation int64  `json:"generation"`
	PlanID     string `json:"plan_id"`
	// Compressed is the operators' YAML, unchanged and compressed with gzip, because at the size
	// expected in two years it is relayed hundreds of times a day.
	Compressed []byte `json:"compressed"`
	// Plans are the IDs of the most recently accepted plans, the newest last.
	Plans []string `json:"plans"`

	index *declaration.Index
}

// Index returns the parsed declaration, or nil before Parse.
func (a *Accepted) Index() *declaration.Index { return a.index }

// SetSource sets Compressed from the operators' YAML.
func (a *Accepted) SetSource(source []byte) error {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(source); err != nil {
		return errors.Wrap(err, "table: compress")
	}
	if err := w.Close(); err != nil {
		return errors.Wrap(err, "table: compress")
	}
	a.Compressed = compressed.Bytes()
	return nil
}

// MaxSourceBytes is the maximum size of a declaration, compressed or not.
const MaxSourceBytes = 4 << 20

// Source returns the operators' YAML, or nil if there is none.
func (a *Accepted) Source() ([]byte, error) {
	if len(a.Compressed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(a.Compressed))
	if err != nil {
		return nil, errors.Wrap(err, "table: decompress")
	}
	source, err := io.ReadAll(io.LimitReader(r, MaxSourceBytes))
	return source, errors.Wrap(err, "table: decompress")
}

// Parse decompresses and parses the source and sets the index.
func (a *Accepted) Parse() error {
	source, err := a.Source()
	if err != nil {
		return err
	}
	d, err := declaration.Parse("accepted", source)
	if err != nil {
		return err
	}
	a.index = declaration.NewIndex(a.Generation, a.PlanID, d)
	return nil
}

// emptyIndex is used until the first declaration is known.
var emptyIndex = declaration.NewIndex(0, "", &declaration.Declaration{})

// Accept parses a, puts it in force if it is newer than the current declaration, and reports
// whether it did.
func (c *Config) Accept(a *Accepted) (bool, error) {
	if a.Generation <= c.Index().Generation {
		return false, nil
	}
	if err := a.Parse(); err != nil {
		return false, err
	}
	return c.Apply(a), nil
}

// Apply puts a, which must have been parsed, in force if it is newer than the current declaration,
// and reports whether it did.
func (c *Config) Apply(a *Accepted) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.current.Load(); current != nil && current.Generation >= a.Generation {
		return false
	}
	c.current.Store(a)
	return true
}

// Accepted returns the declaration in force, or nil before the first one.
func (c *Config) Accepted() *Accepted { return c.current.Load() }

// Index returns the index of the declaration in force. It is empty before the first declaration.
func (c *Config) Index() *declaration.Index {
	if a := c.current.Load(); a != nil {
		return a.index
	}
	return emptyIndex
}

// changeLog assigns sequence numbers to the changes of all tables, so that a peer is sent only what
// changed since its last request.
type changeLog struct {
	mu       sync.Mutex
	sequence uint64        // guarded by mu
	changed  chan struct{} // guarded by mu; closed at each change
}

func (l *changeLog) advance() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	close(l.changed)
	l.changed = make(chan struct{})
	return l.sequence
}

// Changes returns the sequence number of the last change and a channel that is closed at the next
// change.
func (l *changeLog) Changes() (uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence, l.changed
}
