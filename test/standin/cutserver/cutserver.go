// Package cutserver is a stand-in for a server whose connections end before its answers do.
package cutserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// NoLength is the head of a response whose body ends with the connection.
const NoLength = "HTTP/1.0 200 OK\r\n\r\n"

// Start starts a server that answers each request with a text and then ends the connection. It returns its address. The
// server ends with the test.
func Start(t testing.TB, answer string, way connend.Way) string {
	t.Helper()
	return endless.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err == nil {
			way.End(c)
		}
	})
}

// ForEachPart calls check with the address of a server for each part of an answer, except the whole one, and for an orderly
// end and a reset after it.
func ForEachPart(t *testing.T, answer string, check func(t *testing.T, address string)) {
	t.Helper()
	for end := 1; end < len(answer); end++ {
		for _, way := range []connend.Way{connend.Close, connend.Reset} {
			t.Run(fmt.Sprintf("%s after %d", way, end), func(t *testing.T) {
				check(t, Start(t, answer[:end], way))
			})
		}
	}
}
