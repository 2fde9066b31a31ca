package retry

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of [Crashes].
const (
	suspectedCrashes = 2 // replicas that ended with a message before it is suspected
	blockedCrashes   = 3 // and before it is blocked for the first time
	// certain is the certainty at which a message is blocked. A message that alone had all
	// replicas of an episode reaches it in one episode, one of two messages in two.
	certain = 0.99
	// crashEpisode is the time within which crashes count as one episode: a message that is
	// sent to many replicas ends them at about the same time.
	crashEpisode = time.Second
	// decisionTime is the time after the crashes in which a sound message that was at the same
	// replicas gets an answer from others, and daemons tell each other of the crashes.
	decisionTime = 100 * time.Millisecond
	suspectLife  = 30 * time.Second // how long crashes count, and an answer speaks for a message
	blockTime    = time.Minute      // of the first block; doubles each time
	maxBlockTime = 10 * time.Minute
	maxDoublings = 4
	offenceLife  = 2 * maxBlockTime // how long it counts that a message was blocked
	maxSuspects  = 1 << 10
	maxEnded     = 1 << 12         // replicas that ended
	maxCrashes   = 64              // kept for a message, the newest ones
	maxSharers   = 64              // messages kept for a replica that ended
	maxBlocks    = 32              // passed on to other daemons
	evidenceTime = 5 * time.Second // for which the replicas of a block are passed on
)

// crash is the end of a replica that had a message.
type crash struct {
	replica string
	at      time.Time
}

// suspect is what is known of a message. It is an immutable value.
type suspect struct {
	crashes    []crash   // since it was last blocked, oldest first; never modified
	answeredAt time.Time // when a replica last answered it; zero for never
	heldUntil  time.Time // for a decision of this or another daemon; zero for never

	blockedUntil time.Time // zero for never
	blockedAt    time.Time
	times        int     // how often it was blocked
	evidence     []crash // for which it was last blocked; never modified
}

// WithCrash returns the suspect with a further crash, unless one of that replica is known from
// the last time. A replica may end again under the same id.
func (s suspect) WithCrash(replica string, last time.Duration, now time.Time) suspect {
	if slices.ContainsFunc(s.crashes, func(c crash) bool {
		return c.replica == replica && now.Sub(c.at) < last
	}) {
		return s
	}
	all := append(slices.Clip(s.crashes), crash{replica: replica, at: now})
	s.crashes = all[max(0, len(all)-maxCrashes):]
	return s
}

// WithAnswer returns the suspect after an answer, which clears it.
func (s suspect) WithAnswer(now time.Time) suspect { return suspect{answeredAt: now} }

// WithHold returns the suspect held for a decision.
func (s suspect) WithHold(d time.Duration, now time.Time) suspect {
	s.heldUntil = now.Add(d)
	return s
}

// WithBlock returns the suspect blocked from now on for the evidence.
func (s suspect) WithBlock(d time.Duration, times int, evidence []crash, now time.Time) suspect {
	s.blockedAt, s.blockedUntil = now, now.Add(d)
	s.times, s.evidence, s.crashes = times, evidence, nil
	return s
}

// WithoutBlock returns the suspect as if it had not been blocked the last time.
func (s suspect) WithoutBlock() suspect {
	return suspect{answeredAt: s.answeredAt, times: s.times - 1}
}

// recent returns the crashes that still count.
func (s suspect) recent(now time.Time) []crash {
	at := slices.IndexFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) < suspectLife })
	if at < 0 {
		return nil
	}
	return s.crashes[at:]
}

// left returns the time for which the message must not be sent.
func (s suspect) left(now time.Time) time.Duration {
	return max(0, s.blockedUntil.Sub(now), s.heldUntil.Sub(now))
}

// expired reports whether nothing that is known of the message counts any more.
func (s suspect) expired(now time.Time) bool {
	offended := s.times > 0 && now.Sub(s.blockedUntil) < offenceLife
	return !offended && len(s.recent(now)) == 0 && now.Sub(s.answeredAt) >= suspectLife && s.left(now) == 0
}

// needed returns the number of crashes for which the message is blocked.
func (s suspect) needed() int {
	if s.times > 0 {
		return 1
	}
	return blockedCrashes
}

// ended is a replica that ended. It is an immutable value.
type ended struct {
	at       time.Time
	messages []ramp.Fingerprint // that it had, as far as known; never modified
}

// WithMessage returns the replica with a message that it had when it ended now.
func (e ended) WithMessage(f ramp.Fingerprint, now time.Time) ended {
	if now.Sub(e.at) >= crashEpisode {
		e = ended{at: now}
	}
	if len(e.messages) < maxSharers && !slices.Contains(e.messages, f) {
		e.messages = append(slices.Clip(e.messages), f)
	}
	return e
}

