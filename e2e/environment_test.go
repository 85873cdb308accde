package e2e

import (
	"io"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// Environment variables for looking into a failure.
const (
	// logsVariable names a folder for the output of all processes; none is kept if it is not set.
	logsVariable = "MARTENPORT_E2E_LOGS"
	// seedVariable has the seed of tests that draw random numbers, defaultSeed if it is not set.
	seedVariable, defaultSeed = "MARTENPORT_E2E_SEED", 1
	// entryVariable names the program of the entry instances, if not the one of this repository.
	entryVariable = "MARTENPORT_E2E_ENTRY"
)

// processLog returns a writer for the output of a process.
func processLog(t *testing.T, program string) io.Writer {
	dir := os.Getenv(logsVariable)
	if dir == "" {
		return io.Discard
	}
	file, err := os.CreateTemp(dir, program+"-"+time.Now().Format("150405.000")+"-*.log")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return file
}

func seedOf(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv(seedVariable)
	if text == "" {
		return defaultSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

// replaceEntryProgram puts the program that entryVariable names in the place of the one that was built.
func replaceEntryProgram() error {
	name := os.Getenv(entryVariable)
	if name == "" {
		return nil
	}
	program, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(binaries, "martenentryd"), program, 0o700)
}
