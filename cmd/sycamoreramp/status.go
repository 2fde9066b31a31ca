package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/platform"
)

// fleetFlags are the flags of the subcommands that call every daemon with the
// operators' credential.
type fleetFlags struct {
	Platform   string   `arg:"--platform,env:SYCAMORERAMP_PLATFORM" help:"IP number and port of the platform"`
	Daemons    []string `arg:"--daemons,env:SYCAMORERAMP_DAEMONS" help:"daemons to ask when the platform does not answer"`
	Port       string   `arg:"--port" placeholder:"N" help:"port for operators, if not the port for callers"`
	Credential string   `arg:"--credential,env:SYCAMORERAMP_OPERATOR" help:"the operators' credential"`
}

// daemons returns the registered daemons. If the platform does not answer or
// --platform is not given, it returns the daemons of --daemons, of which only the
// addresses are known.
func (f fleetFlags) daemons(ctx context.Context) ([]ramp.Daemon, error) {
	err := errors.New("neither --platform nor --daemons is given")
	if f.Platform != "" {
		var daemons []ramp.Daemon
		registry := platform.Registry{Store: platform.NewClient(f.Platform)}
		daemons, _, err = registry.WatchDaemons(ctx, 0, 0)
		if err == nil {
			return f.withOperatorPort(daemons), nil
		}
	}
	daemons := make([]ramp.Daemon, 0, len(f.Daemons))
	for _, address := range f.Daemons {
		daemons = append(daemons, ramp.Daemon{ID: "-", Domain: "-", CallerAddress: address})
	}
	if len(daemons) == 0 {
		return nil, err
	}
	return daemons, nil
}

// withOperatorPort replaces the port in the daemons' addresses by --port, if it is
// given. It changes daemons itself.
func (f fleetFlags) withOperatorPort(daemons []ramp.Daemon) []ramp.Daemon {
	if f.Port == "" {
		return daemons
	}
	for i, d := range daemons {
		if host, _, err := net.SplitHostPort(d.CallerAddress); err == nil {
			daemons[i].CallerAddress = net.JoinHostPort(host, f.Port)
		}
	}
	return daemons
}

// client returns a client that presents the operators' credential.
func (f fleetFlags) client(t tool) operator.Client {
	return operator.Client{Credential: f.Credential, Client: t.client}
}

// statusCommand prints the state of every daemon and its version of the lists.
type statusCommand struct {
	fleetFlags
	outputFlags
	Wait int `arg:"--wait" placeholder:"N" help:"first wait until N daemons are live"`
}

// pollInterval is the pause between two polls of the fleet.
const pollInterval = 200 * time.Millisecond

// States of a daemon in the output.
const (
	stateLive        = "live"
	stateLeaving     = "leaving"
	stateUnreachable = "unreachable"
	stateRefused     = "refused" // the daemon refused the credential
)

