package serving

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint names what a request asks for: two tries of the same request, whatever ids
// they bear and whichever instances they reach, have the same one.
type Fingerprint string

// fingerprintBytes is how much of the digest is kept: enough that nobody can make a
// request that is taken for another's.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of a request: a digest of its method, host, target
// and body. Where there is no body many clients ask for the same, and the client's address
// is part of it, so that one client's requests do not speak for all others.
func FingerprintOf(r *Request, client string) Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, normalHost(r.Host), r.Target} {
		writePart(h.Write, []byte(part))
	}
	writePart(h.Write, r.Body)
	if len(r.Body) == 0 {
		writePart(h.Write, []byte(client))
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writePart writes a part behind its length, so that no two lists of parts look alike.
func writePart(write func([]byte) (int, error), part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = write(length[:]) // a digest does not fail
	_, _ = write(part)
}
