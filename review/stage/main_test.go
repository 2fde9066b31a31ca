//go:build review

// Package stage plays the cases of the review: it starts the project's daemons as processes,
// with stand-ins of the store, replicas and clients around them.
package stage

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenes are the cases by name. Each returns whether the rule held.
var scenes = map[string]func(c *cluster, trouble bool) (bool, error){
	"drain":  playDrain,
	"gone":   playGone,
	"return": playReturn,
}

// TestMain plays the case named by the first argument and writes its record to the second one.
func TestMain(*testing.M) {
	os.Exit(play(os.Args[1:]))
}

func play(args []string) int {
	if len(args) != 2 || scenes[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return couldNot
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	c, err := newCluster(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		c.close()
		r.close()
		os.Exit(couldNot)
	}()
	kept, err := scenes[args[0]](c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	case !kept:
		return broken
	}
	return held
}
