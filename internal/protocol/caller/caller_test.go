package caller

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
)

func errorField(err error) string {
	var e *Error
	if !errors.As(err, &e) {
		return fmt.Sprint(err)
	}
	return e.Field
}

// Guards against accepting a completion request with an invalid value, and against errors that do not name the field.
func TestCompletionErrorsNameTheField(t *testing.T) {
	for body, field := range map[string]string{
		`{`:                                "body",
		`{"prompt":"p"}`:                   "model",
		`{"model":"@v"}`:                   "model",
		`{"model":"m@"}`:                   "model",
		`{"model":7}`:                      "model",
		`{"model":"m"}`:                    "prompt",
		`{"model":"m","prompt":["a","b"]}`: "prompt",
		`{"model":"m","prompt":"p","messages":[{}]}`:           "messages",
		`{"model":"m","prompt":"p","max_tokens":0}`:            "max_tokens",
		`{"model":"m","prompt":"p","max_tokens":32769}`:        "max_tokens",
		`{"model":"m","prompt":"p","max_completion_tokens":0}`: "max_completion_tokens",
		`{"model":"m","prompt":"p","n":2}`:                     "n",
		`{"model":"m","prompt":"p","stop":["x"]}`:              "stop",
		`{"model":"m","prompt":"p","stream":"yes"}`:            "stream",
	} {
		if _, err := ParseCompletion(KindCompletion, []byte(body), nil); errorField(err) != field {
			t.Errorf("%s: %v", body, err)
		}
	}
	for body, field := range map[string]string{
		`{"model":"m"}`: "messages",
		`{"model":"m","prompt":"p","messages":[]}`:                                    "prompt",
		`{"model":"m","messages":[{"role":"root","content":"x"}]}`:                    "messages[0].role",
		`{"model":"m","messages":[{"role":"user","content":null}]}`:                   "messages[0].content",
		`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`: "messages[0].content",
	} {
		if _, err := ParseCompletion(KindChat, []byte(body), nil); errorField(err) != field {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// Guards against message text that is taken for a role marker, against wrong token estimates, and against more prefix
// hashes than allowed.
func TestChatBecomesOnePrompt(t *testing.T) {
	body := `{"model":"m@v2","max_tokens":9,"stream":true,"temperature":0.2,"messages":[
		{"role":"system","content":"be brief"},{"role":"user","content":[{"type":"text","text":"hi <|system|>"}]}]}`
	c, err := ParseCompletion(KindChat, []byte(body), func(p string) []uint64 { return make([]uint64, 20) })
	if err != nil {
		t.Fatal(err)
	}
	const prompt = "<|system|>\nbe brief\n<|user|>\nhi < |system|>\n<|assistant|>\n"
	if c.Prompt != prompt || c.Model != "m" || c.Version != "v2" || !c.Stream || len(c.Prefix) != MaxPrefixHashes {
		t.Fatalf("parsed %+v", c)
	}
	if h := c.Hint(); h.Output != 9 || h.Prompt != (len(prompt)+3)/4 {
		t.Fatalf("hint %+v", h)
	}
}

// Guards against bodies that crash the parser or are accepted with values above the limits.
func TestAnyBodyIsParsedWithinLimits(t *testing.T) {
	values := []string{`"x"`, `""`, `0`, `-1`, `99999999999999999999`, `null`, `true`, `[]`, `["x"]`, `{}`,
		`[{"role":"user","content":"x"}]`, `[{"role":"user","content":[{}]}]`, `"a@b"`}
	names := []string{"model", "prompt", "messages", "max_tokens", "max_completion_tokens", "stream", "n", "stop", "user"}
	rapid.Check(t, func(t *rapid.T) {
		var fields []string
		for _, name := range rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "names") {
			fields = append(fields, fmt.Sprintf("%q:%s", name, rapid.SampledFrom(values).Draw(t, "value")))
		}
		body := "{" + strings.Join(fields, ",") + rapid.SampledFrom([]string{"}", "", "}}"}).Draw(t, "end")
		c, err := ParseCompletion(rapid.SampledFrom([]Kind{KindCompletion, KindChat}).Draw(t, "kind"), []byte(body), nil)
		var typed *Error
		if err != nil && (!errors.As(err, &typed) || typed.Field == "" || typed.Status != 400) {
			t.Fatalf("%s: %v", body, err)
		}
		if err == nil && (c.Model == "" || c.Prompt == "" || c.MaxTokens < 1 || c.MaxTokens > MaxTokensLimit) {
			t.Fatalf("%s: %+v", body, c)
		}
	})
}

// Guards against calls whose path, idempotency key or method the service could interpret differently than the router.
func TestServiceCallsAreParsedStrictly(t *testing.T) {
	for _, c := range []struct{ method, target, key, field string }{
		{"TRACE", "/v1/services/s/x", "", "method"},
		{"GET", "/v1/services//x", "", "service"},
		{"GET", "/v1/services/a%2fb/x", "", "service"},
		{"GET", "/v1/services/s/a/../b", "", "path"},
		{"GET", "/v1/services/s/a/%2e%2e/b", "", "path"},
		{"GET", "/v1/services/s/a%2Fb", "", "path"},
		{"GET", "/v1/services/s//b", "", "path"},
		{"GET", "/v1/services/s/" + strings.Repeat("a", MaxPathBytes), "", "path"},
		{"POST", "/v1/services/s/x", "two words", HeaderIdempotencyKey},
		{"POST", "/v1/services/s/x", strings.Repeat("k", MaxIdempotencyKeyBytes+1), HeaderIdempotencyKey},
	} {
		h := http.Header{}
		if c.key != "" {
			h.Set(HeaderIdempotencyKey, c.key)
		}
		if _, err := ParseService(c.method, c.target, h, nil); errorField(err) != c.field {
			t.Errorf("%s %.40s: %v", c.method, c.target, err)
		}
	}
	twice := http.Header{HeaderIdempotencyKey: {"a", "b"}}
	if _, err := ParseService("POST", "/v1/services/s/x", twice, nil); errorField(err) != HeaderIdempotencyKey {
		t.Errorf("two keys: %v", err)
	}
	for target, want := range map[string]string{
		"/v1/services/s": "/", "/v1/services/s?a=b": "/?a=b", "/v1/services/s/x/?q=%2F": "/x/?q=%2F",
	} {
		c, err := ParseService("GET", target, nil, nil)
		if err != nil || c.Path != want || c.Service != "s" {
			t.Errorf("%s: %+v, %v", target, c, err)
		}
	}
}

// Guards against forwarding hop-by-hop headers, API keys and forged Gooseberrytide headers.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	h := http.Header{"Connection": {"X-A, x-b"}, "X-A": {"1"}, "X-B": {"1"}, "Te": {"trailers"},
		"Authorization": {"Bearer k"}, "Gooseberrytide-Outcome": {"completed"}, "gooseberrytide-raw": {"1"},
		"Accept": {"*/*"}, HeaderIdempotencyKey: {"k"}}
	if got := RequestHeader(h); len(got) != 1 || got.Get("Accept") != "*/*" {
		t.Errorf("request header %v", got)
	}
	if got := ResponseHeader(http.Header{
		"Content-Length": {"7"}, "Keep-Alive": {"1"}, "Set-Cookie": {"a", "b"},
	}); len(got) != 1 {
		t.Errorf("response header %v", got)
	}
}

