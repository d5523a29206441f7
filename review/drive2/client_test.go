//go:build review

package drive2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   string
	// complete is set if the response ended as HTTP says that a whole response ends.
	complete bool
	err      error
}

// send sends a request on a connection of its own and reads the response. onBody, which may be nil, is called with what of
// the body has arrived.
func send(address, method, path, attempt string, deadline time.Duration, headers, body string, onBody func(header http.Header, soFar string)) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, host, attempt, deadline.Milliseconds(), apiKey, headers, len(body), body)
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	var got strings.Builder
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		got.Write(buf[:n])
		if n > 0 && onBody != nil {
			onBody(resp.Header, got.String())
		}
		if err != nil {
			framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			a := answer{status: resp.StatusCode, header: resp.Header, body: got.String(), complete: err == io.EOF && framed}
			if err != io.EOF {
				a.err = err
			}
			return a
		}
	}
}
