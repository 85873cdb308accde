package backend_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/verdict"
)

// uploadBytes is the size of a body that the buffers of a connection do not hold, so that it is still being sent when its answer
// ends.
const uploadBytes = 16 << 20

// TestPartOfResetAnswerLooksWhole guards against a part of an answer without a length that looks whole because the connection was
// reset while the call was being sent, and against whole answers that do not look whole although their servers took the call, or
// read on.
func TestPartOfResetAnswerLooksWhole(t *testing.T) {
	const head, whole, part = "HTTP/1.1 200 OK\r\n\r\n", "the whole answer", "the who"
	for _, answer := range standin.EarlyAnswers {
		t.Run(answer.Name(), func(t *testing.T) {
			t.Parallel()
			url := rawServer(t, func(conn net.Conn) {
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer.Send(conn, req.Body, head+whole, head+part)
				}
			})
			h := backend.NewHTTP(url, &http.Client{Transport: backend.NewTransport()}, "")
			for range 4 {
				text, err := h.Call(t.Context(), backend.Call{Body: make([]byte, uploadBytes)})
				switch {
				case answer.Whole() && (err != nil || string(text) != whole):
					t.Errorf("a whole answer is read as %q, %v", text, err)
				case !answer.Whole() && err == nil:
					t.Errorf("the part %q looks whole", text)
				case !answer.Whole() && verdict.FromError(err).Verdict == verdict.NotRun:
					t.Errorf("the call counts as not run: %v", err)
				}
			}
		})
	}
}
