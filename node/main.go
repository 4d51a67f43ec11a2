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

// The exit codes of the daemon.
const (
	ExitOK              = 0
	ExitFailed          = 1 // it could not start
	ExitInvalidSettings = 2 // the settings are wrong
	ExitUndrained       = 3 // a planned stop ended with work in flight
)

// logFlushTimeout bounds how long the end waits for the last lines of the log.
const logFlushTimeout = 200 * time.Millisecond

// Main runs one instance with the platform's settings file until a signal. With
// checkOnly it only checks the file. It returns the exit code of the process.
func Main(checkOnly bool, out io.Writer) int {
	path := os.Getenv(platform.SettingsVariable)
	in, problems := platform.LoadSettings(path)
	for _, p := range problems {
		fmt.Fprintf(out, "sedgehatchd: %s: %s\n", failure.FieldOf(p), failure.Text(p))
	}
	if len(problems) > 0 {
		return ExitInvalidSettings
	}
	if checkOnly {
		fmt.Fprintf(out, "sedgehatchd: %q is right\n", path)
		return ExitOK
	}
	sink := logging.NewSink(os.Stdout, logging.DefaultBuffer)
	defer sink.Close(logFlushTimeout)
	log := slog.New(sink.Handler(slog.LevelInfo)).With(slog.String("instance", in.Name))
	n, err := New(in, log)
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

// reload reads the settings again. What they tell of listeners and zones holds
// for the life of the process; a change there is only told.
func (n *Node) reload(path string) {
	in, problems := platform.LoadSettings(path)
	if len(problems) > 0 {
		event.SettingsFileBad.Log(n.log, slog.String("field", failure.FieldOf(problems[0])), slog.String("error", failure.Text(problems[0])))
		return
	}
	changed := in.CustomerAddress != n.settings.CustomerAddress || in.PeerAddress != n.settings.PeerAddress || in.Zone != n.settings.Zone
	event.Reloaded.Log(n.log, slog.Bool("needs_restart", changed))
}
