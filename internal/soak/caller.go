package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Request paths that callers send, one per configured route.
const (
	pathAll  = "/all/x"
	pathRead = "/read/x"
	pathOnce = "/once/x"
)

// caller sends requests to daemons, often over a persistent connection.
type caller struct {
	cluster *cluster
	name    string
	random  *rand.Rand
	liveKey bool // requests have a key in force, of a tenant without a limit

	daemon *process
	conn   net.Conn
	reader *bufio.Reader
	served int // requests answered with success
	asked  int // requests sent
}

// run sends requests until the cluster's context is done.
func (c *caller) run() {
	for c.cluster.ctx.Err() == nil {
		c.sendRequest()
		time.Sleep(time.Duration(10+c.random.IntN(40)) * time.Millisecond)
	}
	c.disconnect()
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// sendRequest sends one request and checks the response. It uses the same daemon for
// as long as the connection stays open.
func (c *caller) sendRequest() {
	if c.conn == nil {
		c.daemon = c.cluster.daemons[c.random.IntN(len(c.cluster.daemons))]
		conn, err := net.DialTimeout("tcp", c.daemon.ip+":8104", time.Second)
		if err != nil {
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.asked++
	id := fmt.Sprintf("%s-%d-%d", c.name, c.cluster.seed, c.asked)
	method, path, body := http.MethodGet, pathAll, ""
	switch c.random.IntN(4) {
	case 0:
		path = pathRead
	case 1:
		method, path, body = http.MethodPost, pathOnce, "body of "+id
	case 2:
		if v := c.extraRoute(); v != "" {
			path = v + "x"
		}
	}
	began := time.Now()
	before := c.cluster.knownVersions()
	response, got, err := c.exchange(method, path, id, body)
	if err != nil {
		c.checkBroken(id, began, err)
		return
	}
	_ = response.Body.Close() // it was read
	c.checkResponse(id, method, path, response, got, began, before)
	c.checkStatus(id, response.StatusCode, began)
	if response.Close {
		c.disconnect()
	}
}

// extraRoute returns the path of the route that only the newest configuration has,
// or "" if there is none.
func (c *caller) extraRoute() string {
	versions := c.cluster.knownVersions()
	return versions[len(versions)-1].extra
}

func (c *caller) exchange(method, path, id, body string) (*http.Response, []byte, error) {
	const format = "%s %s HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 800\r\n"
	head := fmt.Sprintf(format, method, path, id)
	if t := c.cluster.tenants; t != nil {
		if k := t.draw(id, c.random, c.liveKey); k.text != "" {
			head += "X-Credential: " + k.text + "\r\nX-Tenant: forged\r\n"
		}
	}
	if body != "" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := c.conn.Write([]byte(head + "\r\n" + body)); err != nil {
		return nil, nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	got, err := io.ReadAll(response.Body)
	if err != nil {
		_ = response.Body.Close() // the body was truncated
		return nil, nil, err
	}
	return response, got, nil
}

// checkBroken checks a connection that ended without a response: a daemon that no
// fault was injected into must not lose a request that a replica has executed.
func (c *caller) checkBroken(id string, began time.Time, err error) {
	runs := len(c.cluster.ledger.runsOf(id))
	c.cluster.ledger.check("lost", runs == 0 || c.daemon.disturbedSince(began.Add(-graceTime)),
		"%s ran %d times at %s and got no response: %v", id, runs, c.daemon.name, err)
	c.disconnect()
}

// checkResponse checks a response against the executions that replicas recorded.
func (c *caller) checkResponse(
	id, method, path string, r *http.Response, body []byte, began time.Time, before []version,
) {
	l, runs := c.cluster.ledger, c.cluster.ledger.runsOf(id)
	if method == http.MethodPost {
		l.check("twice", len(runs) <= 1, "%s ran %d times", id, len(runs))
	}
	for service, n := range countBy(runs) {
		l.check("attempts", n <= 2, "%s ran %d times at %s", id, n, service)
	}
	switch {
	case r.StatusCode == http.StatusOK && path == pathAll:
		c.served++
		c.checkGathered(id, r, body, runs)
	case r.StatusCode == http.StatusOK:
		c.served++
		if path != pathRead && path != pathOnce {
			l.check("config", true, "") // the route that only the newest version has is in force
		}
		c.checkSingle(id, method, r, body, runs)
	case r.StatusCode == http.StatusServiceUnavailable, r.StatusCode == http.StatusTooManyRequests,
		r.StatusCode == http.StatusUnauthorized:
		l.check("refused", len(runs) == 0, "%s was refused as not run and ran %d times", id, len(runs))
		if len(runs) == 0 {
			time.AfterFunc(time.Second, func() {
				later := len(l.runsOf(id))
				l.check("refused", later == 0, "%s ran %d times after it was refused as not run", id, later)
			})
		}
	case r.StatusCode == http.StatusNotFound:
		c.checkNotFound(id, path, began, before)
	}
	if stamp := r.Header.Get("X-Server-Stamp"); stamp != "" && r.StatusCode != http.StatusOK {
		given := slices.ContainsFunc(runs, func(x run) bool { return x.stamp == stamp && x.status == r.StatusCode })
		l.check("stamp", given,
			"%s: no replica sent this response with status %d", id, r.StatusCode)
	}
}

// checkNotFound checks that a response with status 404 does not concern a route that
// must be in force.
func (c *caller) checkNotFound(id, path string, began time.Time, before []version) {
	v := before[len(before)-1]
	settled := !v.acked.IsZero() && began.Sub(v.acked) > applyBound
	own := path == pathAll || path == pathRead || path == pathOnce
	inForce := own || strings.HasPrefix(path, v.extra) && v.extra != ""
	if c.cluster.faultFreeFor() >= settleTime+time.Since(began) {
		c.cluster.ledger.check("config", !inForce || !settled && !own, "%s: %s is not found %s after version %d",
			id, path, began.Sub(v.acked), v.number)
	}
	c.cluster.ledger.check("denied", !own, "%s: %s is not found, but no configuration removed it", id, path)
}

func (c *caller) checkSingle(id, method string, r *http.Response, body []byte, runs []run) {
	stamp := r.Header.Get("X-Server-Stamp")
	at := slices.IndexFunc(runs, func(x run) bool { return x.stamp == stamp && x.status == http.StatusOK })
	c.cluster.ledger.check("own", at >= 0, "%s: the stamp %s matches none of its executions", id, stamp)
	if at < 0 {
		return
	}
	want := recordsOf(id, runs[at].service)
	if method == http.MethodPost {
		want = append(want, "body of "+id...)
	}
	c.cluster.ledger.check("whole", bytes.Equal(body, want), "%s: body has %d bytes, want the %d of the replica",
		id, len(body), len(want))
}

func (c *caller) checkGathered(id string, r *http.Response, body []byte, runs []run) {
	var services []string
	for stamp := range strings.SplitSeq(strings.Join(r.Header.Values("X-Part-Stamps"), ","), ",") {
		stamp = strings.TrimSpace(stamp)
		at := slices.IndexFunc(runs, func(x run) bool { return x.stamp == stamp && x.status == http.StatusOK })
		c.cluster.ledger.check("part", at >= 0, "%s: the stamp %q matches none of its successful executions", id, stamp)
		if at < 0 {
			return
		}
		service := runs[at].service
		c.cluster.ledger.check("part", !slices.Contains(services, service), "%s: two parts of %s", id, service)
		services = append(services, service)
	}
	missing, _ := strconv.Atoi(r.Header.Get("X-Missing-Parts")) // none is 0
	fits := slices.ContainsFunc(c.cluster.knownVersions(), func(v version) bool {
		return len(services)+missing == len(v.set) && !slices.ContainsFunc(services, func(s string) bool {
			return !slices.Contains(v.set, s)
		})
	})
	n := len(services)
	c.cluster.ledger.check("set", fits, "%s: %d parts of %v and %d missing match no configuration",
		id, n, services, missing)
	c.cluster.ledger.check("least", 10*n >= 6*(n+missing), "%s: %d parts, %d missing", id, n, missing)
	c.cluster.ledger.check("greatest", bytes.Equal(body, greatestOf(id, services)),
		"%s: the body does not hold the greatest records of its parts", id)
}

func countBy(runs []run) map[string]int {
	counts := map[string]int{}
	for _, r := range runs {
		counts[r.service]++
	}
	return counts
}

// addresses returns the addresses that the daemon's directory endpoint lists.
func (p *process) addresses() ([]string, error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ip + ":8100/resolve?name=soak.example&zone=" + p.zone)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Addrs, err
}
