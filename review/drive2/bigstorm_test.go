//go:build review

package drive2

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["configurations-behind-a-cut"] = configurationsBehindACut
}

const (
	// cutTime is how long the router's way to the store is cut, silently.
	cutTime = 5500 * time.Millisecond
	// stormGap is the time between two configurations, stormCount their number.
	stormGap   = 600 * time.Millisecond
	stormCount = 8
	// configBytes is the size of a configuration. The store takes values of up to 1,048,576 bytes.
	configBytes = 1_000_000
	// history is how long the store keeps its history.
	history = 20 * time.Second
	// contact and configApply are the bounds of the deployment.
	contact     = 3 * time.Second
	configApply = 2 * time.Second
)

// configWith returns a configuration of about the given size, in which /moved/ leads to a service.
func configWith(version int, movedTo string, size int) []byte {
	var routes []string
	total := 0
	route := func(name, prefix, service string) {
		text := fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeKind":"unsafe","timeoutMs":2500,"objectiveMs":150,"priority":1,"service":%q,"sticky":false,"maxAttempts":1,"anonymous":true,"resumable":false}`, name, host, prefix, service)
		routes = append(routes, text)
		total += len(text) + 1
	}
	route("moved", "/moved/", movedTo)
	for i := 0; total < size; i++ {
		route(fmt.Sprintf("r-%d", i), fmt.Sprintf("/more%d/", i), "first")
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],
"services":[{"name":"first","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},
 {"name":"second","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":260000},
"tenants":[{"name":"hule930","apiKeys":[%q],"priority":1}]}`, version, strings.Join(routes, ","), apiKey)
}

// configurationsBehindACut: configurations come in quick succession while a router is cut off from the store.
func configurationsBehindACut(r *run) (bool, error) {
	p, err := newProxy(r.storeAt)
	if err != nil {
		return false, err
	}
	r.storeAt = p.listener.Addr().String()
	r.store.Put("op/config", configWith(7, "first", configBytes))
	for _, service := range []string{"first", "second"} {
		if _, err := r.startEngine("i-"+service, service, "plain"); err != nil {
			return false, err
		}
	}
	rt, err := r.startRouter("r-1", 284)
	if err != nil {
		return false, err
	}
	ask := func(attempt string) string {
		a := send(rt.front, "POST", "/moved/1", attempt, 2500*time.Millisecond, "", "credit 12 cups", nil)
		r.log("client: %s got status %d of %q, error: %v", attempt, a.status, a.header.Get("Instance-Signature"), a.err)
		return a.header.Get("Instance-Signature")
	}
	if got := ask("before"); got != "sig-i-first" {
		return false, fmt.Errorf("the first configuration is not in force")
	}
	begin := time.Now()
	if r.trouble {
		p.setSilent(true)
		r.log("r-1 is cut off from the store")
	}
	var accepted time.Time
	for i := range stormCount {
		r.store.Put("op/config", configWith(10+2*i, "second", configBytes))
		accepted = time.Now()
		r.log("store: accepts version %d", 10+2*i)
		time.Sleep(stormGap)
	}
	time.Sleep(time.Until(begin.Add(cutTime)))
	p.setSilent(false)
	healed := time.Now()
	r.log("the cut has ended")
	time.AfterFunc(time.Until(begin.Add(history)), func() {
		r.store.Compact()
		r.log("store: drops its history of %v", history)
	})
	time.Sleep(time.Until(later(healed.Add(contact), accepted.Add(configApply)).Add(time.Second)))
	broken := false
	for i := 0; time.Since(begin) < history+6*time.Second; i++ {
		sent := time.Since(healed)
		if ask(fmt.Sprintf("a-%d", i)) == "sig-i-first" {
			broken = true
			r.log("CONFIG: run by the old service, %.1f s after the cut and %.1f s after the configuration was accepted", sent.Seconds(), time.Since(accepted).Seconds())
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// proxy forwards connections to a target. While it is silent, it passes nothing on and keeps all connections open.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent bool
	conns  []net.Conn
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setSilent begins or ends the silence. What was sent during it is lost: the connections are then closed.
func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if !silent {
		for _, c := range p.conns {
			_ = c.Close()
		}
		p.conns = nil
	}
}

func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, client, server)
	p.mu.Unlock()
	go p.copy(server, client)
	p.copy(client, server)
}

func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if p.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
