package offload

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
)

// bodyTimeout bounds the time to read the rest of a request's body after the response.
const bodyTimeout = time.Second

// refuse sends the policy's refusal. read is the number of bytes of the body that have been read.
func (i *Inspector) refuse(conn net.Conn, r *http.Request, buf *buffer, read int64) {
	i.opts.Policy.Record(Refuse)
	i.respond(conn, r, buf, read, i.opts.Policy.Refuse)
}

// respond sends the response that handler writes, reads the rest of the request's body, and closes the connection. A
// connection that is closed with unread bytes is reset, and the client might lose the response.
func (i *Inspector) respond(conn net.Conn, r *http.Request, buf *buffer, read int64, handler http.HandlerFunc) {
	defer func() { _ = conn.Close() }()
	clientconn.From(conn).StartRequest() // what follows is the body
	w := &bodylessResponse{header: make(http.Header)}
	handler(w, r)
	resp := http.Response{StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true, Request: r}
	var text bytes.Buffer
	if err := resp.Write(&text); err != nil {
		return
	}
	if _, err := conn.Write(text.Bytes()); err != nil {
		return
	}
	discardBody(conn, buf, r, read)
}

// discardBody reads the rest of a request's body of which some bytes were read already. The end of a body without a
// length is not known; the client's close ends it.
func discardBody(conn net.Conn, buf *buffer, r *http.Request, read int64) {
	if r.ContentLength >= 0 && read >= r.ContentLength {
		return
	}
	if conn.SetReadDeadline(time.Now().Add(bodyTimeout)) != nil {
		return
	}
	for r.ContentLength < 0 || read < r.ContentLength {
		n, err := conn.Read(buf[:])
		read += int64(n)
		if err != nil {
			return
		}
	}
}

// bodylessResponse is the http.ResponseWriter of a response without a body.
type bodylessResponse struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (w *bodylessResponse) Header() http.Header { return w.header }

// Write implements http.ResponseWriter. The response has no body.
func (w *bodylessResponse) Write([]byte) (int, error) { return 0, http.ErrBodyNotAllowed }

// WriteHeader implements http.ResponseWriter.
func (w *bodylessResponse) WriteHeader(status int) { w.status = status }
