// Package table holds what an instance knows of the fleet, shared by all its
// workers: the declaration in force, the instances, and the engines.
//
// Lock order: Config, then Members, then Engines. No lock is held over a call
// to another process, and none of the tables calls out while it holds its own.
//
// What is in Members and Engines may be old or wrong. Decisions based on it
// cost time when it is, never safety.
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

// Tables is all shared state of one instance.
type Tables struct {
	Config  *Config
	Members *Members
	Engines *Engines
}

// New returns empty tables. self is this instance's own entry.
func New(self Member) *Tables {
	log := &changeLog{changed: make(chan struct{})}
	return &Tables{
		Config:  &Config{},
		Members: newMembers(self, log),
		Engines: newEngines(log),
	}
}

// Config is the declaration in force. It only ever moves to newer generations.
type Config struct {
	mu      sync.Mutex // serialises Apply
	current atomic.Pointer[Accepted]
}

// Accepted is an accepted declaration as kept in the platform and relayed
// between instances.
type Accepted struct {
	Generation int64  `json:"generation"`
	PlanID     string `json:"plan_id"`
	// Compressed is the operators' YAML, byte for byte, under gzip: at the
	// two-year size it is relayed hundreds of times a day.
	Compressed []byte `json:"compressed"`
	// Plans are the ids of the plans accepted last, newest at the end.
	Plans []string `json:"plans"`

	index *declaration.Index
}

// Index returns the parsed declaration.
func (a *Accepted) Index() *declaration.Index { return a.index }

// SetSource puts the operators' YAML in.
func (a *Accepted) SetSource(source []byte) error {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(source); err != nil {
		return errors.Wrap(err, "table: compress")
	}
	if err := w.Close(); err != nil {
		return errors.Wrap(err, "table: compress")
	}
	a.Compressed = packed.Bytes()
	return nil
}

// MaxSourceBytes bounds a declaration, packed or not.
const MaxSourceBytes = 4 << 20

// Source returns the operators' YAML.
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

// Parse fills in the index.
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

// emptyIndex is in force before the first declaration.
var emptyIndex = declaration.NewIndex(0, "", &declaration.Declaration{})

// Accept parses a and puts it in force if it is newer than what is, and reports
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

// Apply puts a in force if it is newer than what is, and reports whether it did.
func (c *Config) Apply(a *Accepted) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.current.Load(); now != nil && now.Generation >= a.Generation {
		return false
	}
	c.current.Store(a)
	return true
}

// Accepted returns the accepted declaration in force, nil before the first.
func (c *Config) Accepted() *Accepted { return c.current.Load() }

// Index returns the declaration in force; it is empty before the first.
func (c *Config) Index() *declaration.Index {
	if a := c.current.Load(); a != nil {
		return a.index
	}
	return emptyIndex
}

// changeLog numbers the changes of all tables, so that a peer can be sent only
// what changed since it last asked.
type changeLog struct {
	mu       sync.Mutex
	sequence uint64        // guarded by mu
	changed  chan struct{} // guarded by mu; closed at each change
}

func (l *changeLog) next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	close(l.changed)
	l.changed = make(chan struct{})
	return l.sequence
}

// Mark returns the number of the last change and a channel that is closed at
// the next one.
func (l *changeLog) Mark() (uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence, l.changed
}
