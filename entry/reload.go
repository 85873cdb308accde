package entry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/platform"
)

// settingsPollInterval is how often the settings file is checked. The platform may change it without a
// signal.
const settingsPollInterval = 2 * time.Second

// reload applies changed settings on SIGHUP and when the file has changed, until ctx ends.
func (i *Instance) reload(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hup:
			i.reloadOnce("signal")
		case <-ticker.C:
			i.reloadOnce("file")
		case <-ctx.Done():
			return
		}
	}
}

// reloadOnce reads the settings file. If the settings are invalid, those in force are kept.
func (i *Instance) reloadOnce(cause string) {
	s, err := platform.LoadSettings(i.path)
	if err != nil {
		i.log.WithFields(logrus.Fields{"cause": cause, "error": err}).Error("invalid settings, keeping those in force")
		return
	}
	old := i.settings.Load()
	if reflect.DeepEqual(s, *old) {
		if cause == "signal" {
			i.log.Info("settings reloaded, nothing has changed")
		}
		return
	}
	i.settings.Store(&s)
	i.endRequestsWithinGrace()
	i.budget.SetParams(i.budgetParams(&s), time.Now())
	i.log.WithFields(logrus.Fields{"cause": cause, "restart_needed": startupSettingsOf(s) != startupSettingsOf(*old)}).Info("settings reloaded")
}

// startupSettings are the settings that only take effect when a process starts.
type startupSettings struct{ name, ip, zone, frontend, ready, store, peers string }

func startupSettingsOf(s platform.Settings) startupSettings {
	return startupSettings{s.NodeName, s.IP, s.Zone, s.Listen.Frontend, s.Listen.Ready, s.Platform.Address, s.PeerAddress()}
}

// budgetParams returns the limits on repeated sends. The number of failure domains is at least the one
// at the start of the instance, since the instance goes on reporting its failure domain of then, and a
// lower number would make each domain's part too large.
func (i *Instance) budgetParams(s *platform.Settings) forward.BudgetParams {
	return forward.BudgetParams{
		Ratio: s.Bounds.BudgetRatio, Extra: s.Bounds.BudgetExtra, Window: s.BudgetWindow(), Domains: max(i.startDomains, s.RetryBudgetDomains()),
	}
}
