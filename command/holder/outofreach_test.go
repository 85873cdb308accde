package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// unreachableEngine is a fakeEngine to which no order can be sent. It can be read, as through another instance.
type unreachableEngine struct{ fakeEngine }

func (u *unreachableEngine) Order(context.Context, serving.Order) (serving.OrderAnswer, error) {
	return 0, errors.Wrap(serving.ErrOrderNotSent, "connection refused")
}

// TestEngineOutOfReachServesOn guards against models that all instances take for lost because the holder cannot send an order
// to their engine.
func TestEngineOutOfReachServesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &unreachableEngine{fakeEngine{models: map[string][]string{"m1": nil}}}
		h := newTestHolder("a", standin.NewPlatform(), engine, time.Second, "m1", "m2")
		config := *h.dir.Config()
		config.Version, config.Services["llm"].Engine.MemoryMB = 2, 30 // there is room for both models
		h.dir.ApplyConfig(&config)
		ctx, stop := context.WithCancel(t.Context())
		takeOverFrom(ctx, t, h)
		time.Sleep(3 * time.Second)
		for range 40 { // operations fail meanwhile
			_, _, _ = h.Want(Request{Service: "llm", Unit: serving.Unit{Model: "m2"}, Waiting: replicas.Waiting{Instance: "i", OnTime: 1}}, time.Now())
			time.Sleep(100 * time.Millisecond)
			found, ok, err := h.Want(Request{Service: "llm", Unit: serving.Unit{Model: "m1"}}, time.Now())
			if err != nil || !ok || found.Engine != "e" || found.Ready.After(time.Now()) {
				t.Errorf("%+v, %t, %v; want the engine that has the model", found, ok, err)
			}
			update, err := h.Exchange(Report{Name: "i"}, time.Now())
			if err != nil || !hasUnit(update.Views, "m1") {
				t.Errorf("%+v, %v; want m1 among the units", update.Views, err)
			}
		}
		stop()
		time.Sleep(10 * time.Second) // let all goroutines end
	})
}

func hasUnit(views []directory.EngineView, model string) bool {
	for _, v := range views {
		for _, u := range v.Units {
			if u.Unit.Model == model {
				return true
			}
		}
	}
	return false
}
