package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/caller"
	"gooseberrytide.example/gooseberrytide/test/fleet"
)

// Outcomes of requests to which no answer with an outcome arrived.
const (
	// OutcomeCut means that the connection broke, or the answer ended, before an outcome.
	OutcomeCut = "cut"
	// OutcomeUnreachable means that no connection could be opened. Nothing was sent.
	OutcomeUnreachable = "unreachable"
)

// Answer is the result of a request as its caller sees it.
type Answer struct {
	RequestID string
	// Router is the address of the router to which the request was sent.
	Router  string
	Outcome string
	Status  int
	Reason  string
	Text    string
	// Wait is the time from sending the request to the first token, or to the header of an answer that is not streamed.
	Wait time.Duration
	// Total is the time from sending the request to the end of the answer.
	Total  time.Duration
	Tokens int
	Err    error
}

// Caller sends the requests of one team from one failure domain. It is safe for concurrent use.
type Caller struct {
	Team   string
	Domain string
	// Entries returns the router addresses from the caller's own settings. The caller asks them in random order until
	// one returns entry addresses.
	Entries func() []string

	mu    sync.Mutex
	cache map[string]cachedAddresses
}

type cachedAddresses struct {
	list    []string
	expires time.Time
}

// address returns the address of the router to use for a pool, given as "model=NAME" or "service=NAME".
func (c *Caller) address(ctx context.Context, pool string) (string, error) {
	c.mu.Lock()
	cached, ok := c.cache[pool]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expires) {
		return pickAddress(cached.list), nil
	}
	var err error
	for _, entry := range shuffled(c.Entries()) {
		var answer caller.AddressAnswer
		query := fmt.Sprintf("http://%s/v1/addresses?team=%s&%s&failure_domain=%s",
			entry, url.QueryEscape(c.Team), pool, c.Domain)
		err = c.queryAddresses(ctx, query, &answer)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		return c.cacheAddresses(pool, answer), nil
	}
	return "", errors.Wrap(err, "no router returned entry addresses")
}

func (c *Caller) queryAddresses(ctx context.Context, query string, answer *caller.AddressAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return fleet.Do(ctx, http.MethodGet, query, nil, answer)
}

