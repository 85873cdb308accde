package serving

import "testing"

// TestFingerprint: attempts of one request have the same fingerprint whatever their IDs; different requests have
// different ones. The client's address counts only for requests without a body.
func TestFingerprint(t *testing.T) {
	request := func(change func(*Request)) *Request {
		r := &Request{ID: "1", Method: "POST", Host: "h.example", Target: "/a/b?q=1", Body: []byte("body")}
		change(r)
		return r
	}
	first := FingerprintOf(request(func(*Request) {}), "10.0.0.1")
	same := map[string]Fingerprint{
		"another id and instance": FingerprintOf(request(func(r *Request) { r.ID = "2" }), "10.0.0.1"),
		"another address":         FingerprintOf(request(func(*Request) {}), "10.0.0.2"),
		"host written otherwise":  FingerprintOf(request(func(r *Request) { r.Host = "H.example:80" }), "10.0.0.1"),
	}
	for what, got := range same {
		if got != first {
			t.Errorf("%s: different fingerprint, want the same", what)
		}
	}
	others := map[string]Fingerprint{
		"body":                  FingerprintOf(request(func(r *Request) { r.Body = []byte("bodY") }), "10.0.0.1"),
		"query":                 FingerprintOf(request(func(r *Request) { r.Target = "/a/b?q=2" }), "10.0.0.1"),
		"method":                FingerprintOf(request(func(r *Request) { r.Method = "PUT" }), "10.0.0.1"),
		"host":                  FingerprintOf(request(func(r *Request) { r.Host = "i.example" }), "10.0.0.1"),
		"a byte moved":          FingerprintOf(request(func(r *Request) { r.Target, r.Body = "/a/b?q=1b", []byte("ody") }), "10.0.0.1"),
		"no body":               FingerprintOf(request(func(r *Request) { r.Body = nil }), "10.0.0.1"),
		"no body, other client": FingerprintOf(request(func(r *Request) { r.Body = nil }), "10.0.0.2"),
	}
	seen := map[Fingerprint]string{first: "the first"}
	for what, got := range others {
		if before, known := seen[got]; known {
			t.Errorf("%s: same fingerprint as %s, want a different one", what, before)
		}
		seen[got] = what
	}
}
