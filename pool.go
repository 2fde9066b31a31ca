package sycamoreramp

import (
	"sync"
	"sync/atomic"
)

// Pool runs tasks on a bounded number of workers, in first-in, first-out order.
// All work on backend servers runs on it. A worker is started when a task is
// submitted while none is idle, and runs until Close. An idle worker blocks; it
// does not poll.
type Pool struct {
	tasks   chan func()
	stop    chan struct{}
	limit   int64 // workers that may be started
	started atomic.Int64
	idle    atomic.Int64 // waiting workers minus the tasks submitted to them
	workers sync.WaitGroup
	mutex   sync.Mutex // serialises the start of workers with Close
	closed  bool
}

// NewPool returns a pool of at most the given number of workers. Up to queue
// tasks wait for a worker before Submit refuses more.
func NewPool(workers, queue int) *Pool {
	return &Pool{tasks: make(chan func(), queue), stop: make(chan struct{}), limit: int64(workers)}
}

// Submit queues a task. It returns false, and the task does not run, when the queue
// is full or the pool is closed.
func (p *Pool) Submit(task func()) bool {
	select {
	case <-p.stop:
		return false
	default:
	}
	select {
	case p.tasks <- task:
	default:
		return false
	}
	if p.idle.Add(-1) < 0 && p.started.Load() < p.limit {
		p.start()
	}
	return true
}

// start starts a worker unless the limit is reached or the pool is closed.
func (p *Pool) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.started.Load() >= p.limit {
		return
	}
	p.started.Add(1)
	p.workers.Go(p.work)
}

// QueueLen returns the number of tasks waiting for a worker.
func (p *Pool) QueueLen() int { return len(p.tasks) }

// Close stops the workers, waits for the running tasks, and drops the queued tasks that
// no worker has started. It may be called more than once; every call
// waits for the running tasks.
func (p *Pool) Close() {
	p.mutex.Lock()
	if !p.closed {
		p.closed = true
		close(p.stop)
	}
	p.mutex.Unlock()
	p.workers.Wait()
}

func (p *Pool) work() {
	for {
		p.idle.Add(1)
		select {
		case <-p.stop:
			return
		case task := <-p.tasks:
			task()
		}
	}
}
