package sycamoreramp

import (
	"sync"
	"sync/atomic"
)

// Pool runs tasks on a bounded number of workers, in the order of their
// arrival. All work on backend servers runs on it. A worker starts when a task
// finds none idle, and stays. An idle worker blocks; it does not poll.
type Pool struct {
	tasks   chan func()
	stop    chan struct{}
	limit   int64 // workers that may be started
	started atomic.Int64
	idle    atomic.Int64 // workers that wait, less the tasks that were handed to them
	workers sync.WaitGroup
	mutex   sync.Mutex // guards the start of workers against Close
	closed  bool
}

// NewPool returns a pool of at most the given number of workers. Up to queue
// tasks wait for a worker before Submit refuses more.
func NewPool(workers, queue int) *Pool {
	return &Pool{tasks: make(chan func(), queue), stop: make(chan struct{}), limit: int64(workers)}
}

// Submit hands a task to the workers. It reports false when the queue is full
// or the pool is closed; the task will then not run.
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

// start adds a worker unless there are enough or the pool is closed.
func (p *Pool) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.started.Load() >= p.limit {
		return
	}
	p.started.Add(1)
	p.workers.Go(p.work)
}

// QueueLen returns the number of tasks that wait for a worker.
func (p *Pool) QueueLen() int { return len(p.tasks) }

// Close lets the running tasks end and drops those that still wait.
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
