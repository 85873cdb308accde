package peer

import (
	"net"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/martenport/martenport/event"
)

// TestMethodNames: the service has the methods and messages of Handler, whose names TestMessageFieldNames in package
// entry compares with a file, and is registered under the name that stands there.
func TestMethodNames(t *testing.T) {
	got, want := methods(reflect.TypeFor[*service]()), methods(reflect.TypeFor[Handler]())
	if !slices.Equal(got, want) {
		t.Errorf("methods of the service:\n%s\nwant those of Handler:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	here, there := net.Pipe()
	defer func() { _ = here.Close() }()
	go NewServer(nil, &event.Clock{}).rpc.ServeConn(there)
	client := rpc.NewClient(here)
	for m := range reflect.TypeFor[Handler]().Methods() {
		// Arguments of a wrong type are refused by gob if there is such a method, and it does not run.
		if err := client.Call("Peer."+m.Name, 0, nil); err == nil || !strings.HasPrefix(err.Error(), "gob: ") {
			t.Errorf("Peer.%s with arguments of a wrong type: %v; want an error of gob", m.Name, err)
		}
	}
}

// methods lists the methods of t with their last two parameters: the arguments and the reply.
func methods(t reflect.Type) []string {
	var lines []string
	for m := range t.Methods() {
		parameters := m.Type.NumIn()
		lines = append(lines, m.Name+" "+m.Type.In(parameters-2).String()+" "+m.Type.In(parameters-1).String())
	}
	return lines
}
