package standin

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// HeadFault makes the head of an otherwise sound answer one that is not valid HTTP.
type HeadFault struct {
	// Name says what is not valid.
	Name string
	// Status is the status code; if empty, it is that of the sound answer.
	Status string
	// Field is a further line of the head; none if empty.
	Field string
	// Length and Encoding are the names of the field that frames the body, by its length or in chunks. If both are empty it is
	// Content-Length.
	Length, Encoding string
}

// HeadFaults are all faults of heads.
var HeadFaults = []HeadFault{
	{Name: "status 000", Status: "000"},
	{Name: "status 001", Status: "001"},
	{Name: "status 099", Status: "099"},
	{Name: "status -00", Status: "-00"},
	{Name: "status 101", Status: "101"},
	{Name: "status 600", Status: "600"},
	{Name: "status 999", Status: "999"},
	{Name: "blank in a name", Field: "X Own: x"},
	{Name: "blank before the colon", Field: "X-Own : x"},
	{Name: "tab in a name", Field: "X\tOwn: x"},
	{Name: "tab before the colon", Field: "X-Own\t: x"},
	{Name: "NUL in a name", Field: "X\x00Own: x"},
	{Name: "CR in a name", Field: "X\rOwn: x"},
	{Name: "control byte in a name", Field: "X\x01Own: x"},
	{Name: "control byte before a name", Field: "\x01X-Own: x"},
	{Name: "DEL in a name", Field: "X\x7fOwn: x"},
	{Name: "letter above ASCII in a name", Field: "X-Öwn: x"},
	{Name: "separator in a name", Field: "X(Own): x"},
	{Name: "empty name", Field: ": x"},
	{Name: "no colon", Field: "X-Own"},
	{Name: "blank before a name", Field: " X-Own: x"},
	{Name: "tab before a name", Field: "\tX-Own: x"},
	{Name: "blank before the name of the length", Length: " Content-Length"},
	{Name: "blank before the name of the encoding", Encoding: " Transfer-Encoding"},
	{Name: "blank in the name of the length", Length: "Content Length"},
	{Name: "blank after the name of the length", Length: "Content-Length "},
	{Name: "blank in the name of the encoding", Encoding: "Transfer Encoding"},
	{Name: "blank after the name of the encoding", Encoding: "Transfer-Encoding "},
}

// Answer returns an answer with the fault. fields are the lines of its head other than the first one, each with its end.
func (f HeadFault) Answer(status int, fields, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %s x\r\n%s", cmp.Or(f.Status, fmt.Sprint(status)), fields)
	if f.Field != "" {
		b.WriteString(f.Field + "\r\n")
	}
	if f.Encoding != "" {
		fmt.Fprintf(&b, "%s: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", f.Encoding, len(body), body)
	} else {
		fmt.Fprintf(&b, "%s: %d\r\n\r\n%s", cmp.Or(f.Length, "Content-Length"), len(body), body)
	}
	return b.String()
}

// SetHeadFault makes the server answer requests with the fault from now on, and close their connections; nil makes it sound.
func (s *Server) SetHeadFault(f *HeadFault) { s.headFault.Store(f) }

// HeadFaultsSent returns how many answers the server has sent with faults of their heads.
func (s *Server) HeadFaultsSent() int { return int(s.headFaultsSent.Load()) }

// Seal returns the seal of the server's answers.
func (s *Server) Seal() string { return "seal-" + s.params.ID }

// sendHeadFault runs a request and answers it with a fault of the head.
func (s *Server) sendHeadFault(w http.ResponseWriter, r *http.Request, f *HeadFault) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Martenport-Attempt-Id")
	if r.Header.Get("Kv-From") == "" {
		s.countRun(id)
	}
	s.headFaultsSent.Add(1)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	whole := wholeAnswer(r, body)
	_, sealed := s.answerHeaders(id)
	_, _ = io.WriteString(conn, f.Answer(http.StatusOK, sealed+contentType(whole), whole))
}
