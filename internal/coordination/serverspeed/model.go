package serverspeed

import "time"

const (
	// initialPrefillTime is the assumed prefill time of a prompt token, in milliseconds, before the first observation.
	initialPrefillTime = 1.0 / 45
	// Bounds of an observed prefill time of a token, in milliseconds. They only exclude senseless observations.
	minPrefillTime = 1.0 / 2000
	maxPrefillTime = 1.0 / 2
	// minPrefillTokens is the number of tokens from which a first event shows the prefill time of a token. First events of
	// shorter prompts show the delay.
	minPrefillTokens = 1500
	// initialDelay is the assumed time to a first event beside the prefill; maxDelay bounds an observed one.
	initialDelay = 25 * time.Millisecond
	maxDelay     = 100 * time.Millisecond
	// initialWork is the assumed time of a request of a plain service.
	initialWork = 30 * time.Millisecond
	// Weights of a new observation in the averages of a server and of its service.
	serverWeight  = 0.1
	serviceWeight = 0.025
	// maxPauseRatio bounds an observed pause as a multiple of the expected one. A client that reads slowly makes pauses
	// look longer.
	maxPauseRatio = 4.0
)

// Model holds the estimates of the servers of one service. It is not safe for concurrent use.
type Model struct {
	// epoch is the time from which the times of announcements count.
	epoch   time.Time
	servers map[string]*server
	// paced is the number of servers that announce their pace, announcing the number of those that announce their load.
	paced, announcing int
	// prefill is the time per prompt token, delay the time to a first event beside the prefill, and work the time of a
	// request of a plain service, in milliseconds at the usual pace.
	prefill, delay, work mean
	pauses               line
	// meanPace is the mean of the paces of all servers.
	meanPace mean
}

// server holds the estimates of one server. Without observations those of the service apply.
type server struct {
	announces bool
	pace      pace
	load      announcedLoad
	prefill   mean
	work      mean
	// pauseRatio is the ratio of the server's pauses to those of the service.
	pauseRatio mean
}

// New returns a model without observations.
func New() *Model { return &Model{servers: make(map[string]*server)} }

// Paced reports whether the servers of the service announce their pace: at least half of those that announce anything, so
// that a single false announcement does not change how the service is scheduled.
func (m *Model) Paced() bool { return m.paced > 0 && 2*m.paced >= m.announcing }

// Announce records what a server says about itself. own is the number of this router's requests on it.
func (m *Model) Announce(now time.Time, id string, a Announcement, own int) {
	if a.Slots == 0 {
		return
	}
	at := m.sinceEpoch(now)
	s := m.server(id)
	if !s.announces {
		s.announces = true
		m.announcing++
	}
	s.load = announcedLoad{requests: a.Running + a.Waiting, own: own, at: at, trusted: a.Running+a.Waiting >= own}
	if a.Pace == 0 {
		return
	}
	if !s.pace.known {
		m.paced++
	}
	s.pace.announce(at, a.Pace)
	m.meanPace.add(s.pace.last, serviceWeight)
}

// ObserveFirstEvent records the time from a send to the first event, in which the server had to prefill tokens.
func (m *Model) ObserveFirstEvent(now time.Time, id string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s := m.server(id)
	ms, pace := milliseconds(took), s.pace.current(m.sinceEpoch(now))
	if tokens < minPrefillTokens {
		prefill := float64(tokens) * s.prefill.or(m.prefill.or(initialPrefillTime)) * pace
		m.delay.add(min(max(ms-prefill, 0), milliseconds(maxDelay)), serviceWeight)
		return
	}
	delay := m.delay.or(milliseconds(initialDelay))
	perToken := max(ms-delay, 0) / float64(tokens) / pace
	perToken = min(max(perToken, minPrefillTime), maxPrefillTime)
	s.prefill.add(perToken, serverWeight)
	m.prefill.add(perToken, serviceWeight)
}

// ObservePause records the pause between two events of a stream while a number of requests ran on the server.
func (m *Model) ObservePause(now time.Time, id string, running int, pause time.Duration) {
	if pause < 0 || running <= 0 {
		return
	}
	s := m.server(id)
	n, ms := float64(running), milliseconds(pause)/s.pace.current(m.sinceEpoch(now))
	if !m.pauses.known() {
		m.pauses.add(n, ms)
		return
	}
	expected := m.pauses.at(n)
	ms = min(ms, maxPauseRatio*expected)
	if expected > 0 {
		s.pauseRatio.add(ms/expected, serviceWeight)
	}
	m.pauses.add(n, ms)
}

// ObserveWork records the time that a request of a plain service took while a number of requests were at the server.
func (m *Model) ObserveWork(now time.Time, id string, requests, slots int, took time.Duration) {
	if took <= 0 {
		return
	}
	s := m.server(id)
	rounds := max(float64(requests)/float64(max(slots, 1)), 1)
	ms := milliseconds(took) / rounds / s.pace.current(m.sinceEpoch(now))
	s.work.add(ms, serverWeight)
	m.work.add(ms, serviceWeight)
}

// View shows the speeds of all servers at one time.
type View struct {
	model *Model
	now   time.Duration
	mean  Speed
}

// At returns the speeds at a time.
func (m *Model) At(now time.Time) View { return View{model: m, now: m.sinceEpoch(now), mean: m.Mean()} }

// Server returns the speed of a server.
func (v *View) Server(id string) Speed {
	var speed Speed
	v.SetServer(id, &speed)
	return speed
}

// SetServer sets speed to that of a server. It saves a copy where the speeds of many servers are compared.
func (v *View) SetServer(id string, speed *Speed) {
	*speed = v.mean
	s := v.model.servers[id]
	if s == nil {
		return
	}
	speed.Pace, speed.meanPace = s.pace.current(v.now), s.pace.longTerm()
	if s.load.known(v.now) {
		speed.load = &s.load
	}
	speed.prefill = s.prefill.or(speed.prefill)
	speed.work = s.work.or(speed.work)
	speed.pauseRatio = s.pauseRatio.or(1)
}

// sinceEpoch returns the time since the epoch of the model. It is computed once for all servers, because choosing a server
// compares the ages of all announcements.
func (m *Model) sinceEpoch(now time.Time) time.Duration {
	if m.epoch.IsZero() {
		m.epoch = now
	}
	return now.Sub(m.epoch)
}

// Mean returns the mean speed of the service's servers.
func (m *Model) Mean() Speed {
	pace := m.meanPace.or(1)
	return Speed{
		Pace:       pace,
		meanPace:   pace,
		prefill:    m.prefill.or(initialPrefillTime),
		delay:      m.delay.or(milliseconds(initialDelay)),
		work:       m.work.or(milliseconds(initialWork)),
		pauseRatio: 1,
		pauses:     &m.pauses,
	}
}

// Forget drops what is known of a server that has restarted.
func (m *Model) Forget(id string) {
	s := m.servers[id]
	if s == nil {
		return
	}
	if s.announces {
		m.announcing--
	}
	if s.pace.known {
		m.paced--
	}
	delete(m.servers, id)
}

// Retain drops the servers that are not known any more.
func (m *Model) Retain(known func(string) bool) {
	for id := range m.servers {
		if !known(id) {
			m.Forget(id)
		}
	}
}

func (m *Model) server(id string) *server {
	s := m.servers[id]
	if s == nil {
		s = &server{}
		m.servers[id] = s
	}
	return s
}
