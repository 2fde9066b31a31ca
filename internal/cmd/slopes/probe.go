package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/daemon"
	"sycamoreramp.example/sycamoreramp/settings"
)

// usage is the resource usage of a process since its start, or the difference
// between two readings.
type usage struct {
	CPU        time.Duration `json:"cpu"`     // user and system time
	Mallocs    int64         `json:"mallocs"` // heap objects allocated
	AllocBytes int64         `json:"bytes"`   // heap bytes allocated
	Network    int64         `json:"network"` // bytes read and written by system calls, files included
	Heap       int64         `json:"heap"`    // bytes of live objects after a garbage collection
	Resident   int64         `json:"memory"`  // resident set size in bytes
}

// minus returns what was used since earlier. Heap and Resident are levels, not
// totals, and are left unchanged.
func (u usage) minus(earlier usage) usage {
	u.CPU -= earlier.CPU
	u.Mallocs -= earlier.Mallocs
	u.AllocBytes -= earlier.AllocBytes
	u.Network -= earlier.Network
	return u
}

// scale multiplies all but Heap and Resident by the factor, to convert the usage to
// another duration or to a mean per call.
func (u usage) scale(factor float64) usage {
	u.CPU = time.Duration(float64(u.CPU) * factor)
	u.Mallocs = int64(float64(u.Mallocs) * factor)
	u.AllocBytes = int64(float64(u.AllocBytes) * factor)
	u.Network = int64(float64(u.Network) * factor)
	return u
}

// daemonCommand runs a daemon and serves its usage over HTTP.
type daemonCommand struct {
	Settings string `arg:"--settings,required" help:"settings file of the daemon"`
	Probe    string `arg:"--probe,required" help:"address that serves the usage"`
}

func (c *daemonCommand) run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	d, err := daemon.New(s, ramp.SystemClock{}, log)
	if err != nil {
		return err
	}
	server := &http.Server{Addr: c.Probe, Handler: http.HandlerFunc(serveUsage), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.ListenAndServe() }() // on failure the parent's request for the usage fails
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return d.Run(ctx)
}

// serveUsage answers any request with the usage of this process as JSON.
func serveUsage(w http.ResponseWriter, _ *http.Request) {
	u, err := readUsage()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(u) // fails only if the parent has disconnected
}

// readUsage returns the usage of this process. It reads the processor time and the
// allocation counters before it forces a garbage collection, so that the reading
// does not include its own collection.
func readUsage() (usage, error) {
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return usage{}, err
	}
	network, err := sumFields("/proc/self/io", "rchar:", "wchar:")
	if err != nil {
		return usage{}, err
	}
	memory, err := sumFields("/proc/self/status", "VmRSS:")
	if err != nil {
		return usage{}, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return usage{
		CPU:     time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()),
		Mallocs: int64(before.Mallocs), AllocBytes: int64(before.TotalAlloc), Network: network, Heap: int64(after.HeapAlloc),
		Resident: memory << 10, // the file gives KiB
	}, nil
}

// sumFields returns the sum of the numbers that follow the names in a file under
// /proc. It fails if a name is missing.
func sumFields(file string, names ...string) (int64, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	var sum int64
	words := strings.Fields(string(text))
	for _, name := range names {
		found := false
		for i := 0; i+1 < len(words); i++ {
			if words[i] != name {
				continue
			}
			n, err := strconv.ParseInt(words[i+1], 10, 64)
			if err != nil {
				return 0, err
			}
			sum += n
			found = true
		}
		if !found {
			return 0, fmt.Errorf("%s has no field %q", file, name)
		}
	}
	return sum, nil
}
