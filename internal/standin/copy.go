package standin

import (
	"maps"
	"slices"
	"strings"

	"github.com/martenport/martenport/store"
)

// Copy is a backup of the state of a Platform.
type Copy struct {
	objects  map[string]store.Object
	revision store.Revision
}

// Copy returns a backup of the platform's state.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{objects: maps.Clone(p.objects), revision: p.revision}
}

// Restore replaces the platform's state with a backup and begins a new era: later writes are lost, and their
// revision numbers are assigned again. Objects under the given prefixes that were written after the backup are
// written again, as their writers would do.
func (p *Platform) Restore(c Copy, rewrittenPrefixes ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	era, previous := p.revision.Era()+1, p.objects
	p.revision = store.RevisionOf(era, c.revision.Number())
	p.objects, p.changeLog = make(map[string]store.Object, len(c.objects)), nil
	for key, obj := range c.objects {
		obj.Version = store.RevisionOf(era, obj.Version.Number())
		p.objects[key] = obj
	}
	for _, key := range slices.Sorted(maps.Keys(previous)) {
		rewritten := slices.ContainsFunc(rewrittenPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
		if obj := previous[key]; rewritten && obj.Version.Number() > c.revision.Number() {
			p.revision++
			obj.Version = p.revision
			p.objects[key] = obj
		}
	}
	p.notifyChange()
}
