package main

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// echoProxy returns a proxy to a server that returns what it receives.
func echoProxy(t *testing.T) *proxy {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := newProxy(listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = p.listener.Close() })
	return p
}

// connect opens a connection through a proxy. send sends a line, and answers gets the lines that come back.
func connect(t *testing.T, p *proxy) (send func(line string), answers <-chan string) {
	g := gomega.NewWithT(t)
	conn, err := net.Dial("tcp4", p.address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	received := make(chan string, 10)
	go func() {
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			received <- lines.Text()
		}
	}()
	return func(line string) {
		_, err := conn.Write([]byte(line + "\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}, received
}

const arrivalTime, quietTime = 5 * time.Second, 100 * time.Millisecond

// Guards against a stall that loses data: a router could then not avoid cutting the answer.
func TestHeldDataIsDeliveredAfterTheStall(t *testing.T) {
	g := gomega.NewWithT(t)
	p := echoProxy(t)
	sendKept, kept := connect(t, p)
	sendKept("before")
	g.Eventually(kept, arrivalTime).Should(gomega.Receive(gomega.Equal("before")))
	release := p.hold()
	sendNew, opened := connect(t, p)
	sendKept("kept")
	sendNew("opened")
	g.Consistently(kept, quietTime).ShouldNot(gomega.Receive())
	g.Consistently(opened, quietTime).ShouldNot(gomega.Receive())
	release()
	g.Eventually(kept, arrivalTime).Should(gomega.Receive(gomega.Equal("kept")))
	g.Eventually(opened, arrivalTime).Should(gomega.Receive(gomega.Equal("opened")))
}

// Guards against a stall of all connections of an engine in place of one: it would not test whether the router takes an
// engine out of use because of one silent connection.
func TestOnlyTheActiveConnectionIsHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	p := echoProxy(t)
	sendIdle, idle := connect(t, p)
	sendActive, active := connect(t, p)
	sendIdle("first")
	g.Eventually(idle, arrivalTime).Should(gomega.Receive())
	sendActive("last")
	g.Eventually(active, arrivalTime).Should(gomega.Receive())
	release := p.holdActive()
	sendActive("held")
	sendIdle("passed")
	g.Eventually(idle, arrivalTime).Should(gomega.Receive(gomega.Equal("passed")))
	g.Consistently(active, quietTime).ShouldNot(gomega.Receive())
	release()
	g.Eventually(active, arrivalTime).Should(gomega.Receive(gomega.Equal("held")))
}
