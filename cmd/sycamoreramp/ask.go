package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
)

// callerFlags are the flags of every subcommand that calls a daemon as a customer.
type callerFlags struct {
	Address string `arg:"--address,env:SYCAMORERAMP_ADDRESS,required" help:"IP number and port of a daemon"`
	Key     string `arg:"--key,env:SYCAMORERAMP_KEY" help:"the customer's key"`
}

// client returns a client that presents the customer's key.
func (f callerFlags) client(t tool) caller.Client { return caller.Client{Key: f.Key, Client: t.client} }

// outputFlags select the output format.
type outputFlags struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

// print writes value as JSON if --json is set, and calls text otherwise.
func (f outputFlags) print(w io.Writer, value any, text func(io.Writer) error) error {
	if !f.JSON {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// requestFlags are the flags of a search, a read and an order.
type requestFlags struct {
	callerFlags
	outputFlags
	Within  time.Duration `arg:"--within" help:"time for the answer; the plan's deadline if not given"`
	Account bool          `arg:"--account" help:"print the account of every attempt"`
	Body    string        `arg:"--body" help:"passed to the backend servers"`
	Service string        `arg:"positional,required" help:"service to ask"`
}

// searchCommand queries every shard of a service.
type searchCommand struct {
	requestFlags
}

func (c *searchCommand) run(ctx context.Context, t tool) error {
	return c.send(ctx, t, caller.Request{Operation: ramp.Search})
}

// readCommand queries one record.
type readCommand struct {
	requestFlags
	Record string `arg:"positional,required" help:"key of the record"`
}

func (c *readCommand) run(ctx context.Context, t tool) error {
	return c.send(ctx, t, caller.Request{Operation: ramp.Read, Key: c.Record})
}

// orderCommand sends an order, which runs at most once for its ticket.
type orderCommand struct {
	requestFlags
	Record string `arg:"positional,required" help:"key of the record"`
	Ticket string `arg:"--ticket" help:"ticket of an order that is repeated; a new one if not given"`
}

// run gets a ticket unless one is given. An error names the ticket: only with the
// same ticket can the order be repeated without the risk that it runs twice.
func (c *orderCommand) run(ctx context.Context, t tool) error {
	ticket := c.Ticket
	if ticket == "" {
		var err error
		ticket, err = c.client(t).Ticket(ctx, c.Address)
		if err != nil {
			return err
		}
	}
	err := c.send(ctx, t, caller.Request{Operation: ramp.Order, Key: c.Record, Ticket: ticket})
	if err != nil {
		return fmt.Errorf("%w; repeat the order with --ticket %s", err, ticket)
	}
	return err
}

// send completes the call from the flags, sends it and prints its answer. A refused
// or partial answer is printed too and gives an error.
func (f *requestFlags) send(ctx context.Context, t tool, call caller.Request) error {
	call.Service, call.Body, call.Timeout, call.WithAttempts = f.Service, f.Body, f.Within, f.Account
	answer, err := f.client(t).Run(ctx, f.Address, call)
	if err != nil {
		return err
	}
	if err := f.print(t.out, answer, func(w io.Writer) error { return printAnswer(w, answer) }); err != nil {
		return err
	}
	switch {
	case answer.Reason != "":
		return &exitError{Code: exitRefused, Cause: errors.New("refused: " + answer.Reason)}
	case !answer.Complete:
		return &exitError{Code: exitPartial, Cause: errors.New("the answer is partial")}
	}
	return nil
}

// ticketCommand prints a new ticket.
type ticketCommand struct {
	callerFlags
}

func (c *ticketCommand) run(ctx context.Context, t tool) error {
	ticket, err := c.client(t).Ticket(ctx, c.Address)
	if err != nil {
		return err
	}
	fmt.Fprintln(t.out, ticket)
	return nil
}

// addressesCommand prints the daemon addresses that a caller should use.
type addressesCommand struct {
	callerFlags
	outputFlags
	Domain string `arg:"--domain" help:"failure domain of the caller"`
}

// addressAnswer is the JSON output of the addresses subcommand.
type addressAnswer struct {
	Addresses []string `json:"addresses"`
	Life      string   `json:"life"`
}

func (c *addressesCommand) run(ctx context.Context, t tool) error {
	addresses, life, err := c.client(t).Addresses(ctx, c.Address, c.Domain)
	if err != nil {
		return err
	}
	return c.print(t.out, addressAnswer{Addresses: addresses, Life: life.String()}, func(w io.Writer) error {
		for _, a := range addresses {
			fmt.Fprintln(w, a)
		}
		fmt.Fprintf(w, "# ask again after %s\n", life)
		return nil
	})
}