// Crashes recognises messages that end replicas by the crashes that they have in common. All
// messages that a replica has when it ends are suspected alike. The ones that some replica
// answers are cleared: a message that ends replicas gets no answer from any. So are those whose
// crashes another message explains, which is blocked for more of them. A message is blocked when
// it is likely enough the one that ended several replicas, for a time that doubles each time. It
// implements [ramp.CrashTracker] and [ramp.BlockList].
type Crashes struct {
	clock    ramp.Clock
	announce func()                    // called when other daemons should hear of Blocks at once
	onBlock  func(ramp.BlockedMessage) // called when a message was blocked here
	suspects *ramp.Table[ramp.Fingerprint, suspect]
	ended    *ramp.Table[string, ended] // by id of the replica
}

// NewCrashes returns a tracker that knows of no crash.
func NewCrashes(clock ramp.Clock, announce func(), onBlock func(ramp.BlockedMessage)) *Crashes {
	return &Crashes{
		clock: clock, announce: announce, onBlock: onBlock,
		suspects: ramp.NewTable[ramp.Fingerprint, suspect](ramp.RankBudgets),
		ended:    ramp.NewTable[string, ended](ramp.RankBudgets),
	}
}

// Active implements [ramp.CrashTracker].
func (c *Crashes) Active() bool { return c.suspects.Len() > 0 }

// Blocked implements [ramp.CrashTracker].
func (c *Crashes) Blocked(f ramp.Fingerprint) time.Duration {
	s, known := c.suspects.Get(f)
	if !known {
		return 0
	}
	now := c.clock.Now()
	if left := s.left(now); left > 0 {
		return left
	}
	c.decide(f) // others may have been cleared since its last crash
	s, _ = c.suspects.Get(f)
	return s.left(now)
}

// Suspected implements [ramp.CrashTracker].
func (c *Crashes) Suspected(f ramp.Fingerprint) bool {
	s, _ := c.suspects.Get(f)
	now := c.clock.Now()
	return s.left(now) > 0 || len(c.unexplained(f, s.recent(now))) >= min(suspectedCrashes, s.needed())
}

// RecordCrash implements [ramp.CrashTracker].
func (c *Crashes) RecordCrash(f ramp.Fingerprint, replica string) {
	if c.record(f, replica, crashEpisode) {
		c.announce()
	}
}

// record records a crash, unless one of that replica is known from the last time. It reports
// whether other daemons should hear of the message: it is suspected since, or held for a
// decision.
func (c *Crashes) record(f ramp.Fingerprint, replica string, last time.Duration) bool {
	now := c.clock.Now()
	c.expire(now)
	if _, known := c.suspects.Get(f); !known && c.suspects.Len() >= maxSuspects || c.ended.Len() >= maxEnded {
		return false
	}
	c.ended.Update(replica, func(old ended) ended { return old.WithMessage(f, now) })
	held, suspected := false, false
	c.suspects.Update(f, func(old suspect) suspect {
		next := old.WithCrash(replica, last, now)
		count := len(next.recent(now))
		suspected = count == suspectedCrashes && len(old.recent(now)) < count
		if held = next.left(now) == 0 && count >= next.needed(); held {
			next = next.WithHold(decisionTime, now)
		}
		return next
	})
	if held {
		c.clock.AfterFunc(decisionTime, func() { c.decide(f) })
	}
	return held || suspected
}

// RecordAnswer implements [ramp.CrashTracker].
func (c *Crashes) RecordAnswer(f ramp.Fingerprint) {
	now := c.clock.Now()
	c.suspects.UpdateExisting(f, func(old suspect) suspect { return old.WithAnswer(now) })
}

// decide blocks the message if there is enough evidence.
func (c *Crashes) decide(f ramp.Fingerprint) {
	now := c.clock.Now()
	s, _ := c.suspects.Get(f)
	crashes := c.unexplained(f, s.recent(now))
	certainty := c.certainty(crashes, now)
	if s.blockedUntil.After(now) || len(crashes) < s.needed() || certainty < certain {
		return
	}
	s = c.suspects.Update(f, func(old suspect) suspect {
		return old.WithBlock(min(blockTime<<min(old.times, maxDoublings), maxBlockTime), old.times+1, crashes, now)
	})
	c.liftExplained(now)
	block := s.block(f, now)
	block.Certainty = certainty
	c.onBlock(block)
	c.announce()
}

// block returns the suspect as it is told to other daemons.
func (s suspect) block(f ramp.Fingerprint, now time.Time) ramp.BlockedMessage {
	b, evidence := ramp.BlockedMessage{Fingerprint: f, Left: s.left(now)}, s.recent(now)
	if s.blockedUntil.After(now) {
		b.Times, evidence = s.times, s.evidence
	}
	b.Crashes = len(evidence)
	if b.Times == 0 || now.Sub(s.blockedAt) < evidenceTime {
		for _, one := range evidence {
			b.Replicas = append(b.Replicas, one.replica)
		}
	}
	return b
}

// certainty returns the sum over the episodes of the crashes of the mean chance that a message
// which had them all ended them: one by the number of messages that a replica had, that are
// not cleared and that had at least as many crashes. One with fewer explains less.
func (c *Crashes) certainty(crashes []crash, now time.Time) float64 {
	total, sum, count := 0.0, 0.0, 0
	var began time.Time
	for _, one := range crashes {
		if count > 0 && one.at.Sub(began) >= crashEpisode {
			total, sum, count = total+sum/float64(count), 0, 0
		}
		if count == 0 {
			began = one.at
		}
		sum, count = sum+1/float64(max(1, c.sharers(one.replica, len(crashes), now))), count+1
	}
	if count > 0 {
		total += sum / float64(count)
	}
	return total
}

