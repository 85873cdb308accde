package serving

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies the content of a request. Two attempts of the same request have the same fingerprint,
// whatever their request ids and whichever instances they reach.
type Fingerprint string

// fingerprintBytes is the number of bytes of the digest that are kept: enough that nobody can construct a request
// with the fingerprint of another one.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of a request: a digest of its method, host, target and body. If there is no
// body, many clients send the same request. The client's address is then included, so that the requests of one
// client have no effect on those of others.
func FingerprintOf(r *Request, client string) Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, normalizeHost(r.Host), r.Target} {
		writePart(h.Write, []byte(part))
	}
	writePart(h.Write, r.Body)
	if len(r.Body) == 0 {
		writePart(h.Write, []byte(client))
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writePart writes a part after its length, so that different lists of parts never produce the same bytes.
func writePart(write func([]byte) (int, error), part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = write(length[:]) // a hash never returns an error
	_, _ = write(part)
}
