package entry

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/sirupsen/logrus"
)

// writeLog writes the log lines of all instances, with their names, to a file of the directory that MARTENPORT_LOG names, if
// it is set. The file has the name of the test.
func (f *fleet) writeLog() {
	dir := os.Getenv("MARTENPORT_LOG")
	if dir == "" {
		return
	}
	out, err := os.Create(filepath.Join(dir, strings.ReplaceAll(f.t.Name(), "/", "-")+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.logOutput = out
	before := f.beforeRun
	f.beforeRun = func(i *Instance) {
		i.log.AddHook(nodeHook{i.settings.Load().NodeName})
		if before != nil {
			before(i)
		}
	}
}

// nodeHook adds the name of an instance to its log lines.
type nodeHook struct{ node string }

// Levels implements logrus.Hook.
func (h nodeHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h nodeHook) Fire(e *logrus.Entry) error {
	e.Data["node"] = h.node
	return nil
}
