// Command standin runs a simulated platform and backend servers for
// demonstrations and tests.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"sycamoreramp.example/sycamoreramp/internal/standin"
)

type arguments struct {
	Platform string        `arg:"--platform" default:"127.0.0.1:7100" help:"IP number and port of the platform"`
	Domains  int           `arg:"--domains" default:"4" help:"number of failure domains"`
	Delay    time.Duration `arg:"--delay" default:"2ms" help:"time of each reply of a backend server"`
	Straggle int           `arg:"--straggle" help:"one in so many replies takes 20 times as long"`
	Slots    int           `arg:"--slots" default:"2" help:"pieces of work a backend server does at once"`
	Cold     time.Duration `arg:"--cold" help:"time since the start in which replies take 5 times as long"`
	Lag      time.Duration `arg:"--lag" help:"time by which the VM list lags"`

	Connections int           `arg:"--connections" help:"connections that a backend server accepts at once"`
	Connect     time.Duration `arg:"--connect" help:"time that a new connection to a backend server takes"`

	Services []string `arg:"positional,required" placeholder:"NAME:SHARDS:REPLICAS" help:"services to run"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	cluster := standin.NewCluster(a.Domains)
	host, _, err := net.SplitHostPort(a.Platform)
	if err != nil {
		return err
	}
	for _, text := range a.Services {
		s, err := parseService(text)
		if err != nil {
			return err
		}
		s.Slots, s.Delay, s.StraggleEvery, s.ColdPeriod = a.Slots, a.Delay, a.Straggle, a.Cold
		s.Connections, s.ConnectDelay = a.Connections, a.Connect
		if err := cluster.Start(host, s); err != nil {
			return err
		}
	}
	cluster.Platform.SetLag(a.Lag)
	server := &http.Server{Addr: a.Platform, Handler: cluster.Handler(), ReadHeaderTimeout: time.Minute}
	return server.ListenAndServe()
}

func parseService(text string) (standin.Service, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return standin.Service{}, fmt.Errorf("service %q: want NAME:SHARDS:REPLICAS", text)
	}
	shards, err := strconv.Atoi(parts[1])
	if err != nil || shards < 1 {
		return standin.Service{}, fmt.Errorf("service %q: want a positive number of shards", text)
	}
	replicas, err := strconv.Atoi(parts[2])
	if err != nil || replicas < 1 {
		return standin.Service{}, fmt.Errorf("service %q: want a positive number of replicas", text)
	}
	return standin.Service{Name: parts[0], Shards: shards, Replicas: replicas}, nil
}
