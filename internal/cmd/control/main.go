// Command control makes the stand-ins of the platform and of the backend
// servers do things that the product never asks for.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/alexflint/go-arg"
)

// timeout bounds a whole command.
const timeout = 10 * time.Second

type arguments struct {
	Repartition *repartitionCommand `arg:"subcommand:repartition" help:"double the shards of a service"`
	Orders      *struct{}           `arg:"subcommand:orders" help:"print the orders that backend servers started"`
	Fault       *faultCommand       `arg:"subcommand:fault" help:"make the platform fail; without flags it works again"`
	Behave      *behaveCommand      `arg:"subcommand:behave" help:"make a backend server fail; no flag ends it"`
	Platform    string              `arg:"--platform,env:SYCAMORERAMP_PLATFORM,required" help:"the stand-in's address"`
}

type repartitionCommand struct {
	Service string `arg:"positional,required"`
}

type faultCommand struct {
	Down  bool   `arg:"--down" json:"down" help:"every call fails"`
	Slow  int64  `arg:"--slow" json:"slow" help:"delay of every call, in milliseconds"`
	Lose  int    `arg:"--lose" json:"lose" help:"so many writes take effect but lose their reply"`
	Stale uint64 `arg:"--stale" json:"stale" help:"reads see the state of so many revisions ago"`
}

type behaveCommand struct {
	Server   string `arg:"positional,required" json:"server" placeholder:"NAME-SHARD-REPLICA"`
	Drain    bool   `arg:"--drain" json:"drain" help:"it refuses new work"`
	Quiet    bool   `arg:"--quiet" json:"quiet" help:"its health does not say that it drains"`
	Shed     bool   `arg:"--shed" json:"shed" help:"it refuses new work under load"`
	Hang     bool   `arg:"--hang" json:"hang" help:"it never replies"`
	Truncate bool   `arg:"--truncate" json:"truncate" help:"it cuts replies short"`
	Crossed  bool   `arg:"--crossed" json:"crossed" help:"it replies to another attempt"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("a subcommand is needed")
	}
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "control:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	switch {
	case a.Repartition != nil:
		return call(a.Platform, http.MethodPost, "/repartition?service="+url.QueryEscape(a.Repartition.Service), nil)
	case a.Orders != nil:
		return call(a.Platform, http.MethodGet, "/orders", nil)
	case a.Behave != nil:
		return call(a.Platform, http.MethodPost, "/behave", a.Behave)
	}
	return call(a.Platform, http.MethodPost, "/fault", a.Fault)
}

// call sends one request to the stand-in and prints its reply.
func call(address, method, path string, body any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
