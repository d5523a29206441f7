package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cespare/xxhash/v2"
)

func encodeEvent(index, tokens int, text, finish string, total int) string {
	ev := StreamEvent{ID: "r", Choices: []Choice{{Text: text, TokenIndex: index, Tokens: tokens, FinishReason: finish}}}
	if finish != "" {
		ev.Usage = &Usage{PromptTokens: 3, CompletionTokens: total}
	}
	var b bytes.Buffer
	_ = WriteEvent(&b, ev)
	return b.String()
}

const doneEvent = "data: [DONE]\n\n"

func decodeAll(in io.Reader, opts StreamOptions) (string, error) {
	d := NewStreamDecoder(in, opts)
	var text strings.Builder
	for {
		ev, err := d.Next()
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(ev.Text)
	}
}

// Guards against a whole stream that decodes differently depending on the sizes of reads, the line endings, or comments
// and other fields between events.
func TestWholeStream(t *testing.T) {
	in := ": waiting\n\n" + encodeEvent(4, 1, "a", "", 0) + "event: x\r\nretry: 1\r\n\r\n" +
		encodeEvent(5, 2, "bc", "stop", 7) + doneEvent
	for _, in := range []string{in, strings.ReplaceAll(strings.ReplaceAll(in, "\r", ""), "\n", "\r\n")} {
		text, err := decodeAll(iotest.OneByteReader(strings.NewReader(in)), StreamOptions{RequestID: "r", ResumeAt: 4})
		if err != nil || text != "abc" {
			t.Fatalf("%q, %v", text, err)
		}
	}
}

// Guards against a faulty stream that is accepted as a whole response, and against faults reported with the wrong kind.
func TestStreamFaults(t *testing.T) {
	last := encodeEvent(0, 1, "a", "stop", 1)
	cases := []struct {
		name, in string
		kind     ErrorKind
	}{
		{"empty", "", ErrTruncated},
		{"truncated within a line", last[:20], ErrTruncated},
		{"truncated before the [DONE] marker", last, ErrTruncated},
		{"truncated within the [DONE] marker", last + "data: [DO", ErrTruncated},
		{"[DONE] marker without a finish reason", encodeEvent(0, 1, "a", "", 0) + doneEvent, ErrTruncated},
		{"data after the last event", last + last, ErrMalformed},
		{"event of another request", strings.Replace(last, `"r"`, `"q"`, 1) + doneEvent, ErrWrongRequest},
		{"missing token", encodeEvent(1, 1, "a", "stop", 1) + doneEvent, ErrOutOfOrder},
		{"repeated token", encodeEvent(0, 1, "a", "", 0) + encodeEvent(0, 1, "a", "stop", 2) + doneEvent, ErrOutOfOrder},
		{"usage contradicts the tokens", encodeEvent(0, 1, "a", "stop", 2) + doneEvent, ErrOutOfOrder},
		{
			"no usage",
			`data: {"id":"r","choices":[{"text":"a","tokens":1,"finish_reason":"stop"}]}` + "\n\n" + doneEvent, ErrMalformed,
		},
		{"negative tokens", encodeEvent(0, -1, "", "", 0), ErrMalformed},
		{"text without tokens", encodeEvent(0, 0, "a", "", 0), ErrMalformed},
		{"no choices", `data: {"id":"r"}` + "\n\n", ErrMalformed},
		{"not JSON", "data: {\n\n", ErrMalformed},
		{"error event", `data: {"id":"r","error":{"message":"out of memory"}}` + "\n\n", ErrEngine},
		{"long line", "data: " + strings.Repeat("a", 1000) + "\n\n", ErrTooLarge},
		{"long event", strings.Repeat("data: "+strings.Repeat("a", 200)+"\n", 4) + "\n", ErrTooLarge},
		{"long stream", strings.Repeat(": comment\n", 1000), ErrTooLarge},
	}
	for _, tc := range cases {
		opts := StreamOptions{RequestID: "r", MaxEventBytes: 500, MaxStreamBytes: 5000}
		_, err := decodeAll(strings.NewReader(tc.in), opts)
		var d *DecodeError
		if !errors.As(err, &d) || d.Kind != tc.kind {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.kind)
		}
	}
}

