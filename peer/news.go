package peer

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/peer/wire"
	"sycamoreramp.example/sycamoreramp/platform"
)

// encodeNews returns the message for news.
func encodeNews(n ramp.News, credential string) (*wire.News, error) {
	message := &wire.News{
		From:        encodeDaemon(n.From),
		Version:     n.Version,
		Digest:      n.Digest[:],
		Revision:    n.Revision,
		ConfirmedMs: n.Confirmed.Milliseconds(),
		Leaving:     n.Leaving,
		Credential:  credential,
		Members:     encodeMembers(n.Members),
		Entries:     encodeEntries(n.Entries),
	}
	if n.Lists.Version > 0 {
		lists, err := platform.EncodeLists(n.Lists)
		if err != nil {
			return nil, err
		}
		message.Lists = lists
	}
	if n.Change.Version > 0 {
		change, err := encodeChange(n.Change)
		if err != nil {
			return nil, err
		}
		message.Change = change
	}
	for _, u := range n.Used {
		message.Used = append(message.Used, &wire.Usage{
			Plan: u.Plan, AtMs: u.At.Milliseconds(), Wanted: int64(u.Wanted), Served: int64(u.Served),
		})
	}
	return message, nil
}

func decodeNews(m *wire.News) (ramp.News, error) {
	news := ramp.News{
		From:      decodeDaemon(m.GetFrom()),
		Version:   m.GetVersion(),
		Digest:    decodeDigest(m.GetDigest()),
		Revision:  m.GetRevision(),
		Confirmed: time.Duration(m.GetConfirmedMs()) * time.Millisecond,
		Leaving:   m.GetLeaving(),
		Members:   decodeMembers(m.GetMembers()),
		Entries:   decodeEntries(m.GetEntries()),
	}
	if len(m.GetLists()) > 0 {
		lists, err := platform.DecodeLists(m.GetLists())
		if err != nil {
			return ramp.News{}, err
		}
		news.Lists = lists
	}
	if m.GetChange() != nil {
		change, err := decodeChange(m.GetChange())
		if err != nil {
			return ramp.News{}, err
		}
		news.Change = change
	}
	for _, u := range m.GetUsed() {
		news.Used = append(news.Used, ramp.Usage{
			Plan: u.GetPlan(), At: time.Duration(u.GetAtMs()) * time.Millisecond,
			Wanted: uint64(u.GetWanted()), Served: uint64(u.GetServed()),
		})
	}
	return news, nil
}

// encodeChange carries the changed entries in the form of lists.
func encodeChange(c ramp.ListsChange) (*wire.ListsChange, error) {
	entries := ramp.Lists{Customers: c.Customers, Plans: c.Plans}.WithVersion(c.Version, c.Edit, c.Author)
	encoded, err := platform.EncodeLists(entries)
	if err != nil {
		return nil, err
	}
	return &wire.ListsChange{
		Base: c.Base, From: c.From[:], To: c.To[:], Entries: encoded, Dropped: c.Dropped, Ended: c.Ended,
	}, nil
}

func decodeChange(m *wire.ListsChange) (ramp.ListsChange, error) {
	entries, err := platform.DecodeEntries(m.GetEntries())
	if err != nil {
		return ramp.ListsChange{}, err
	}
	return ramp.ListsChange{
		Base: m.GetBase(), From: decodeDigest(m.GetFrom()), To: decodeDigest(m.GetTo()),
		Version: entries.Version, Edit: entries.Edit, Author: entries.Author,
		Customers: entries.Customers, Plans: entries.Plans, Dropped: m.GetDropped(), Ended: m.GetEnded(),
	}, nil
}

func encodeEntries(c ramp.EntryChange) *wire.EntryChange {
	if c.Until == 0 {
		return nil
	}
	message := &wire.EntryChange{After: c.After, Until: c.Until}
	for _, e := range c.Entries {
		message.Entries = append(message.Entries, &wire.Entry{
			Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed,
		})
	}
	return message
}

func decodeEntries(m *wire.EntryChange) ramp.EntryChange {
	change := ramp.EntryChange{After: m.GetAfter(), Until: m.GetUntil()}
	for _, e := range m.GetEntries() {
		change.Entries = append(change.Entries, ramp.Entry{
			Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved(),
		})
	}
	return change
}

func encodeMembers(c ramp.MemberChange) *wire.MemberChange {
	if c.Until == 0 {
		return nil
	}
	message := &wire.MemberChange{After: c.After, Until: c.Until}
	for _, m := range c.Members {
		member := &wire.Member{Revision: m.Revision, Gone: m.Gone, Daemon: encodeDaemon(m.Daemon)}
		if m.Gone {
			member.Daemon = &wire.Daemon{Id: m.ID, Incarnation: m.Incarnation, Leaving: m.Leaving}
		}
		message.Members = append(message.Members, member)
	}
	return message
}

func decodeMembers(m *wire.MemberChange) ramp.MemberChange {
	change := ramp.MemberChange{After: m.GetAfter(), Until: m.GetUntil()}
	for _, member := range m.GetMembers() {
		change.Members = append(change.Members, ramp.Member{
			Daemon: decodeDaemon(member.GetDaemon()), Revision: member.GetRevision(), Gone: member.GetGone(),
		})
	}
	return change
}

func encodeDaemon(d ramp.Daemon) *wire.Daemon {
	return &wire.Daemon{
		Id: d.ID, Incarnation: d.Incarnation, Domain: d.Domain, Caller: d.Caller, Peer: d.Peer, Leaving: d.Leaving,
	}
}

func decodeDaemon(m *wire.Daemon) ramp.Daemon {
	return ramp.Daemon{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), Domain: m.GetDomain(), Caller: m.GetCaller(),
		Peer: m.GetPeer(), Leaving: m.GetLeaving(),
	}
}

// decodeDigest reads a digest. One of another length matches no lists.
func decodeDigest(data []byte) ramp.Digest {
	var digest ramp.Digest
	copy(digest[:], data)
	return digest
}
