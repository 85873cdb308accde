package quarantine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/martenport/martenport/serving"
)

// A part of a prompt may crash each server that begins to answer a request with it, whatever else the request holds.
// No two such requests are alike, so that a limit on each request does not limit the crashes. A part is therefore
// recorded like a request, under a fingerprint of its own: it becomes a suspect and is quarantined by the same rules.
// It is cleared whenever an answer to a request with it has begun. The last part of a prompt is the request's own.

// Identity is by what a request is recognized: its own fingerprint, and the parts of its prompt.
type Identity struct {
	Fingerprint serving.Fingerprint
	Service     string
	// PromptParts are as in serving.Request.
	PromptParts []string
}

// Bounds of the parts of one prompt that are recorded. Clients choose the parts.
const (
	maxParts  = 16
	maxPartID = 64 // bytes
)

// partPrefix begins the fingerprints of parts. Those of requests are hexadecimal.
const partPrefix = "part-"

// IsPart reports whether a fingerprint is that of a part.
func IsPart(fp serving.Fingerprint) bool { return strings.HasPrefix(string(fp), partPrefix) }

// compareRequestsFirst orders fingerprints of requests before those of parts. Crashes are counted in this order, since those
// of a request that is sent repeatedly must not be attributed to a part of its prompt.
func compareRequestsFirst(a, b serving.Fingerprint) int {
	if IsPart(a) != IsPart(b) {
		if IsPart(b) {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a), string(b))
}

// partHash returns the hash of the part with a fingerprint, and false if the fingerprint is that of a request.
func partHash(fp serving.Fingerprint) (uint64, bool) {
	text, found := strings.CutPrefix(string(fp), partPrefix)
	if !found {
		return 0, false
	}
	hash, err := strconv.ParseUint(text, 16, 64)
	return hash, err == nil
}

// partFingerprint returns the fingerprint of the part with a hash.
func partFingerprint(hash uint64) serving.Fingerprint {
	return serving.Fingerprint(fmt.Sprintf("%s%016x", partPrefix, hash))
}

// eachPart calls f with the hash and the ID of each recorded part of the prompt.
func (i *Identity) eachPart(f func(hash uint64, id string)) {
	for n, part := range i.PromptParts {
		if n == maxParts || n == len(i.PromptParts)-1 {
			return
		}
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		if id == "" || len(id) > maxPartID {
			continue
		}
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(i.Service) // a hash never returns an error
		_, _ = d.Write(partSeparator)
		_, _ = d.WriteString(id)
		f(d.Sum64(), id)
	}
}

// partSeparator makes the hash inputs of ("ab", "c") and ("a", "bc") distinct.
var partSeparator = []byte{0}

// partHashes returns the hashes of the recorded parts of the prompt.
func (i *Identity) partHashes() []uint64 {
	var hashes []uint64
	i.eachPart(func(hash uint64, _ string) { hashes = append(hashes, hash) })
	return hashes
}

// partFingerprints returns the fingerprints of the recorded parts of the prompt.
func (i *Identity) partFingerprints() []serving.Fingerprint {
	var fps []serving.Fingerprint
	i.eachPart(func(hash uint64, _ string) { fps = append(fps, partFingerprint(hash)) })
	return fps
}

// fingerprints returns the fingerprints of the request and of the recorded parts of its prompt.
func (i *Identity) fingerprints() []serving.Fingerprint {
	return append([]serving.Fingerprint{i.Fingerprint}, i.partFingerprints()...)
}

// partSubject describes a part for operators.
func partSubject(service, id string) string { return "part " + id + " of prompts for " + service }
