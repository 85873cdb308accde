package serving

import (
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/errors"
)

// KeyDigest stands for a key. Keys themselves are secrets, and are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// KeyForm says how a request bears its key.
type KeyForm int

// The forms of keys.
const (
	// KeyMissing: there is none.
	KeyMissing KeyForm = iota
	// KeyGiven: there is one.
	KeyGiven
	// KeyRepeated: there are several, and it cannot be told which is meant.
	KeyRepeated
)

// Credential is what a request bears to show whose it is.
type Credential struct {
	Form KeyForm
	// Digest of the key, where there is one.
	Digest KeyDigest
}

// Workspace is whose requests are: each has keys of its own, a rank and a limit.
type Workspace struct {
	Name string
	// Keys that its requests may bear.
	Keys []KeyDigest
	// Ranked: its requests have its Priority and not that of their route.
	Ranked   bool
	Priority int
	Limit    Limit
}

// Limit bounds what a workspace asks for at all instances together.
type Limit struct {
	// Tokens: requests count by their tokens, otherwise as one each.
	Tokens bool
	// Rate is what is allowed a second, and Burst what may be saved up. There is no limit if
	// Rate is 0.
	Rate, Burst float64
	// Plain is what a request counts that does not say how many tokens it has.
	Plain float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns what a request counts against the limit. It fails if the request says how many
// tokens it has in a way that cannot be read.
func (l Limit) Cost(r *Request) (float64, error) {
	switch {
	case !l.Tokens:
		return 1, nil
	case !r.Sized:
		return l.Plain, nil
	case r.BadSize:
		return 0, errors.New("the number of tokens cannot be read: give PROMPT,OUTPUT, each 0 or more")
	}
	return float64(r.PromptTokens) + float64(r.OutputTokens), nil
}

// Guarded reports whether requests need a key, but for those of public routes.
func (c *Config) Guarded() bool { return c.Workspaces != nil }

// Limited reports whether a workspace has a limit.
func (c *Config) Limited() bool {
	return slices.ContainsFunc(c.Workspaces, func(w Workspace) bool { return w.Limit.Limited() })
}

// WorkspaceOf returns the workspace that has a key, nil if none has.
func (c *Config) WorkspaceOf(key KeyDigest) *Workspace { return c.byKey[key] }

// Workspace returns a workspace by its name, nil if there is none.
func (c *Config) Workspace(name string) *Workspace { return c.byName[name] }

// indexWorkspaces prepares the configuration for Workspace and WorkspaceOf. It fails if two
// workspaces cannot be told apart by their names and keys.
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
