package lab

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Attempt is one requester attempt.
type Attempt struct {
	ID, Host, Path, Model string
	Body                  string
	// Prefix is the list of the parts of the prompt; a list of its own if it is empty.
	Prefix string
	// LastEventID and Resumes are set if the attempt takes a stream up.
	LastEventID, Resumes string
	Budget               time.Duration
}

// Answer is what a requester has seen of an attempt.
type Answer struct {
	// Status is 0 if the channel ended without an answer.
	Status     int
	RetryAfter string
	Seal       string
	Body       string
	// Events are the events of a stream, and At when they arrived.
	Events []Event
	// Complete is set if the answer has come to its end. Err is why it has not.
	Complete bool
	Err      error
}

// Event is one event of a stream.
type Event struct {
	ID, Data string
	At       time.Time
}

// dial opens a channel. Requesters allow it one second to be established.
var dial = (&net.Dialer{Timeout: time.Second}).DialContext

// Send sends an attempt to an instance on a channel of its own. onEvent, if set, is called with each event.
func Send(ctx context.Context, address string, a Attempt, onEvent func(Event)) Answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, a.Budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.GetBody = nil // the transport sends nothing twice
	req.Host = a.Host
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set("Martenport-Attempt-Id", a.ID)
	set("Martenport-Model", a.Model)
	set("Last-Event-Id", a.LastEventID)
	set("Resumes", a.Resumes)
	set("Martenport-Deadline-Ms", fmt.Sprint(a.Budget.Milliseconds()))
	if a.Model != "" {
		set("Martenport-Token-Count", "826,300")
		set("Martenport-Prompt-Prefix", cmp.Or(a.Prefix, "5c1e07a2:198,"+a.ID+":628"))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	answer := Answer{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After"), Seal: resp.Header.Get("Martenport-Server-Seal")}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(resp.Body)
		answer.Body, answer.Err, answer.Complete = strings.TrimSpace(string(body)), err, err == nil
		return answer
	}
	answer.readEvents(resp.Body, onEvent)
	return answer
}

// readEvents reads a stream to its end.
func (a *Answer) readEvents(body io.Reader, onEvent func(Event)) {
	reader := bufio.NewReader(body)
	var e Event
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			a.Complete = line == "" && e == Event{}
			return
		}
		if err != nil {
			a.Err = err
			return
		}
		switch name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ": "); {
		case name == "id":
			e.ID = value
		case name == "data":
			e.Data = value
		case line == "\n" && e.ID != "":
			e.At = time.Now()
			a.Events = append(a.Events, e)
			if onEvent != nil {
				onEvent(e)
			}
			e = Event{}
		}
	}
}
