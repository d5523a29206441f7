//go:build review

package drive2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// streamEvents is the number of events of a stream, eventPause the time between them.
	streamEvents = 20
	eventPause   = 200 * time.Millisecond
	// bodyBytes is the size of a response of the plain service, bodyPause the time between its two halves.
	bodyBytes = 800
	bodyPause = time.Second
	// workTime is how long the plain service works on a request in mode work.
	workTime = 200 * time.Millisecond
	// denseEvents is the number of events of a framed stream, denseBytes the text of each and densePause the time between them.
	denseEvents = 60
	denseBytes  = 370
	densePause  = 5 * time.Millisecond
)

// wholeBody is the body of the response to an attempt.
func wholeBody(id, attempt string) string {
	text := fmt.Sprintf("answer of %s to %s ", id, attempt)
	return (text + strings.Repeat("credit ", bodyBytes))[:bodyBytes]
}

// runEngine is the main function of the stand-in of a backend server. It ends with its process only.
func runEngine(args []string) int {
	id, address, mode := args[0], args[1], args[2]
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return 1
		}
		go serveConn(conn, id, mode)
	}
}

func serveConn(conn net.Conn, id, mode string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !respond(conn, req, len(body), id, mode) {
			return
		}
	}
}

// respond sends the response to a request. It returns false if the response ends with its connection.
func respond(conn net.Conn, req *http.Request, size int, id, mode string) bool {
	attempt := req.Header.Get("Attempt-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: sig-%s\r\n", attempt, id)
	if expect := req.Header.Get("Expect-Instance"); expect != "" && expect != id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
		return err == nil
	}
	fmt.Printf("runs %s %s %s, %d bytes\n", attempt, req.Method, req.RequestURI, size)
	defer fmt.Printf("has ended %s\n", attempt)
	text := wholeBody(id, attempt)
	switch mode {
	case "unframed-stream":
		_, _ = io.WriteString(conn, head+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		for event := 1; event <= streamEvents; event++ {
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: t%d\n\n", event, event); err != nil {
				return false
			}
			time.Sleep(eventPause)
		}
		return false
	case "stream":
		return sendStream(conn, head) == nil
	case "unframed-body":
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+text[:bodyBytes/2])
		time.Sleep(bodyPause)
		_, _ = io.WriteString(conn, text[bodyBytes/2:])
		return false
	case "work":
		time.Sleep(workTime)
		fallthrough
	default:
		_, err := io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n"+text)
		return err == nil
	}
}

// sendStream sends a stream in chunks.
func sendStream(conn net.Conn, head string) error {
	_, err := io.WriteString(conn, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for event := 1; event <= denseEvents && err == nil; event++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, strings.Repeat("t", denseBytes))
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		time.Sleep(densePause)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err
}
