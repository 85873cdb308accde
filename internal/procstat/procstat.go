// Package procstat reads what the operating system records of a process.
package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// PeakMemoryKB returns the highest resident memory in KiB that a process has had.
func PeakMemoryKB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "procstat")
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(peak)
	if len(fields) == 0 {
		return 0, errors.Newf("procstat: process %d has no memory: it is ending", pid)
	}
	kb, err := strconv.Atoi(fields[0])
	return kb, errors.Wrap(err, "procstat")
}

// OpenDescriptors returns the number of descriptors that a process has open.
func OpenDescriptors(pid int) (int, error) {
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(fds), errors.Wrap(err, "procstat")
}
