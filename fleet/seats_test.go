package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"sycamoreramp.example/sycamoreramp/internal/seeded"

	"pgregory.net/rapid"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

func init() { seeded.Fix(1000) }

// testLimit is how many connections a backend server allows.
const testLimit = 25

// process is a daemon that uses all the connections it may.
type process struct {
	self   ramp.Daemon
	round  func(context.Context) bool
	open   int
	frozen bool
	dead   bool
	vm     bool // its VM exists
	lease  time.Time
}

func (p *process) SetMaxConnections(limit int) {
	if !p.dead { // killed in the middle of a claim
		p.open = limit
	}
}

// world is a store, a VM list and processes that take turns.
type world struct {
	now       time.Time
	count     int // of the seats
	seats     map[int]ramp.Slot
	revision  uint64
	outage    bool
	lose      bool            // the reply to the next write is lost
	named     map[string]bool // by address, as the VM list says
	processes []*process
	pause     func() // runs before and after each write takes effect
}

func newWorld(seats int) *world {
	return &world{
		now: time.Unix(0, 0), count: seats, seats: map[int]ramp.Slot{}, named: map[string]bool{}, pause: func() {},
	}
}

func (w *world) Now() time.Time                                { return w.now }
func (w *world) AfterFunc(time.Duration, func()) (stop func()) { return func() {} }

func (w *world) ListVMs(context.Context) ([]ramp.VM, error) {
	var vms []ramp.VM
	for address := range w.named {
		vms = append(vms, ramp.VM{Address: address})
	}
	return vms, w.down()
}

func (w *world) down() error {
	if w.outage {
		return &ramp.StoreError{Call: "seats", Cause: errors.New("down")}
	}
	return nil
}

func (w *world) Slots(context.Context) ([]ramp.Slot, error) {
	var seats []ramp.Slot
	for number := range w.count {
		if seat, ok := w.seats[number]; ok {
			seats = append(seats, seat)
		}
	}
	return seats, w.down()
}

func (w *world) SwapSlot(_ context.Context, s ramp.Slot) (uint64, error) {
	w.pause()
	if err := w.down(); err != nil {
		return 0, err
	}
	if w.seats[s.Number].Revision != s.Revision {
		return 0, &ramp.ConflictError{Key: "seat"}
	}
	w.revision++
	s.Revision = w.revision
	w.seats[s.Number] = s
	w.pause()
	if w.lose {
		w.lose = false
		return 0, &ramp.StoreError{Call: "swap", Cause: errors.New("reply lost")}
	}
	return s.Revision, nil
}

// start starts a process at an address of the form host:port.
func (w *world) start(address string, naive bool) {
	id := fmt.Sprint("d", len(w.processes))
	p := &process{self: ramp.Daemon{ID: id, Incarnation: id, CallerAddress: address}, vm: true, lease: w.now}
	s := &Seating{
		Clock: w, Log: slog.New(slog.DiscardHandler), Self: p.self, Store: w, VMs: w, Connections: p,
		Seats: w.count, Limit: testLimit,
	}
	p.round = s.Round
	if naive {
		p.round = func(context.Context) bool { return w.divide(p) }
	}
	w.processes = append(w.processes, p)
}

// divide is the naive budget: the limit divided by the members whose leases
// have not ended.
func (w *world) divide(p *process) bool {
	p.lease = w.now
	live := 0
	for _, other := range w.processes {
		if w.now.Sub(other.lease) <= leaseTTL {
			live++
		}
	}
	p.open = testLimit / live
	return true
}

func (w *world) turn(p *process) {
	if !p.frozen && !p.dead {
		p.round(context.Background())
	}
}

func (w *world) open() int {
	total := 0
	for _, p := range w.processes {
		total += p.open
	}
	return total
}

func (w *world) kill(p *process) { p.dead, p.open = true, 0 }

