// Package overload keeps an instance useful while its processor time is short. A Pacer bounds the share of time that a
// repeated decision takes, a Lag measures how late the instance's own work runs, a Shedder decides when new
// connections should go to other instances, and a LineLimiter bounds the log lines of refusals.
//
// The package is pure: it does no I/O, and all times are arguments.
package overload
