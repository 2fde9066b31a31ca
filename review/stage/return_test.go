//go:build review

package stage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case of a draining replica that registers again.
const (
	beatPeriod   = 1200 * time.Millisecond // heartbeatMs in the settings
	beatsMissed  = 3                       // check-in intervals of silence after which an entry is removed
	darkAfter    = 200 * time.Millisecond  // at least, after the store has accepted that the replica drains
	silentFor    = 5 * time.Second         // for_s of srv_crash where it isn't stated
	peakAfter    = 5500 * time.Millisecond // when the traffic rises
	peakEnd      = 9 * time.Second         // when the replica exits
	returnRounds = 8
	peakClients  = 3 // loads at each daemon in the peak, of an order in each loadPeriod
)

// beats renews the replica's entry until stop is closed, unless the replica is dark. An entry that
// has ended is written again.
func (r *replica) beats(stop <-chan struct{}) {
	client := r.cluster.store.For("outside")
	for {
		select {
		case <-stop:
			return
		case <-time.After(beatPeriod):
		}
		select {
		case <-r.listener.lit():
		default:
			continue // it is dark
		}
		if client.KeepAlive(context.Background(), r.currentLease()) == nil {
			continue
		}
		if err := r.enrol(); err != nil {
			r.cluster.record.line("%s: %v", r.id, err)
			continue
		}
		r.cluster.record.line("%s registers again, state %s", r.id, r.currentState())
	}
}

// enrol writes the entry in the current state under a new lease.
func (r *replica) enrol() error {
	lease, err := r.cluster.store.For("outside").Grant(context.Background(), beatsMissed*beatPeriod)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	r.lease = lease
	r.mutex.Unlock()
	return r.register(r.currentState())
}

func (r *replica) currentLease() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lease
}

func (r *replica) currentState() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leaving {
		return "draining"
	}
	return "ready"
}

// drain reports that the replica drains, and returns the time of the store's acknowledgement.
func (r *replica) drain() (time.Time, error) {
	r.mutex.Lock()
	r.leaving = true
	r.mutex.Unlock()
	err := r.register("draining")
	return time.Now(), err
}

// playReturn lets a draining replica go dark until its entry has ended, and register again. It checks
// that no order reaches the replica later than drainMs after the store has acknowledged that it
// drains.
func playReturn(c *cluster, trouble bool) (bool, error) {
	routes := []route{{
		Name: "orders", Host: "shop.example", Prefix: "/orders/", Type: "non_idempotent", Timeout: 2000, Objective: 400,
		Priority: 2, Attempts: 2, Service: orderService,
	}}
	if err := c.configure(3, routes, map[string]int{orderService: 110}); err != nil {
		return false, err
	}
	if err := c.startDaemons("zone-a", "zone-a", "zone-b", "zone-c"); err != nil {
		return false, err
	}
	if _, err := c.newReplica("zone-a", orderWork); err != nil {
		return false, err
	}
	late := 0
	for round := range returnRounds {
		n, err := c.playReturnRound(round, trouble)
		if err != nil {
			return false, err
		}
		late += n
	}
	c.record.line("rounds=%d late=%d", returnRounds, late)
	return late == 0, nil
}

// playReturnRound plays one departure and returns the number of orders that came too late.
func (c *cluster) playReturnRound(round int, trouble bool) (int, error) {
	leaver, err := c.newReplica("zone-b", orderWork)
	if err != nil {
		return 0, err
	}
	if err := leaver.enrol(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { leaver.beats(stop) })
	time.Sleep(2 * time.Second)
	acknowledged, err := leaver.drain()
	if err != nil {
		return 0, err
	}
	c.record.line("round %d: the store acknowledges that %s drains", round, leaver.id)
	if trouble {
		tasks.Go(func() {
			time.Sleep(darkAfter + time.Duration(rand.Int64N(int64(beatPeriod))))
			c.record.line("%s goes dark", leaver.id)
			leaver.listener.darken()
			time.Sleep(silentFor)
			leaver.listener.lighten()
			c.record.line("%s is back", leaver.id)
		})
	}
	time.Sleep(time.Until(acknowledged.Add(peakAfter)))
	for _, d := range c.daemons {
		for k := range peakClients {
			tasks.Go(func() { c.load(stop, d, fmt.Sprintf("%d-%d", round, k)) })
		}
	}
	time.Sleep(time.Until(acknowledged.Add(peakEnd)))
	close(stop)
	tasks.Wait()
	leaver.crash()
	_ = c.store.For("outside").Revoke(context.Background(), leaver.currentLease())
	time.Sleep(time.Second)
	return c.countLate(leaver, acknowledged), nil
}
