//go:build review

package stage

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The command of the daemon in the deploy file.
const (
	daemonProgram = "target/sycamorerampd"
	daemonMetrics = "9464/metrics"
)

// daemon is a process of the system on its own loopback address.
type daemon struct {
	name     string
	ip       string
	zone     string
	settings string
	log      string
	command  *exec.Cmd
	ended    chan struct{}
	watches  atomic.Int64 // calls of the daemon that wait for changes of the store
}

// settingsFormat has the bounds of the small deployments on the users' sheets.
const settingsFormat = `nodeName = %[1]q
role = "daemon"
machineClass = "edge"
serves = ["edge","directory","control_plane"]
ip = %[2]q
zone = %[3]q
region = "region"
portRange = [7380,7395]
seeds = [%[4]s]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]

[bindAddrs]
front = "%[2]s:8104"
readiness = "%[2]s:8108"
control = "%[2]s:8106"
directory = "%[2]s:8100"

[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 58
recoveryS = 12
ttl_max_s = 5

[platform]
address = %[5]q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// newDaemons writes the settings of daemons, one for each of the zones, whose addresses begin
// with the prefix. The first two are the seeds. Each calls the store at an address of its own.
func newDaemons(prefix, dir string, zones []string, store func(d *daemon) (string, error)) ([]*daemon, error) {
	var all []*daemon
	var seeds []string
	for i, zone := range zones {
		d := &daemon{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", prefix, 11+i), zone: zone}
		d.settings = filepath.Join(dir, d.name+".toml")
		d.log = filepath.Join(dir, d.name+".log")
		if i < 2 {
			seeds = append(seeds, fmt.Sprintf("%q", d.ip+":8106"))
		}
		all = append(all, d)
	}
	for _, d := range all {
		address, err := store(d)
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf(settingsFormat, d.name, d.ip, d.zone, strings.Join(seeds, ","), address)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// zoneOf returns the name of a zone.
func zoneOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

// start runs the daemon with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.command = exec.Command(daemonProgram, "--platform", "--metrics", daemonMetrics)
	d.command.Env = append(os.Environ(), "SYCAMORERAMP_SETTINGS="+d.settings)
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.ended = ended
	command := d.command
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, which may have ended.
func (d *daemon) signal(s syscall.Signal) {
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	if d.ended == nil {
		return
	}
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// front returns the address for clients.
func (d *daemon) front() string { return net.JoinHostPort(d.ip, "8104") }

// awaitReady waits until the readiness check succeeds.
func (d *daemon) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ip+":8108/ready", http.NoBody)
		if err != nil {
			cancel()
			return err
		}
		response, err := http.DefaultClient.Do(request)
		cancel()
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}