// Guards against hashes above 2^53 that lose digits in JSON, after which routers and engines identify different
// prefixes, and against invalid reports that are accepted.
func TestReports(t *testing.T) {
	var b bytes.Buffer
	sent := Report{Cache: &CacheUpdate{Seq: 1 << 60, Added: []PrefixHash{1<<64 - 1, 0}, Cleared: true}}
	_ = WriteReport(&b, sent)
	_ = WriteReport(&b, Report{Load: &Load{Slots: 8, Running: -1}})
	d := NewReportDecoder(&b)
	got, err := d.Next()
	if err != nil || got.Cache.Added[0] != 1<<64-1 || got.Cache.Seq != 1<<60 || !got.Cache.Cleared {
		t.Fatalf("%+v, %v", got.Cache, err)
	}
	got, err = d.Next()
	if err != nil || got.Load.Running != -1 {
		t.Fatalf("%+v, %v", got.Load, err)
	}
	if _, err = d.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("end of stream: %v", err)
	}
	for _, bad := range []string{"{}\n", `{"load":{},"cache":{}}` + "\n", `{"cache":{"added":["xyz"]}}` + "\n", `{"load`} {
		if _, err := NewReportDecoder(strings.NewReader(bad)).Next(); err == nil {
			t.Errorf("accepted %q", bad)
		}
	}
}

// Guards against prefix hashes that depend on more than the prefix, so that a shared prefix of two prompts is not
// recognised.
func TestPrefixHashes(t *testing.T) {
	prompt := strings.Repeat("abcdefgh", 5000)
	hashes := PrefixHashes(prompt)
	if len(hashes) != MaxPrefixes {
		t.Fatalf("%d hashes", len(hashes))
	}
	for i, h := range hashes {
		if h != xxhash.Sum64String(prompt[:FirstPrefixBytes<<i]) {
			t.Errorf("hash %d differs", i)
		}
	}
	if n := len(PrefixHashes(prompt[:1023])); n != 2 {
		t.Errorf("%d hashes for 1023 bytes", n)
	}
	if n := len(PrefixHashes(prompt[:255])); n != 0 {
		t.Errorf("%d hashes for 255 bytes", n)
	}
}

// FuzzStream guards against panics and against truncated or altered streams that are accepted: a stream that decodes
// without an error must contain as many tokens as its usage states.
func FuzzStream(f *testing.F) {
	whole := encodeEvent(0, 1, "a", "", 0) + ": c\n\n" + encodeEvent(1, 2, "bc", "length", 3) + doneEvent
	f.Add([]byte(whole))
	f.Add([]byte(whole[:len(whole)-3]))
	f.Add([]byte("data:\ndata:\n\n"))
	f.Add([]byte(encodeEvent(0, 0, "", "stop", 0) + doneEvent))
	f.Add([]byte(`data: {"id":"r","choices":[{"token_index":0,"tokens":16777217}]}` + "\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewStreamDecoder(bytes.NewReader(in),
			StreamOptions{RequestID: "r", MaxEventBytes: 1 << 10, MaxStreamBytes: 1 << 14})
		next, finished := 0, false
		for {
			ev, err := d.Next()
			if err == io.EOF {
				break
			}
			var typed *DecodeError
			if err != nil {
				if !errors.As(err, &typed) {
					t.Fatalf("untyped error %v", err)
				}
				return
			}
			if finished || ev.Index != next {
				t.Fatalf("event %+v after token %d", ev, next)
			}
			next += ev.Tokens
			finished = ev.FinishReason != ""
			if finished && ev.Usage.CompletionTokens != next {
				t.Fatalf("%d tokens, usage %+v", next, ev.Usage)
			}
		}
		if !finished || !bytes.Contains(in, []byte("[DONE]")) {
			t.Fatal("accepted an incomplete stream")
		}
	})
}
