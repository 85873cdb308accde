package serving

import (
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/errors"
)

// KeyDigest is the digest of a key. The keys themselves are secret and are not stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// KeyForm states how many keys a request carries.
type KeyForm int

// The forms of keys.
const (
	// KeyMissing: the request carries no key.
	KeyMissing KeyForm = iota
	// KeyGiven: the request carries one key.
	KeyGiven
	// KeyRepeated: the request carries several keys, so it is ambiguous which one applies.
	KeyRepeated
)

// Credential identifies the workspace of a request.
type Credential struct {
	Form KeyForm
	// Digest is the digest of the key, if Form is KeyGiven.
	Digest KeyDigest
}

// Workspace is an owner of requests, with its own keys and limit and optionally its own priority.
type Workspace struct {
	Name string
	// Keys are the digests of the keys of the workspace.
	Keys []KeyDigest
	// HasPriority is set if requests of the workspace have its Priority instead of that of their route.
	HasPriority bool
	Priority    int
	Limit       Limit
}

// Limit bounds the requests of a workspace at all instances together.
type Limit struct {
	// Tokens is set if requests are counted by their tokens; otherwise each request counts as one.
	Tokens bool
	// Rate is the allowed amount per second and Burst the amount that may accumulate. There is no limit if Rate is 0.
	Rate, Burst float64
	// Plain is the cost of a request that does not announce its number of tokens.
	Plain float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns the cost of a request against the limit. It fails if the announced number of tokens could not be
// parsed.
func (l Limit) Cost(r *Request) (float64, error) {
	switch {
	case !l.Tokens:
		return 1, nil
	case !r.HasTokenCount:
		return l.Plain, nil
	case r.InvalidTokenCount:
		return 0, errors.New("the number of tokens cannot be read: give PROMPT,OUTPUT, each 0 or more")
	}
	return float64(r.PromptTokens) + float64(r.OutputTokens), nil
}

// KeysRequired reports whether requests need a key, except those of public routes.
func (c *Config) KeysRequired() bool { return c.Workspaces != nil }

// Limited reports whether any workspace has a limit.
func (c *Config) Limited() bool {
	return slices.ContainsFunc(c.Workspaces, func(w Workspace) bool { return w.Limit.Limited() })
}

// WorkspaceOf returns the workspace with the given key, nil if there is none.
func (c *Config) WorkspaceOf(key KeyDigest) *Workspace { return c.byKey[key] }

// Workspace returns the workspace with the given name, nil if there is none.
func (c *Config) Workspace(name string) *Workspace { return c.byName[name] }

// indexWorkspaces prepares the configuration for Workspace and WorkspaceOf. It fails if a workspace has no name or
// an empty key, or if two workspaces share a name or a key.
func (c *Config) indexWorkspaces() error {
	empty := DigestKey("")
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if w.Name == "" {
			return errors.Newf("workspace %d has no name", i)
		}
		if c.byName[w.Name] != nil {
			return errors.Newf("two workspaces are named %s", w.Name)
		}
		c.byName[w.Name] = w
		for n, key := range w.Keys {
			if key == empty {
				return errors.Newf("workspace %s: key %d is empty", w.Name, n)
			}
			if other := c.byKey[key]; other != nil {
				return errors.Newf("workspace %s: key %d is also one of workspace %s", w.Name, n, other.Name)
			}
			c.byKey[key] = w
		}
	}
	return nil
}
