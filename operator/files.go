// Package operator is the interface for operators. It reads and writes the two
// lists as TOML files, edits them in the platform's store, and serves and fetches
// the status, the service-level burn and the cluster view of daemons over HTTP
// with JSON bodies.
package operator

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	ramp "sycamoreramp.example/sycamoreramp"
)

type customersFile struct {
	Customer []customerEntry `toml:"customer"`
}

type customerEntry struct {
	Name string `toml:"name"`
	Plan string `toml:"plan"`
	Hash string `toml:"hash,omitempty"` // SHA-256 of the key, in hexadecimal
	Key  string `toml:"key,omitempty"`  // the key in plain text; accepted in files, never written
}

type plansFile struct {
	Plan []planEntry `toml:"plan"`
}

type planEntry struct {
	Name     string   `toml:"name"`
	Services []string `toml:"services"`
	Share    int      `toml:"share"`
	Rate     int      `toml:"rate"`
	Prefer   string   `toml:"prefer"`
	Deadline string   `toml:"deadline"`
	Latency  string   `toml:"latency"`
	Coverage float64  `toml:"coverage"`
}

// ParseLists parses the contents of the two list files. The result has version 0
// and is sorted by name. An unknown TOML key is an error. An entry that violates
// an invariant is a [*ramp.ListError].
func ParseLists(customers, plans []byte) (ramp.Lists, error) {
	var c customersFile
	if err := decodeStrict("customers", customers, &c); err != nil {
		return ramp.Lists{}, err
	}
	var p plansFile
	if err := decodeStrict("plans", plans, &p); err != nil {
		return ramp.Lists{}, err
	}
	lists := ramp.Lists{}
	for _, entry := range p.Plan {
		allowance, err := entry.allowance()
		if err != nil {
			return ramp.Lists{}, err
		}
		lists.Plans = append(lists.Plans, allowance)
	}
	for _, entry := range c.Customer {
		customer, err := entry.customer()
		if err != nil {
			return ramp.Lists{}, err
		}
		lists.Customers = append(lists.Customers, customer)
	}
	slices.SortFunc(lists.Plans, func(a, b ramp.Allowance) int { return strings.Compare(a.Plan, b.Plan) })
	slices.SortFunc(lists.Customers, func(a, b ramp.Customer) int { return strings.Compare(a.Name, b.Name) })
	return lists, lists.Check()
}

// FormatLists returns the contents of the two list files. Keys are written as
// hashes.
func FormatLists(l ramp.Lists) (customers, plans []byte, err error) {
	var c customersFile
	for _, entry := range l.Customers {
		hash := hex.EncodeToString(entry.Key[:])
		c.Customer = append(c.Customer, customerEntry{Name: entry.Name, Plan: entry.Plan, Hash: hash})
	}
	var p plansFile
	for _, a := range l.Plans {
		p.Plan = append(p.Plan, planEntry{
			Name: a.Plan, Services: a.Services, Share: a.Share, Rate: a.Rate, Prefer: string(a.Prefer),
			Deadline: a.Deadline.String(), Latency: a.Latency.String(), Coverage: a.Coverage,
		})
	}
	customers, err = encode(c)
	if err != nil {
		return nil, nil, err
	}
	plans, err = encode(p)
	return customers, plans, err
}

func (e planEntry) allowance() (ramp.Allowance, error) {
	fail := func(reason string) (ramp.Allowance, error) {
		return ramp.Allowance{}, &ramp.ListError{List: "plans", Entry: e.Name, Reason: reason}
	}
	deadline, err := time.ParseDuration(e.Deadline)
	if err != nil {
		return fail("has a malformed deadline")
	}
	latency, err := time.ParseDuration(e.Latency)
	if err != nil {
		return fail("has a malformed latency")
	}
	services := slices.Clone(e.Services)
	slices.Sort(services)
	return ramp.Allowance{
		Plan: e.Name, Services: services, Share: e.Share, Rate: e.Rate, Prefer: ramp.Preference(e.Prefer),
		Deadline: deadline, Latency: latency, Coverage: e.Coverage,
	}, nil
}

func (e customerEntry) customer() (ramp.Customer, error) {
	customer := ramp.Customer{Name: e.Name, Plan: e.Plan}
	if (e.Hash == "") == (e.Key == "") {
		return customer, &ramp.ListError{List: "customers", Entry: e.Name, Reason: "needs either a hash or a key"}
	}
	if e.Key != "" {
		customer.Key = ramp.HashCredential(e.Key)
		return customer, nil
	}
	hash, err := hex.DecodeString(e.Hash)
	if err != nil || len(hash) != len(customer.Key) {
		return customer, &ramp.ListError{List: "customers", Entry: e.Name, Reason: "has a malformed hash"}
	}
	copy(customer.Key[:], hash)
	return customer, nil
}

// decodeStrict decodes a TOML file and returns an error for an unknown key.
func decodeStrict(name string, text []byte, into any) error {
	meta, err := toml.Decode(string(text), into)
	if err != nil {
		return fmt.Errorf("list %s: %w", name, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("list %s: unknown name %s", name, unknown[0])
	}
	return nil
}

func encode(file any) ([]byte, error) {
	var b bytes.Buffer
	err := toml.NewEncoder(&b).Encode(file)
	return b.Bytes(), err
}