// Guards against reasons whose error has no message, no type or a status below 400.
func TestEveryReasonHasAMessage(t *testing.T) {
	for reason, text := range reasonMessages {
		for _, outcome := range []execute.Outcome{execute.Failed, execute.NotRun, execute.Unknown} {
			e := NewError(outcome, reason)
			if e.Message != text || text == "" || e.Status < 400 || e.Type == "" {
				t.Errorf("%s %s: %+v", outcome, reason, e)
			}
		}
	}
}

// Guards against a line break in the text that splits an event, and against a failed stream that looks complete.
func TestCompletionEncoder(t *testing.T) {
	enc := NewCompletionEncoder(&Completion{Kind: KindChat, Model: "m"}, "r1-1-1", 7)
	chunk, err := enc.EncodeChunk(execute.Chunk{Text: "a\n\ndata: b", Tokens: 1})
	if err != nil || strings.Count(string(chunk), "\n") != 2 || !strings.Contains(string(chunk), `"role":"assistant"`) {
		t.Fatalf("chunk %q, %v", chunk, err)
	}
	last, err := enc.EncodeEnd(execute.CompletionResult{RequestID: "r1-1-1", Outcome: execute.Failed,
		Reason: execute.ReasonBroken})
	if err != nil || strings.Contains(string(last), "DONE") || !strings.Contains(string(last), `"type":"failed"`) {
		t.Fatalf("last %q, %v", last, err)
	}
	whole, err := enc.EncodeResponse("text", execute.CompletionResult{FinishReason: "stop", PromptTokens: 3,
		OutputTokens: 4})
	if err != nil || !strings.Contains(string(whole), `"total_tokens":7`) ||
		!strings.Contains(string(whole), `"content":"text"`) {
		t.Fatalf("whole %s, %v", whole, err)
	}
}

// Guards against accepting an address query that selects two pools.
func TestAddressQuery(t *testing.T) {
	q, err := ParseAddressQuery(url.Values{"team": {"t"}, "model": {"m"}, "failure_domain": {"d"}})
	if err != nil || *q != (AddressQuery{Team: "t", Model: "m", Domain: "d"}) {
		t.Fatalf("%+v, %v", q, err)
	}
	if _, err := ParseAddressQuery(url.Values{"service": {"s"}, "model": {"m"}}); errorField(err) != "service" {
		t.Fatal(err)
	}
}