// sharers returns the number of messages that the replica had when it ended, that are not cleared
// and that had at least the given number of crashes.
func (c *Crashes) sharers(replica string, crashes int, now time.Time) int {
	e, _ := c.ended.Get(replica)
	count := 0
	for _, f := range e.messages {
		if s, _ := c.suspects.Get(f); s.answeredAt.IsZero() && max(len(s.recent(now)), len(s.evidence)) >= crashes {
			count++
		}
	}
	return count
}

// unexplained returns the crashes of a message that no other one explains: one that is blocked for
// more of them.
func (c *Crashes) unexplained(f ramp.Fingerprint, crashes []crash) []crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(one crash) bool {
		e, _ := c.ended.Get(one.replica)
		return slices.ContainsFunc(e.messages, func(other ramp.Fingerprint) bool {
			s, _ := c.suspects.Get(other)
			return other != f && s.times > 0 && len(s.evidence) > len(crashes)
		})
	})
}

// expire forgets what no longer counts.
func (c *Crashes) expire(now time.Time) {
	c.suspects.DeleteFunc(func(_ ramp.Fingerprint, s suspect) bool { return s.expired(now) })
	c.ended.DeleteFunc(func(_ string, e ended) bool { return now.Sub(e.at) >= suspectLife })
}

// Blocks implements [ramp.BlockList]. It also forgets what no longer counts, since it is called
// for each exchange with another daemon.
func (c *Crashes) Blocks() []ramp.BlockedMessage {
	if !c.Active() {
		return nil
	}
	now := c.clock.Now()
	c.expire(now)
	var blocks []ramp.BlockedMessage
	c.suspects.Each(func(f ramp.Fingerprint, s suspect) bool {
		if s.left(now) > 0 || len(s.recent(now)) >= suspectedCrashes {
			blocks = append(blocks, s.block(f, now))
		}
		return len(blocks) < maxBlocks
	})
	return blocks
}

// Import implements [ramp.BlockList]. A block that ended here is not taken from a daemon where it
// ends later: its number says that it is the same. A message that a replica answered lately is
// not blocked.
func (c *Crashes) Import(blocks []ramp.BlockedMessage) []ramp.BlockedMessage {
	now := c.clock.Now()
	var added []ramp.BlockedMessage
	for _, b := range blocks[:min(len(blocks), maxBlocks)] {
		if _, known := c.suspects.Get(b.Fingerprint); !known && c.suspects.Len() >= maxSuspects {
			continue
		}
		if b.Times == 0 {
			c.importSuspect(b, now)
			continue
		}
		evidence := c.evidenceOf(b, now)
		isNew := false
		c.suspects.Update(b.Fingerprint, func(old suspect) suspect {
			answered := !old.answeredAt.IsZero() && now.Sub(old.answeredAt) < suspectLife
			if isNew = !answered && b.Times > old.times; !isNew {
				return old
			}
			return old.WithBlock(min(b.Left, maxBlockTime), b.Times, evidence, now)
		})
		if isNew {
			added = append(added, b)
		}
	}
	if len(added) > 0 {
		c.liftExplained(now)
	}
	return added
}

// importSuspect takes over the crashes of a message that is not blocked.
func (c *Crashes) importSuspect(b ramp.BlockedMessage, now time.Time) {
	if s, known := c.suspects.Get(b.Fingerprint); known && (!s.answeredAt.IsZero() || s.blockedUntil.After(now)) {
		return
	}
	for _, replica := range b.Replicas[:min(len(b.Replicas), maxCrashes)] {
		c.record(b.Fingerprint, replica, suspectLife)
	}
}

// evidenceOf records the replicas that ended with a message at another daemon.
func (c *Crashes) evidenceOf(b ramp.BlockedMessage, now time.Time) []crash {
	var evidence []crash
	for _, replica := range b.Replicas[:min(len(b.Replicas), maxCrashes)] {
		if c.ended.Len() >= maxEnded {
			break
		}
		c.ended.Update(replica, func(old ended) ended {
			if old.at.IsZero() {
				old.at = now
			}
			return old.WithMessage(b.Fingerprint, old.at)
		})
		evidence = append(evidence, crash{replica: replica, at: now})
	}
	return evidence
}

// liftExplained lifts the blocks whose crashes other blocks explain.
func (c *Crashes) liftExplained(now time.Time) {
	var explained []ramp.Fingerprint
	c.suspects.Each(func(f ramp.Fingerprint, s suspect) bool {
		if s.blockedUntil.After(now) && len(s.evidence) > 0 {
			explained = append(explained, f)
		}
		return true
	})
	for _, f := range explained {
		s, _ := c.suspects.Get(f)
		if len(c.unexplained(f, s.evidence)) < s.WithoutBlock().needed() {
			c.suspects.UpdateExisting(f, suspect.WithoutBlock)
		}
	}
}
