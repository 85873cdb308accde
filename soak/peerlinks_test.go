package soak

import "testing"

// TestPortsOfAddressesAreReplaced guards against addresses that arrive in parts and pass a link unchanged, and against other
// data that is changed or held back.
func TestPortsOfAddressesAreReplaced(t *testing.T) {
	rule := (&run{subnet: 17}).peerAddressesAs(7405)
	const text = `1.1 127.2.17.3:7380,"127.2.17.12:7401" 127.2.17.3:7381 127.2.18.3:7380 127.1.17.1:7000 127.2.17.} 127.2.17.250:7380.`
	const want = `1.1 127.2.17.3:7405,"127.2.17.12:7405" 127.2.17.3:7381 127.2.18.3:7380 127.1.17.1:7000 127.2.17.} 127.2.17.250:7405.`
	for size := 1; size <= len(text); size++ {
		var got string
		var held []byte
		for from := 0; from < len(text); from += size {
			passed, rest := rule.apply(append(held, text[from:min(len(text), from+size)]...))
			got += string(passed)
			held = append([]byte(nil), rest...)
		}
		if got != want || len(held) > 0 {
			t.Errorf("in parts of %d bytes: %q and %q held back", size, got, held)
		}
	}
}
