//go:build review

package stage

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of orders whose clients have left.
const (
	deskReplicas  = 7                       // as inn-link on the users' sheet
	deskPeriod    = time.Second / 22        // between orders; 22.5 a second on the sheet
	deskBudget    = 5 * time.Second         // X-Deadline-Ms and timeoutMs, as on the sheet
	leaveShare    = 0.3                     // of the clients, as in the site file
	leaveAfter    = 250 * time.Millisecond  // half of the objective
	leaveFor      = 8 * time.Second         // during which clients leave, as in the site file
	darkFor       = 4500 * time.Millisecond // as in the site file
	darkRounds    = 6
	goneSlack     = 500 * time.Millisecond
	aFew          = 5   // requests that may arrive late
	deskObjective = 500 // targetLatencyMs
)

// order is a request that may run at most once, and its client.
type order struct {
	id   string
	left time.Time // when the client closed its connection; zero if it waited
}

// playGone lets some clients leave early while no replica of the order desk can be reached for a
// few seconds, and counts the orders that reach a replica over half a second after their client
// has left.
func playGone(c *cluster, trouble bool) (bool, error) {
	for i := range deskReplicas {
		if _, err := c.newReplica(zoneOf(i), 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	routes := []route{{
		Name: "orders", Host: "shop.example", Prefix: "/orders/", Type: "non_idempotent",
		Timeout: int(deskBudget.Milliseconds()), Objective: deskObjective, Priority: 2, Attempts: 2, Service: orderService,
	}}
	if err := c.configure(3, routes, map[string]int{orderService: 41}); err != nil {
		return false, err
	}
	if err := c.startDaemons("zone-a", "zone-a", "zone-b", "zone-c"); err != nil {
		return false, err
	}
	desk := &orderDesk{cluster: c}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		desk.run(stop)
		close(ended)
	}()
	for range darkRounds {
		desk.leaving.Store(true)
		time.Sleep(time.Second)
		c.setDark(trouble)
		time.Sleep(darkFor)
		c.setDark(false)
		time.Sleep(leaveFor - time.Second - darkFor)
		desk.leaving.Store(false)
		time.Sleep(contactTime)
	}
	close(stop)
	<-ended
	return c.judgeGone(desk.orders), nil
}

// setDark makes all replicas silent, or ends their silence.
func (c *cluster) setDark(dark bool) {
	for _, r := range c.replicas {
		if dark != r.dark {
			r.dark = dark
			c.record.line("%s dark=%t", r.id, dark)
			if dark {
				r.listener.darken()
			} else {
				r.listener.lighten()
			}
		}
	}
}

// orderDesk sends orders at a steady rate.
type orderDesk struct {
	cluster *cluster
	leaving atomic.Bool // clients leave now
	mutex   sync.Mutex
	orders  []order // guarded by mutex
}

// run sends orders until stop is closed, and waits for their ends.
func (d *orderDesk) run(stop <-chan struct{}) {
	var clients sync.WaitGroup
	defer clients.Wait()
	ticker := time.NewTicker(deskPeriod)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		leaves := d.leaving.Load() && rand.Float64() < leaveShare
		clients.Go(func() {
			o := d.cluster.sendOrder(n, leaves)
			d.mutex.Lock()
			defer d.mutex.Unlock()
			d.orders = append(d.orders, o)
		})
	}
}

// judgeGone counts the orders that reached a replica late.
func (c *cluster) judgeGone(orders []order) bool {
	late, ran, left := 0, 0, 0
	for _, o := range orders {
		runs := c.record.runsOf(o.id)
		ran += len(runs)
		if o.left.IsZero() {
			continue
		}
		left++
		for _, r := range runs {
			if after := r.at.Sub(o.left); after > goneSlack {
				late++
				c.record.line("%s began to run at %s %d ms after its client had left", o.id, r.replica, after.Milliseconds())
			}
		}
	}
	c.record.line("orders=%d run=%d left=%d late=%d allowed=%d", len(orders), ran, left, late, aFew)
	return late <= aFew
}

// sendOrder sends an order on a new connection. A client that leaves closes it early.
func (c *cluster) sendOrder(n int, leaves bool) order {
	o := order{id: fmt.Sprintf("order-%d", n)}
	d := c.daemons[n%len(c.daemons)]
	conn, err := net.DialTimeout("tcp", d.front(), time.Second)
	if err != nil {
		c.record.line("%s: %v", o.id, err)
		return o
	}
	defer func() { _ = conn.Close() }()
	body := "two panels for " + o.id
	request := fmt.Sprintf("POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\n"+
		"X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", o.id, deskBudget.Milliseconds(), len(body), body)
	sent := time.Now()
	if _, err := conn.Write([]byte(request)); err != nil {
		c.record.line("%s: %v", o.id, err)
		return o
	}
	c.record.line("sent %s to %s", o.id, d.name)
	patience := deskBudget + time.Second
	if leaves {
		patience = leaveAfter
	}
	_ = conn.SetReadDeadline(sent.Add(patience))
	answer := make([]byte, 4096)
	got, err := conn.Read(answer)
	switch {
	case err == nil:
		c.record.line("answer to %s after %d ms: %.12s", o.id, time.Since(sent).Milliseconds(), answer[:got])
	case leaves:
		_ = conn.Close()
		o.left = time.Now()
		c.record.line("client of %s leaves after %d ms", o.id, o.left.Sub(sent).Milliseconds())
	default:
		c.record.line("no answer to %s after %d ms: %v", o.id, time.Since(sent).Milliseconds(), err)
	}
	return o
}
