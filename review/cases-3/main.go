// The command review-cases-3 plays the cases of the third review that are scripts. It starts the
// product's processes as the deploy file does, on loopback addresses, with the project's stand-ins
// of the store and the upstreams.
//
// Usage: review-cases-3 CASE FOLDER, from the root of the repository. It writes FOLDER/record.txt.
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// be played.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record is the protocol of one play.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// add writes one line, with the time since the start of the play.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...)) // the verdict does not depend on the record
}

// play plays a case, with its disruption if trouble is set. It reports whether the rule was broken.
type play func(r *record, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"cancel-forgotten": playCancelForgotten,
	"cancel-at-exit":   playCancelAtExit,
	"cancel-removed":   playCancelRemoved,
	"lower-born":       playLowerBorn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }() // see record.add
	r := &record{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("trouble: %v", trouble)
	broken, err := p(r, trouble)
	switch {
	case err != nil:
		r.add("not played: %v", err)
		return exitFailed
	case broken:
		r.add("the rule was broken")
		return exitBroken
	default:
		r.add("the rule held")
		return exitHeld
	}
}
