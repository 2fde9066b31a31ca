// Package stand2 holds the stand-ins of the second review: a platform store, replicas and
// clients. They stand in test files, which may contain the names of the users' platform.
package stand2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// TestMain plays the case that the first argument names against the project's daemons, and
// writes its record to the folder that is the second one.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(unplayed)
	}
	play, ok := map[string]func(*world) (int, error){
		"foreign": playForeign, "restart": playRestart, "extra": playExtra, "quota": playQuota,
	}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(unplayed)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unplayed)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		w.note("stopped before its end")
		w.close()
		os.Exit(unplayed)
	}()
	code, err := play(w)
	if err != nil {
		w.note("not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = unplayed
	}
	w.close()
	os.Exit(code)
}