func (c *Caller) cacheAddresses(pool string, answer caller.AddressAnswer) string {
	var list []string
	for _, a := range answer.Addresses {
		list = append(list, a.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cache == nil {
		c.cache = make(map[string]cachedAddresses)
	}
	c.cache[pool] = cachedAddresses{
		list: list, expires: time.Now().Add(time.Duration(answer.LifetimeMS) * time.Millisecond),
	}
	return pickAddress(list)
}

// dropAddresses removes the cached addresses of a pool, after a request without an answer.
func (c *Caller) dropAddresses(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, pool)
}

// otherAddressOneIn is the number of requests of which one, on average, goes to an address other than the best.
const otherAddressOneIn = 20

// pickAddress returns the best address, which is the first. It sometimes returns another one, because some callers
// balance over all addresses of an answer.
func pickAddress(list []string) string {
	if len(list) > 1 && rand.IntN(otherAddressOneIn) == 0 {
		return list[1+rand.IntN(len(list)-1)]
	}
	return list[0]
}

func shuffled(list []string) []string {
	out := append([]string(nil), list...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// CompletionBody returns the request body of a streamed completion.
func CompletionBody(model, prompt string, maxTokens int) []byte {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true})
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return body
}

// Complete sends a streamed completion to a router that the fleet names. It calls onTokens, if set, for each chunk with
// text, with the number of tokens.
func (c *Caller) Complete(ctx context.Context, model string, body []byte, onTokens func(int)) Answer {
	pool := "model=" + url.QueryEscape(model)
	return c.send(ctx, pool, "/v1/completions", body, nil, streamReader(onTokens))
}

// CompleteAt sends a streamed completion to a given router.
func (c *Caller) CompleteAt(ctx context.Context, address string, body []byte) Answer {
	return c.post(ctx, address, "/v1/completions", body, nil, streamReader(nil))
}

func streamReader(onTokens func(int)) readFunc {
	return func(resp *http.Response, start time.Time, a *Answer) {
		readStream(resp.Body, start, a, onTokens)
	}
}

// Call sends a call to a plain service through a router that the fleet names. An empty key sends no idempotency key.
func (c *Caller) Call(ctx context.Context, service, path, key string, body []byte) Answer {
	pool := "service=" + url.QueryEscape(service)
	return c.send(ctx, pool, "/v1/services/"+service+path, body, keyHeader(key), nil)
}

// CallAt sends a call to a plain service through a given router. An empty key sends no idempotency key.
func (c *Caller) CallAt(ctx context.Context, address, service, path, key string, body []byte) Answer {
	return c.post(ctx, address, "/v1/services/"+service+path, body, keyHeader(key), nil)
}

func keyHeader(key string) http.Header {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return header
}

// readFunc reads a streamed answer to a request that was sent at the given time.
type readFunc func(*http.Response, time.Time, *Answer)

// send posts a request to a router at one of the pool's entry addresses and reads the answer.
func (c *Caller) send(ctx context.Context, pool, path string, body []byte, header http.Header, read readFunc) Answer {
	start := time.Now()
	address, err := c.address(ctx, pool)
	if err != nil {
		return Answer{Outcome: OutcomeUnreachable, Err: err, Total: time.Since(start)}
	}
	a := c.post(ctx, address, path, body, header, read)
	if a.Status == 0 {
		c.dropAddresses(pool)
	}
	return a
}

// post sends a request to a router and reads the answer. If read is set, it reads answers with status 200.
func (c *Caller) post(
	ctx context.Context, address, path string, body []byte, header http.Header, read readFunc,
) Answer {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Router: address, Outcome: OutcomeUnreachable, Err: err}
	}
	// Without GetBody the HTTP client cannot retry the request, which would hide a lost answer.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey(c.Team))
	req.Header.Set("Content-Type", "application/json")
	resp, err := fleet.Client.Do(req)
	if err != nil {
		return Answer{Router: address, Outcome: connectionOutcome(err), Err: err, Total: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{Router: address, Status: resp.StatusCode, Wait: time.Since(start)}
	a.RequestID = resp.Header.Get(caller.HeaderRequestID)
	a.Outcome = resp.Header.Get(caller.HeaderOutcome)
	if read != nil && resp.StatusCode == http.StatusOK {
		read(resp, start, &a)
	} else {
		readBody(resp.Body, &a)
	}
	a.Total = time.Since(start)
	return a
}

func connectionOutcome(err error) string {
	if strings.Contains(err.Error(), "connection refused") {
		return OutcomeUnreachable
	}
	return OutcomeCut
}

// readBody reads an answer that is not streamed. Incomplete answers get OutcomeCut, whatever outcome the header states.
func readBody(body io.Reader, a *Answer) {
	data, err := io.ReadAll(body)
	a.Text = string(data)
	if err != nil {
		a.Outcome = OutcomeCut
		a.Err = err
		return
	}
	var e struct {
		Outcome string `json:"outcome"`
		Error   struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &e) == nil {
		a.Reason = e.Error.Type + ": " + e.Error.Message
	}
	if a.Outcome == "" {
		a.Outcome = OutcomeCut
		a.Err = errors.Errorf("status %d without outcome", a.Status)
	}
}

type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Outcome string `json:"outcome"`
	Error   *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// readStream reads server-sent events up to the one with the outcome.
func readStream(body io.Reader, start time.Time, a *Answer, onTokens func(int)) {
	a.Outcome = OutcomeCut
	a.Wait = 0
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			a.Err = err
			return
		}
		if e.Outcome != "" {
			a.Outcome = e.Outcome
			if e.Error != nil {
				a.Reason = e.Error.Message
			}
			break
		}
		if len(e.Choices) == 0 || e.Choices[0].Text == "" {
			continue
		}
		if a.Wait == 0 {
			a.Wait = time.Since(start)
		}
		text.WriteString(e.Choices[0].Text)
		n := strings.Count(e.Choices[0].Text, " ")
		a.Tokens += n
		if onTokens != nil {
			onTokens(n)
		}
	}
	a.Text = text.String()
	if a.Outcome == OutcomeCut {
		a.Err = errors.Wrap(scanner.Err(), "stream without outcome")
	}
}
