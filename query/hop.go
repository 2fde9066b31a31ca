package query

import (
	"context"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Bounds of asking daemons of other failure domains for parts.
const (
	// fewParts is how many parts a daemon is asked for at least. Fewer are asked for
	// directly: their bytes are about those of the call and its answer.
	fewParts = 2
	// hopTime is what a hop takes beyond the replies of the replicas: a round trip
	// between failure domains and the work of two daemons.
	hopTime = 8 * time.Millisecond
)

// hop is a set of parts that one daemon is asked for.
type hop struct {
	helper  ramp.Daemon
	indexes []int // of the parts, in the pursuit
}

// hops assigns the parts without a replica in the own failure domain to daemons
// of as few others as possible. The rest is asked for directly.
func (p *pursuit) hops(services []string) []hop {
	far := make(map[string][]int) // parts by failure domain
	for i, s := range services {
		near, domains := p.relay.Picker.Domains(s)
		if near {
			continue
		}
		for _, d := range domains {
			far[d] = append(far[d], i)
		}
	}
	var hops []hop
	taken := make(map[int]bool)
	for len(far) > 0 {
		domain, indexes := widest(far, taken)
		if len(indexes) < fewParts {
			break
		}
		delete(far, domain)
		helper, found := p.relay.Helpers.Select(domain)
		if !found {
			continue
		}
		for _, i := range indexes {
			taken[i] = true
		}
		hops = append(hops, hop{helper: helper, indexes: indexes})
	}
	return hops
}

// widest returns the failure domain with the most parts that are not taken, and
// these.
func widest(far map[string][]int, taken map[int]bool) (string, []int) {
	var best string
	var most []int
	for domain, indexes := range far {
		left := slices.DeleteFunc(slices.Clone(indexes), func(i int) bool { return taken[i] })
		if len(left) > len(most) || len(left) == len(most) && domain < best {
			best, most = domain, left
		}
	}
	return best, most
}

// ask sends the hop and takes in what comes back. It runs on a worker.
func (p *pursuit) ask(h hop) {
	services := make([]string, 0, len(h.indexes))
	for _, i := range h.indexes {
		state, _ := p.parts.Get(i)
		services = append(services, state.service)
	}
	answered := false
	err := p.relay.Collector.Collect(p.context, h.helper, ramp.CollectRequest{
		Message: p.message, Route: p.route, Services: services, Deadline: p.deadline,
	}, func(b ramp.Batch) {
		if !answered {
			p.relay.Helpers.Report(h.helper, p.elapsed() < p.delay+2*hopTime)
		}
		answered = true
		p.take(h, b)
	})
	if !answered && (p.context.Err() == nil || p.elapsed() >= p.delay+2*hopTime) {
		p.relay.Helpers.Report(h.helper, false)
		p.relay.Log.Info("daemon did not help", "request", p.message.ID, "daemon", h.helper.ID,
			"parts", len(h.indexes), "elapsed", p.elapsed(), "error", err)
	}
	p.endHop(h, err == nil)
}

// take takes in a batch. A part that is in by another way meanwhile gives way,
// since the batch's records cannot be told apart.
func (p *pursuit) take(h hop, b ramp.Batch) {
	p.batches.Lock()
	if p.concluded {
		p.batches.Unlock()
		return
	}
	var added []part
	for n, in := range b.Received {
		response := ramp.Response{Stamp: in.Stamp}
		if n == 0 {
			response.Body = b.Records
		}
		news := false
		state := p.parts.Update(h.indexes[in.Index], func(s part) part {
			news = !s.merged
			return s.withHop(ramp.Merged, p.elapsed()).WithMerged(response)
		})
		if news {
			added = append(added, state)
		}
	}
	p.batches.Unlock()
	for _, s := range added {
		s.cancel()
		p.in.Add(1)
		p.settled()
	}
	for _, out := range b.Pending {
		index := h.indexes[out.Index]
		p.parts.Update(index, func(s part) part { return s.withAsked(out.Replica) })
		p.submit(index, ramp.Retry)
	}
}

// endHop settles the parts that the hop did not bring.
func (p *pursuit) endHop(h hop, whole bool) {
	outcome := ramp.Failed
	if !whole {
		outcome = ramp.Unreachable
	}
	for _, i := range h.indexes {
		open := false
		p.parts.Update(i, func(s part) part {
			open = !s.closed
			return s.withHop(outcome, p.elapsed())
		})
		if open {
			p.submit(i, ramp.Retry)
		}
	}
}

// HandleCollect implements [ramp.CollectHandler]: it asks each service once and
// leaves further attempts to the daemon that asks, which counts them.
func (r *Relay) HandleCollect(ctx context.Context, c ramp.CollectRequest, send func(ramp.Batch) error) error {
	routing, _ := r.Routes.Current()
	started := r.Clock.Now()
	p := r.newPursuit(ctx, c.Message, c.Route, routing, started, c.Deadline)
	defer p.cancel()
	p.merges = make(chan int, p.count)
	for i := range p.count {
		p.submit(i, ramp.First)
	}
	late := make(chan struct{})
	defer r.Clock.AfterFunc(p.delay, func() { close(late) })()
	select {
	case <-p.done:
	case <-late:
	case <-ctx.Done():
		return ctx.Err()
	}
	sent := make(map[int]bool)
	first := p.collected(c.Route.TopK, sent)
	if err := send(first); err != nil {
		return err
	}
	err := p.sendRest(ctx, sent, send)
	r.Log.Info("parts collected", "request", c.Message.ID, "route", c.Route.Name, "wanted", p.count,
		"first", len(first.Received), "in", p.in.Load(), "elapsed", p.elapsed())
	return err
}

// collected returns the parts that are in as one batch, and those that are not.
func (p *pursuit) collected(top int, sent map[int]bool) ramp.Batch {
	var batch ramp.Batch
	var bodies [][]byte
	for i := range p.count {
		s, _ := p.parts.Get(i)
		if s.merged {
			sent[i] = true
			bodies = append(bodies, s.response.Body)
			batch.Received = append(batch.Received, ramp.ReceivedPart{Index: i, Stamp: s.response.Stamp})
			continue
		}
		out := ramp.PendingPart{Index: i}
		if len(s.attempts) > 0 {
			out.Replica = s.attempts[len(s.attempts)-1].Replica.ID
		}
		batch.Pending = append(batch.Pending, out)
	}
	batch.Records = greatest(bodies, top)
	return batch
}

// sendRest sends each part that comes later by itself.
func (p *pursuit) sendRest(ctx context.Context, sent map[int]bool, send func(ramp.Batch) error) error {
	for {
		var index int
		select {
		case index = <-p.merges:
		default:
			select {
			case index = <-p.merges:
			case <-p.done:
				if len(p.merges) == 0 {
					return nil
				}
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if sent[index] {
			continue
		}
		sent[index] = true
		s, _ := p.parts.Get(index)
		err := send(ramp.Batch{
			Received: []ramp.ReceivedPart{{Index: index, Stamp: s.response.Stamp}},
			Records:  greatest([][]byte{s.response.Body}, p.route.TopK),
		})
		if err != nil {
			return err
		}
	}
}
