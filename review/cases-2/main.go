// Command cases-2 runs one review case: it starts instances of the daemon as processes of their
// own on loopback addresses, with the emulated platform of package standin around them, and checks
// one rule of the platform from what customers and upstreams see.
//
// The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of each case to the function that runs it. The function returns a description
// of each violation of the rule, or an error if the case could not run.
var cases = map[string]func(*bench) (violations []string, err error){
	"other-kind":    runOtherKind,
	"late-answer":   runLateAnswer,
	"foreign-entry": runForeignEntry,
	"wake-owner":    runWakeOwner,
	"wake-spoke":    runWakeSpoke,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case that the first argument names, and writes its record into the folder that the
// second one names.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE FOLDER")
		return exitNotRun
	}
	b, err := newBench(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	go b.closeOnSignal()
	violations, err := cases[args[0]](b)
	b.close()
	switch {
	case err != nil:
		b.recordf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	case len(violations) > 0:
		for _, v := range violations {
			b.recordf("broken: %s", v)
		}
		fmt.Printf("the rule was broken %d times; the first: %s\n", len(violations), violations[0])
		return exitBroken
	default:
		b.recordf("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
