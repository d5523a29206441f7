package poison

import "time"

const (
	// trialLease is how long a trial of a fingerprint excludes others.
	trialLease = 5 * time.Second
	// trialPause is the time after a trial without a proof before the next one, in which its evidence reaches the fleet.
	trialPause = 250 * time.Millisecond
	// maxPauseDoublings bounds that pause, which doubles with each further trial without a proof: a trial may end without
	// any evidence.
	maxPauseDoublings = 9
	// controlWait is how long a trial that would follow a crash of another trial waits for a proof of any other request at
	// the service. With such a proof, fewer crashes suffice to tell that the request is the cause. A request that separates
	// the part from others does not wait.
	controlWait = 1500 * time.Millisecond
	// trialMemory is how long a trial without a proof counts for the pause after the next one. maxTrials bounds the
	// trials that are remembered.
	trialMemory = 2 * time.Minute
	maxTrials   = 2048
	// TrialSendTime is the time within which a granted trial must be sent. It is well below trialLease, so that a router
	// that was suspended does not send on a lease that has passed to another one.
	TrialSendTime = time.Second
)

// Ask is what a router asks for when it wants to send a request as a trial.
type Ask struct {
	_           struct{} `cbor:",toarray"`
	Team        string
	Fingerprint Fingerprint
	// Alone is set if no other fingerprint of the request has crashed several servers.
	Alone bool
}

// trial is a lease of the right to send one request with a suspected fingerprint.
type trial struct {
	router string
	until  time.Duration
	// endedAt is when the trial has ended, or 0; until is then the end of the pause.
	endedAt time.Duration
	// unproven is the number of trials in a row without a proof, this one included.
	unproven int
}

// GrantTrial grants a router the next trial of a fingerprint, unless another trial is in progress or the fingerprint is
// blocked for the team. The owner of the fingerprint calls it.
func (d *Detector) GrantTrial(now time.Duration, router string, ask Ask) bool {
	last, known := d.trials[ask.Fingerprint]
	if known && !last.allowsNext(now, ask) || !known && len(d.trials) >= maxTrials {
		return false
	}
	s := d.suspects[ask.Fingerprint]
	if s != nil && (d.verdict(now, s, ask.Team, nil).State == Blocked || d.awaitsControl(now, s, ask)) {
		return false
	}
	d.trials[ask.Fingerprint] = trial{router: router, until: now + trialLease, unproven: last.unproven + 1}
	return true
}

// separates reports whether the request tells more about a part of its prompt than the requests that crashed servers
// with it. It is tried first.
func (a *Ask) separates() bool { return a.Fingerprint.Kind == KindPart && a.Alone }

// allowsNext reports whether another trial may follow.
func (t *trial) allowsNext(now time.Duration, ask Ask) bool {
	return now >= t.until || t.endedAt != 0 && ask.separates() && now >= t.endedAt+trialPause
}

// awaitsControl reports whether a further trial should wait for a proof of another request at the service.
func (d *Detector) awaitsControl(now time.Duration, s *suspect, ask Ask) bool {
	last := s.lastCrash()
	return !ask.separates() && now < last+controlWait && moments(s.crashes) > 1 && !d.controlSince(s, last)
}

// EndTrial ends a router's trial of a fingerprint. sent is set if the request was sent.
func (d *Detector) EndTrial(now time.Duration, router string, fingerprint Fingerprint, sent bool) {
	current, ok := d.trials[fingerprint]
	if !ok || current.router != router || current.endedAt != 0 {
		return
	}
	current.endedAt = now
	if sent {
		current.until = now + trialPause<<min(current.unproven-1, maxPauseDoublings)
	} else {
		current.until, current.endedAt = now, now-trialPause
		current.unproven--
	}
	d.trials[fingerprint] = current
}

// expireTrials forgets the trials that have ended long ago.
func (d *Detector) expireTrials(now time.Duration) {
	for fingerprint, t := range d.trials {
		if now >= t.until+trialMemory {
			delete(d.trials, fingerprint)
		}
	}
}
