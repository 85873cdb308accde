package standin

import (
	"maps"
	"slices"
	"strings"

	"github.com/martenport/martenport/store"
)

// Copy is a state of a Platform.
type Copy struct {
	objects  map[string]store.Object
	revision store.Revision
}

// Copy returns the platform's state.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{objects: maps.Clone(p.objects), revision: p.revision}
}

// Restore has the platform come back from a copy: its next era begins, what was written since is
// gone, and its numbers are given out again. Whoever writes under the prefixes writes again what
// the copy lacks.
func (p *Platform) Restore(c Copy, writtenAgain ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	era, lost := p.revision.Era()+1, p.objects
	p.revision = store.RevisionOf(era, c.revision.Number())
	p.objects = make(map[string]store.Object, len(c.objects))
	for key, obj := range c.objects {
		obj.Version = store.RevisionOf(era, obj.Version.Number())
		p.objects[key] = obj
	}
	for _, key := range slices.Sorted(maps.Keys(lost)) {
		again := slices.ContainsFunc(writtenAgain, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
		if obj := lost[key]; again && obj.Version.Number() > c.revision.Number() {
			p.revision++
			obj.Version = p.revision
			p.objects[key] = obj
		}
	}
	p.wake()
}
