// Command cases plays the cases of the review that the bench cannot play as a day: it starts the
// daemon of the deploy file as separate processes, with stand-ins of the platform and of customers,
// and checks one rule.
//
// Usage: cases NAME RECORD. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns how the rule was broken, or "" if it held.
var cases = map[string]func(r *record, trouble bool) (broken string, err error){
	"fault":   playFault,
	"unasked": playUnasked,
	"limit":   playLimit,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken != "":
		r.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	default:
		r.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
