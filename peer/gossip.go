package peer

import (
	"math"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/peer/wire"
	"sycamoreramp.example/sycamoreramp/platform"
)

// encodeGossip returns the wire form of the message. It returns an error when the
// lists cannot be encoded.
func encodeGossip(g ramp.GossipMessage, credential string) (*wire.News, error) {
	message := &wire.News{
		From:        encodeDaemon(g.From),
		Version:     g.ListsVersion,
		Digest:      g.ListsDigest[:],
		Era:         g.StoreEra,
		Revision:    g.MembersRevision,
		ConfirmedMs: encodeAge(g.ConfirmedAge),
		Leaving:     g.LeavingVMs,
		Credential:  credential,
		Members:     encodeMemberChange(g.MemberChange),
		Entries:     encodeEntryChange(g.EntryChange),
	}
	if g.Lists.Version > 0 {
		lists, err := platform.EncodeLists(g.Lists)
		if err != nil {
			return nil, err
		}
		message.Lists = lists
	}
	if g.ListsChange.Version > 0 {
		change, err := encodeListsChange(g.ListsChange)
		if err != nil {
			return nil, err
		}
		message.Change = change
	}
	for _, u := range g.Usage {
		message.Used = append(message.Used, &wire.Usage{
			Plan: u.Plan, AtMs: u.Uptime.Milliseconds(), Wanted: int64(u.Requested), Served: int64(u.Admitted),
		})
	}
	for _, b := range g.Blocked {
		message.Blocked = append(message.Blocked, &wire.Blocked{
			Message: b.Fingerprint[:], LeftMs: b.Left.Milliseconds(), Times: uint32(b.Times), Crashes: uint32(b.Crashes),
			Replicas: b.Replicas,
		})
	}
	return message, nil
}

// decodeGossip returns the message of its wire form, or an error for malformed
// lists.
func decodeGossip(m *wire.News) (ramp.GossipMessage, error) {
	message := ramp.GossipMessage{
		From:            decodeDaemon(m.GetFrom()),
		ListsVersion:    m.GetVersion(),
		ListsDigest:     decodeDigest(m.GetDigest()),
		StoreEra:        m.GetEra(),
		MembersRevision: m.GetRevision(),
		ConfirmedAge:    time.Duration(m.GetConfirmedMs()) * time.Millisecond,
		LeavingVMs:      m.GetLeaving(),
		MemberChange:    decodeMemberChange(m.GetMembers()),
		EntryChange:     decodeEntryChange(m.GetEntries()),
	}
	if len(m.GetLists()) > 0 {
		lists, err := platform.DecodeLists(m.GetLists())
		if err != nil {
			return ramp.GossipMessage{}, err
		}
		message.Lists = lists
	}
	if m.GetChange() != nil {
		change, err := decodeListsChange(m.GetChange())
		if err != nil {
			return ramp.GossipMessage{}, err
		}
		message.ListsChange = change
	}
	for _, u := range m.GetUsed() {
		message.Usage = append(message.Usage, ramp.Usage{
			Plan: u.GetPlan(), Uptime: time.Duration(u.GetAtMs()) * time.Millisecond,
			Requested: uint64(u.GetWanted()), Admitted: uint64(u.GetServed()),
		})
	}
	for _, b := range m.GetBlocked() {
		block := ramp.BlockedMessage{
			Left: time.Duration(b.GetLeftMs()) * time.Millisecond, Times: int(b.GetTimes()), Crashes: int(b.GetCrashes()),
			Replicas: b.GetReplicas(),
		}
		copy(block.Fingerprint[:], b.GetMessage())
		message.Blocked = append(message.Blocked, block)
	}
	return message, nil
}

// maxAgeMillis is the greatest age that can be decoded, in milliseconds.
const maxAgeMillis = int64(math.MaxInt64 / time.Millisecond)

// encodeAge returns an age in milliseconds, rounded up, since the receiver relies on what it
// confirms. A negative age stands for none, and stays negative.
func encodeAge(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	millis := age.Milliseconds()
	if age%time.Millisecond > 0 && millis < maxAgeMillis {
		millis++
	}
	return millis
}

