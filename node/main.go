package node

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/logging"
	"github.com/sedgehatch/sedgehatch/platform"
)

// The exit codes of the daemon on the platform.
const (
	ExitOK              = 0
	ExitFailed          = 1 // the daemon could not start
	ExitInvalidSettings = 2 // the settings file is invalid
	ExitUndrained       = 3 // a planned shutdown ended with work in flight
)

// logFlushTimeout bounds how long the process waits at its end for buffered log lines to
// be written.
const logFlushTimeout = 200 * time.Millisecond

// Main loads the platform's settings file and runs one instance until SIGTERM or SIGINT.
// SIGHUP makes it read the file again. With checkOnly, Main only validates the file. It
// returns the exit code of the process.
func Main(checkOnly bool, out io.Writer) int {
	path := os.Getenv(platform.SettingsVariable)
	settings, problems := platform.LoadSettings(path)
	for _, p := range problems {
		fmt.Fprintf(out, "sedgehatchd: %s: %s\n", failure.FieldOf(p), failure.Text(p))
	}
	if len(problems) > 0 {
		return ExitInvalidSettings
	}
	if checkOnly {
		fmt.Fprintf(out, "sedgehatchd: settings file %q is valid\n", path)
		return ExitOK
	}
	sink := logging.NewSink(os.Stdout, logging.DefaultBuffer)
	defer sink.Close(logFlushTimeout)
	log := slog.New(sink.Handler(slog.LevelInfo)).With(slog.String("instance", settings.Name))
	n, err := New(settings, log)
	if err != nil {
		fmt.Fprintf(out, "sedgehatchd: %s: %s\n", failure.FieldOf(err), failure.Text(err))
		return ExitFailed
	}
	n.logSink = sink
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n.Run()
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		n.reload(path)
	}
	if !n.Stop() {
		return ExitUndrained
	}
	return ExitOK
}

// reload reads the settings file again but applies nothing. It logs the first error if the file
// is invalid, and otherwise whether a restart is needed because the zone or an address for
// customers or peers has changed.
func (n *Node) reload(path string) {
	settings, problems := platform.LoadSettings(path)
	if len(problems) > 0 {
		event.SettingsFileBad.Log(n.log, slog.String("field", failure.FieldOf(problems[0])), slog.String("error", failure.Text(problems[0])))
		return
	}
	changed := settings.CustomerAddress != n.settings.CustomerAddress || settings.PeerAddress != n.settings.PeerAddress || settings.Zone != n.settings.Zone
	event.Reloaded.Log(n.log, slog.Bool("needs_restart", changed))
}