// daemonStatus is the status of one daemon in the output. Of a daemon that is
// unreachable or refused the credential only the id, domain and address are known.
type daemonStatus struct {
	operator.Status
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// run polls the daemons until --wait of them are live or the command's deadline has
// passed, and prints the result of the last complete poll. It returns an exitError
// with exitLagging if daemons lag or too few are live.
func (c *statusCommand) run(ctx context.Context, t tool) error {
	all, err := c.pollAll(ctx, t)
	for c.Wait > 0 && countState(all, stateLive) < c.Wait && ramp.Sleep(ctx, t.clock, pollInterval) == nil {
		next, nextErr := c.pollAll(ctx, t)
		if ctx.Err() != nil {
			break // the deadline cut this poll short, so the last complete one counts
		}
		all, err = next, nextErr
	}
	if err != nil {
		return err
	}
	if err := c.print(t.out, all, func(w io.Writer) error { return printStatus(w, all) }); err != nil {
		return err
	}
	if lagging := countLagging(all); lagging > 0 {
		return &exitError{
			Code: exitLagging, Cause: fmt.Errorf("%d of %d daemons lag or do not answer", lagging, len(all)),
		}
	}
	if live := countState(all, stateLive); live < c.Wait {
		return &exitError{Code: exitLagging, Cause: fmt.Errorf("%d daemons are live, not %d", live, c.Wait)}
	}
	return nil
}

// pollAll returns the status of every daemon.
func (c *statusCommand) pollAll(ctx context.Context, t tool) ([]daemonStatus, error) {
	daemons, err := c.daemons(ctx)
	all := make([]daemonStatus, 0, len(daemons))
	for _, d := range daemons {
		all = append(all, c.poll(ctx, t, d))
	}
	return all, err
}

// countState counts the daemons in a state.
func countState(all []daemonStatus, state string) int {
	count := 0
	for _, s := range all {
		if s.State == state {
			count++
		}
	}
	return count
}

// poll returns the status of one daemon.
func (c *statusCommand) poll(ctx context.Context, t tool, d ramp.Daemon) daemonStatus {
	s := daemonStatus{Domain: d.Domain, Address: d.CallerAddress}
	status, err := c.client(t).Status(ctx, d.CallerAddress)
	var refused *operator.RefusedError
	switch {
	case errors.As(err, &refused):
		s.State = stateRefused
	case err != nil:
		s.State = stateUnreachable
	case status.Leaving:
		s.State = stateLeaving
	default:
		s.State = stateLive
	}
	s.Status = status
	if err != nil {
		s.Daemon = d.ID
	}
	return s
}

// countLagging counts the daemons that do not answer, refuse the credential or have
// an older version of the lists than another daemon.
func countLagging(all []daemonStatus) int {
	newest := uint64(0)
	for _, s := range all {
		newest = max(newest, s.Version)
	}
	lagging := 0
	for _, s := range all {
		if s.Version < newest || s.State == stateUnreachable || s.State == stateRefused {
			lagging++
		}
	}
	return lagging
}

// printStatus writes the status of every daemon as a table.
func printStatus(w io.Writer, all []daemonStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DAEMON\tDOMAIN\tADDRESS\tVERSION\tAGE\tRUNNING\tSTATE")
	for _, s := range all {
		if s.State == stateUnreachable || s.State == stateRefused {
			fmt.Fprintf(t, "%s\t%s\t%s\t-\t-\t-\t%s\n", s.Daemon, s.Domain, s.Address, s.State)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n",
			s.Daemon, s.Domain, s.Address, s.Version, s.StoreAge, s.InFlight, s.State)
	}
	return t.Flush()
}

// explainCommand prints the account of an earlier request.
type explainCommand struct {
	fleetFlags
	outputFlags
	ID string `arg:"positional,required" help:"id of the request, as its answer states it"`
}

// run asks the daemon whose id and incarnation begin the request's id, since only the
// daemon that served a request keeps its account. Daemons with an unknown incarnation
// are all asked.
func (c *explainCommand) run(ctx context.Context, t tool) error {
	daemons, err := c.daemons(ctx)
	if err != nil {
		return err
	}
	err = fmt.Errorf("no running daemon issued the request id %q; the accounts of a stopped daemon are lost", c.ID)
	for _, d := range daemons {
		if d.Incarnation != "" && !strings.HasPrefix(c.ID, d.ID+"-"+d.Incarnation+"-") {
			continue
		}
		var e caller.Explanation
		err = c.client(t).Get(ctx, d.CallerAddress, "/explain?id="+url.QueryEscape(c.ID), &e)
		if err == nil {
			return c.print(t.out, e, func(w io.Writer) error { return printExplanation(w, e) })
		}
	}
	return err
}

// printExplanation writes an account as text.
func printExplanation(w io.Writer, e caller.Explanation) error {
	printOutcome(w, e.Answer)
	fmt.Fprintf(w, "%s\n", joinNonEmpty("asked", strings.TrimSpace(e.Operation+" "+e.Service+" "+e.Key)))
	fmt.Fprintf(w, "customer %s, plan %s, ended %s\n",
		orUnknown(e.Customer), orUnknown(e.Plan), e.Ended.Format(timeLayout))
	return printAccount(w, e.Attempts)
}

// timeLayout is the layout of times in text output.
const timeLayout = "2006-01-02T15:04:05.000Z"

// orUnknown returns the name, or "unknown" for an empty one.
func orUnknown(name string) string {
	if name == "" {
		return "unknown"
	}
	return name
}