// encodeListsChange returns the wire form of the change. Added and replaced entries
// are encoded as lists that hold only these.
func encodeListsChange(c ramp.ListsChange) (*wire.ListsChange, error) {
	entries := ramp.Lists{Customers: c.Customers, Plans: c.Plans}.WithVersion(c.Version, c.Edit, c.Author)
	encoded, err := platform.EncodeLists(entries)
	if err != nil {
		return nil, err
	}
	return &wire.ListsChange{
		Base: c.BaseVersion, From: c.BaseDigest[:], To: c.Digest[:], Entries: encoded,
		Dropped: c.RemovedCustomers, Ended: c.RemovedPlans,
	}, nil
}

func decodeListsChange(m *wire.ListsChange) (ramp.ListsChange, error) {
	entries, err := platform.DecodeUncheckedLists(m.GetEntries())
	if err != nil {
		return ramp.ListsChange{}, err
	}
	return ramp.ListsChange{
		BaseVersion: m.GetBase(), BaseDigest: decodeDigest(m.GetFrom()), Digest: decodeDigest(m.GetTo()),
		Version: entries.Version, Edit: entries.Edit, Author: entries.Author,
		Customers: entries.Customers, Plans: entries.Plans, RemovedCustomers: m.GetDropped(), RemovedPlans: m.GetEnded(),
	}, nil
}

// encodeEntryChange returns the wire form of the change, nil for none.
func encodeEntryChange(c ramp.EntryChange) *wire.EntryChange {
	if c.ToRevision == 0 {
		return nil
	}
	message := &wire.EntryChange{Era: c.Era, After: c.FromRevision, Until: c.ToRevision}
	for _, e := range c.Entries {
		message.Entries = append(message.Entries, &wire.Entry{
			Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed,
		})
	}
	return message
}

func decodeEntryChange(m *wire.EntryChange) ramp.EntryChange {
	change := ramp.EntryChange{Era: m.GetEra(), FromRevision: m.GetAfter(), ToRevision: m.GetUntil()}
	for _, e := range m.GetEntries() {
		change.Entries = append(change.Entries, ramp.Entry{
			Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved(),
		})
	}
	return change
}

// encodeMemberChange returns the wire form of the change, nil for none. A removed
// member is sent without its failure domain and addresses.
func encodeMemberChange(c ramp.MemberChange) *wire.MemberChange {
	if c.ToRevision == 0 {
		return nil
	}
	message := &wire.MemberChange{Era: c.Era, After: c.FromRevision, Until: c.ToRevision}
	for _, m := range c.Members {
		member := &wire.Member{Revision: m.Revision, Gone: m.Removed, Daemon: encodeDaemon(m.Daemon)}
		if m.Removed {
			member.Daemon = &wire.Daemon{Id: m.ID, Incarnation: m.Incarnation, Leaving: m.Leaving}
		}
		message.Members = append(message.Members, member)
	}
	return message
}

func decodeMemberChange(m *wire.MemberChange) ramp.MemberChange {
	change := ramp.MemberChange{Era: m.GetEra(), FromRevision: m.GetAfter(), ToRevision: m.GetUntil()}
	for _, member := range m.GetMembers() {
		change.Members = append(change.Members, ramp.Member{
			Daemon: decodeDaemon(member.GetDaemon()), Revision: member.GetRevision(), Removed: member.GetGone(),
		})
	}
	return change
}

func encodeDaemon(d ramp.Daemon) *wire.Daemon {
	return &wire.Daemon{
		Id: d.ID, Incarnation: d.Incarnation, Domain: d.Domain,
		Caller: d.CallerAddress, Peer: d.PeerAddress, Leaving: d.Leaving,
		Processor: d.Capacity.Processor, Link: d.Capacity.Link,
	}
}

func decodeDaemon(m *wire.Daemon) ramp.Daemon {
	return ramp.Daemon{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), Domain: m.GetDomain(), CallerAddress: m.GetCaller(),
		PeerAddress: m.GetPeer(), Leaving: m.GetLeaving(),
		Capacity: ramp.Capacity{Processor: m.GetProcessor(), Link: m.GetLink()},
	}
}

// decodeDigest returns the digest. Data of another length is padded with zeros or
// truncated, so that it matches no lists.
func decodeDigest(data []byte) ramp.Digest {
	var digest ramp.Digest
	copy(digest[:], data)
	return digest
}
