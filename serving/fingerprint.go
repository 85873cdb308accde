package serving

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Fingerprint identifies the content of a request. Two attempts of the same request have the same fingerprint,
// whatever their request ids and whichever instances they reach.
type Fingerprint string

// fingerprintBytes is the number of bytes of the digest that are kept: enough that nobody can construct a request
// with the fingerprint of another one.
const fingerprintBytes = 16

// selectingHeaders are the headers that determine which representation of its target a request without a body asks for.
// Headers that clients may set anew for each attempt, as signatures and cookies, are not among them.
var selectingHeaders = []string{"Accept", "Accept-Encoding", "Accept-Language", "Range"}

// FingerprintOf returns the fingerprint of a request: a digest of its method, host, target and body, and of its
// selecting headers if it has no body. It does not depend on the client's address, since one caller may have several.
func FingerprintOf(r *Request) Fingerprint {
	parts := [][]byte{[]byte(r.Method), []byte(normalizeHost(r.Host)), []byte(r.Target), r.Body}
	if len(r.Body) == 0 {
		for _, name := range selectingHeaders {
			parts = append(parts, []byte(strings.Join(r.Header.Values(name), ",")))
		}
	}
	return digest(parts...)
}

// InWorkspace returns the fingerprint of a request of a workspace: a request that harms servers must not have the same
// request of another workspace refused, which may differ in what fingerprints leave out.
func (f Fingerprint) InWorkspace(name string) Fingerprint { return digest([]byte(f), []byte(name)) }

// ClientFingerprint identifies the request as that of one client, for what clients are promised one by one. Many clients
// send the same request without a body; they are told apart by their addresses.
func (r *Request) ClientFingerprint() Fingerprint {
	if len(r.Body) > 0 || r.ClientAddress == "" {
		return r.Fingerprint
	}
	return digest([]byte(r.Fingerprint), []byte(r.ClientAddress))
}

// digest returns a digest of the parts.
func digest(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		writePart(h.Write, part)
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
