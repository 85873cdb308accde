package lab

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Main runs a case and ends the program. run returns whether the rule was broken; trouble is false if
// the case is to run without its disruption.
func Main(run func(r *Record, trouble bool) (ruleBroken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Println("name the file for the record")
		os.Exit(failed)
	}
	r, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	ruleBroken, err := run(r, os.Getenv("TROUBLE") != "0")
	code := held
	switch {
	case err != nil:
		r.Say("the case could not run: %v", err)
		code = failed
	case ruleBroken:
		r.Say("the rule was broken")
		code = broken
	default:
		r.Say("the rule held")
	}
	r.Close()
	os.Exit(code)
}
