package main

import (
	"context"
	"strings"

	"sycamoreramp.example/sycamoreramp/operator"
)

// beliefCommand prints the view that a daemon on the users' platform has of routes,
// replicas and other daemons.
type beliefCommand struct {
	outputFlags
	Address string `arg:"positional,required" help:"IP number and port of the daemon's metrics"`
	Service string `arg:"--service" help:"print only replicas of services whose names have this prefix"`
}

func (c *beliefCommand) run(ctx context.Context, t tool) error {
	belief, err := operator.Client{Client: t.client}.View(ctx, c.Address)
	if err != nil {
		return err
	}
	matching := belief.Replicas[:0]
	for _, r := range belief.Replicas {
		if strings.HasPrefix(r.Service, c.Service) {
			matching = append(matching, r)
		}
	}
	belief.Replicas = matching
	return c.print(t.out, belief, belief.WriteText)
}