// TestSeatsScript shows a freeze, a replacement and a return with seats, and
// what a budget by live members does of it.
func TestSeatsScript(t *testing.T) {
	var b strings.Builder
	for _, naive := range []bool{false, true} {
		w := newWorld(6)
		everyone := func(event string) {
			for range 2 {
				w.now = w.now.Add(leaseTTL)
				for _, p := range w.processes {
					w.turn(p)
				}
			}
			verdict := "ok"
			if w.open() > testLimit {
				verdict = "VIOLATION"
			}
			fmt.Fprintf(&b, "naive=%t %s: open=%d limit=%d %s\n", naive, event, w.open(), testLimit, verdict)
		}
		for i := range 4 {
			w.start(fmt.Sprintf("10.0.0.%d:80", i), naive)
		}
		everyone("four daemons")
		w.processes[0].frozen = true
		everyone("one is frozen")
		w.start("10.0.0.9:80", naive)
		everyone("a fifth joins")
		w.kill(w.processes[1])
		w.start("10.0.0.1:80", naive)
		everyone("one is killed and replaced at its address")
		w.processes[0].frozen = false
		everyone("the frozen one wakes")
	}
	golden.Check(t, "seats", b.String())
}

// TestSeatsSchedules runs joins, freezes, kills, replacements, a lagging VM
// list, outages and lost replies, also in the middle of a claim.
func TestSeatsSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 6).Draw(t, "seats"))
		depth := 0
		w.pause = func() {
			if depth < 3 && rapid.IntRange(0, 3).Draw(t, "paused") == 0 {
				depth++
				w.act(t)
				depth--
			}
		}
		for range 5 {
			w.join()
		}
		for range 40 {
			w.act(t)
			if w.open() > testLimit {
				t.Fatalf("%d connections are open, limit %d", w.open(), testLimit)
			}
		}
		w.recover(t)
	})
}

func (w *world) join() { w.start(fmt.Sprintf("10.0.1.%d:80", len(w.processes)), false) }

// act takes one step of a schedule.
func (w *world) act(t *rapid.T) {
	p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
	switch rapid.IntRange(0, 13).Draw(t, "step") {
	case 0:
		p.frozen = !p.dead
	case 1:
		p.frozen = false
	case 2:
		w.kill(p)
	case 3: // the VM ends; the list notices later
		w.kill(p)
		p.vm = false
	case 4:
		w.replace(p)
	case 5:
		w.outage = !w.outage
	case 6:
		w.lose = true
	case 7:
		w.named[p.self.CallerAddress] = true // late, or even after the VM's end
	case 8:
		if !p.vm {
			delete(w.named, p.self.CallerAddress)
		}
	case 9:
		w.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
	default:
		w.turn(p)
	}
}

// replace starts a process in place of one that has ended.
func (w *world) replace(p *process) {
	for _, other := range w.processes {
		if other.self.CallerAddress == p.self.CallerAddress && !other.dead {
			return
		}
	}
	switch {
	case p.vm:
		w.start(p.self.CallerAddress, false)
	case len(w.processes) < 16:
		w.join()
	}
}

// advance moves the clock. A VM is listed at the latest after half of listLag.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.processes {
		if p.vm && w.now.Sub(p.lease) > listLag/2 {
			w.named[p.self.CallerAddress] = true
		}
	}
}

// recover ends all faults. Then every process that runs must get a seat while
// there are enough.
func (w *world) recover(t *rapid.T) {
	w.pause = func() {}
	w.outage, w.lose = false, false
	running := 0
	for _, p := range w.processes {
		p.frozen = false
		if p.dead {
			p.vm = false
			delete(w.named, p.self.CallerAddress)
			continue
		}
		running++
	}
	for _, p := range w.processes {
		if !p.dead {
			w.named[p.self.CallerAddress] = true
		}
	}
	for range 2 * listLag / seatGrace {
		w.now = w.now.Add(seatGrace)
		for _, p := range w.processes {
			w.turn(p)
		}
	}
	if want := min(running, w.count) * (testLimit / w.count); w.open() != want {
		t.Fatalf("%d connections are open after all faults ended, want %d", w.open(), want)
	}
}
