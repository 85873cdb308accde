package serving

import (
	"net/http"
	"testing"
)

// TestFingerprint: attempts of one request have the same fingerprint whatever their IDs and the addresses they come from;
// different requests have different ones.
func TestFingerprint(t *testing.T) {
	request := func(change func(*Request)) *Request {
		r := &Request{ID: "1", Method: "POST", Host: "h.example", Target: "/a/b?q=1", Body: []byte("body"), ClientAddress: "10.0.0.1", Header: http.Header{}}
		change(r)
		return r
	}
	withoutBody := func(change func(*Request)) *Request {
		return request(func(r *Request) {
			r.Body = nil
			change(r)
		})
	}
	first, firstWithoutBody := FingerprintOf(request(func(*Request) {})), FingerprintOf(withoutBody(func(*Request) {}))
	attempts := []struct {
		what      string
		got, want Fingerprint
	}{
		{"another id and instance", FingerprintOf(request(func(r *Request) { r.ID = "2" })), first},
		{"another address", FingerprintOf(request(func(r *Request) { r.ClientAddress = "10.0.0.2" })), first},
		{"host written otherwise", FingerprintOf(request(func(r *Request) { r.Host = "H.example:80" })), first},
		{"no body, another address", FingerprintOf(withoutBody(func(r *Request) { r.ClientAddress = "10.0.0.2" })), firstWithoutBody},
		{"no body, another signature", FingerprintOf(withoutBody(func(r *Request) { r.Header.Set("Authorization", "2") })), firstWithoutBody},
	}
	for _, a := range attempts {
		if a.got != a.want {
			t.Errorf("%s: different fingerprint, want the same", a.what)
		}
	}
	others := map[string]Fingerprint{
		"body":                    FingerprintOf(request(func(r *Request) { r.Body = []byte("bodY") })),
		"query":                   FingerprintOf(request(func(r *Request) { r.Target = "/a/b?q=2" })),
		"method":                  FingerprintOf(request(func(r *Request) { r.Method = "PUT" })),
		"host":                    FingerprintOf(request(func(r *Request) { r.Host = "i.example" })),
		"a byte moved":            FingerprintOf(request(func(r *Request) { r.Target, r.Body = "/a/b?q=1b", []byte("ody") })),
		"no body":                 firstWithoutBody,
		"no body, query":          FingerprintOf(withoutBody(func(r *Request) { r.Target = "/a/b?q=2" })),
		"no body, part of target": FingerprintOf(withoutBody(func(r *Request) { r.Header.Set("Range", "bytes=0-9") })),
		"no body, other language": FingerprintOf(withoutBody(func(r *Request) { r.Header.Set("Accept-Language", "et") })),
	}
	seen := map[Fingerprint]string{first: "the first"}
	for what, got := range others {
		if before, known := seen[got]; known {
			t.Errorf("%s: same fingerprint as %s, want a different one", what, before)
		}
		seen[got] = what
	}
}

// TestClientFingerprint: two clients that send the same request without a body do not take each other's turn.
func TestClientFingerprint(t *testing.T) {
	of := func(address, body string) Fingerprint {
		r := &Request{Method: "GET", Host: "h.example", Target: "/a", Body: []byte(body), ClientAddress: address}
		r.Fingerprint = FingerprintOf(r)
		return r.ClientFingerprint()
	}
	first, again, other := of("10.0.0.1", ""), of("10.0.0.1", ""), of("10.0.0.2", "")
	if first != again || first == other {
		t.Error("no body: want one client fingerprint for each client")
	}
	if of("10.0.0.1", "body") != of("10.0.0.2", "body") {
		t.Error("body: want one client fingerprint whatever the address")
	}
}
