package main

import (
	"context"
	"strings"

	"sycamoreramp.example/sycamoreramp/operator"
)

type beliefCommand struct {
	outputFlags
	Address string `arg:"positional,required" help:"IP number and port of the daemon's metrics"`
	Service string `arg:"--service" help:"only the replicas of services whose names begin so"`
}

func (c *beliefCommand) run(ctx context.Context, t tool) error {
	belief, err := operator.Client{Client: t.client}.Belief(ctx, c.Address)
	if err != nil {
		return err
	}
	kept := belief.Replicas[:0]
	for _, r := range belief.Replicas {
		if strings.HasPrefix(r.Service, c.Service) {
			kept = append(kept, r)
		}
	}
	belief.Replicas = kept
	return c.print(t.out, belief, belief.WriteText)
}
