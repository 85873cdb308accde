package httphead_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/internal/httphead"
)

// Parts of responses, each with an end of its lines.
const (
	interimHead = "HTTP/1.1 103 x\r\nLink: x\r\n\r\n"
	foldedHint  = "HTTP/1.1 103 x\r\nLink: x\r\n y\r\n\r\n"
	soundHead   = "HTTP/1.1 200 OK\r\nX-Own: x\r\nContent-Length: 2\r\n\r\n"
	bodyOfLines = "a\n b\r\n\r\n c: d\n\n e"
)

// TestScanner checks heads with and without lines that begin with a blank, however their bytes are split.
func TestScanner(t *testing.T) {
	for name, c := range map[string]struct {
		responses []string
		folded    bool
	}{
		"sound":                          {[]string{soundHead}, false},
		"blank lines in the body":        {[]string{soundHead + bodyOfLines}, false},
		"blanks in values":               {[]string{"HTTP/1.1 200 OK\r\nX-Own: \t x \r\nX-Own:\r\n\r\n"}, false},
		"lines that end with LF":         {[]string{"HTTP/1.1 200 OK\nX-Own: x\n\n" + bodyOfLines}, false},
		"no fields":                      {[]string{"HTTP/1.1 204 x\r\n\r\n" + bodyOfLines}, false},
		"long status line":               {[]string{"HTTP/1.1 200 " + strings.Repeat("x", 1000) + "\r\n\r\n" + bodyOfLines}, false},
		"after interim responses":        {[]string{interimHead + interimHead + soundHead + bodyOfLines}, false},
		"in an interim response":         {[]string{foldedHint + soundHead}, false},
		"several responses":              {[]string{soundHead + bodyOfLines, soundHead + bodyOfLines}, false},
		"blank":                          {[]string{"HTTP/1.1 200 OK\r\nX-Own: x\r\n y\r\n\r\n"}, true},
		"tab":                            {[]string{"HTTP/1.1 200 OK\r\nX-Own: x\r\n\ty\r\n\r\n"}, true},
		"nothing but blanks":             {[]string{"HTTP/1.1 200 OK\r\nX-Own: x\r\n  \r\n\r\n"}, true},
		"in the first field":             {[]string{"HTTP/1.1 200 OK\r\n X-Own: x\r\n\r\n"}, true},
		"lines that end with LF, folded": {[]string{"HTTP/1.1 200 OK\nX-Own: x\n y\n\n"}, true},
		"after an interim response":      {[]string{interimHead + "HTTP/1.1 200 OK\r\nX-Own: x\r\n y\r\n\r\n"}, true},
		"101 is final":                   {[]string{"HTTP/1.1 101 x\r\nX-Own: x\r\n y\r\n\r\n"}, true},
		"in the first of two":            {[]string{"HTTP/1.1 200 OK\r\nX-Own: x\r\n y\r\n\r\n", soundHead}, true},
		"in the second of two":           {[]string{soundHead + bodyOfLines, "HTTP/1.1 200 OK\r\nX-Own: x\r\n y\r\n\r\n"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				scanner := &httphead.Scanner{}
				for _, response := range c.responses {
					scanner.Begin()
					for rest := []byte(response); len(rest) > 0; {
						n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
						if written, err := scanner.Write(rest[:n]); written != n || err != nil {
							t.Fatalf("%d of %d bytes, %v", written, n, err)
						}
						rest = rest[n:]
					}
				}
				if err := scanner.Err(); (err != nil) != c.folded {
					t.Errorf("%v, want an error: %t", err, c.folded)
				}
			})
		})
	}
}
