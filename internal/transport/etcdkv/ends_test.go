package etcdkv

import (
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/cutserver"
)

// Guards against a part of a response without a length that is taken for the whole one: for a shorter list, or for a write
// that was refused.
func TestEachPartOfAResponseIsAnError(t *testing.T) {
	calls := map[string]struct {
		answer string
		call   func(c *Client) error
		err    error
	}{
		"list": {
			cutserver.NoLength + `{"header":{"cluster_id":"7"},"kvs":[{"key":"YQ=="},{"key":"Yg=="}],"count":"2"}`,
			func(c *Client) error { _, err := c.List(t.Context(), "", "", 9); return err }, kv.ErrUnavailable,
		},
		"write": {
			cutserver.NoLength + `{"header":{"cluster_id":"7","revision":"9"},"succeeded":true}`,
			func(c *Client) error { _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); return err }, kv.ErrUncertain,
		},
		"watch": {
			cutserver.NoLength + `{"result":{"events":[{"kv":{"key":"aw==","mod_revision":"9"}}]}}`,
			func(c *Client) error { _, err := c.Watch(t.Context(), "k", 1); return err }, kv.ErrUnavailable,
		},
	}
	for name, tc := range calls {
		t.Run(name, func(t *testing.T) {
			run := func(address string) error {
				c := New(Options{URL: "http://" + address, Timeout: longTimeout})
				defer c.Close()
				return tc.call(c)
			}
			NewWithT(t).Expect(run(cutserver.Start(t, tc.answer, connend.Close))).To(Succeed())
			cutserver.ForEachPart(t, tc.answer, func(t *testing.T, address string) {
				NewWithT(t).Expect(run(address)).To(MatchError(tc.err))
			})
		})
	}
}

// Guards against a part of a refusal of a write that counts as the proof that the write had no effect.
func TestEachPartOfARefusalIsUncertain(t *testing.T) {
	const answer = "HTTP/1.0 429 Too Many Requests\r\n\r\n" + `{"code":8,"message":"m"}`
	write := func(address string) error {
		c := New(Options{URL: "http://" + address, Timeout: longTimeout})
		defer c.Close()
		_, err := c.CompareAndSwap(t.Context(), "k", 0, nil)
		return err
	}
	NewWithT(t).Expect(write(cutserver.Start(t, answer, connend.Close))).To(MatchError(kv.ErrThrottled))
	cutserver.ForEachPart(t, answer, func(t *testing.T, address string) {
		NewWithT(t).Expect(write(address)).To(MatchError(kv.ErrUncertain))
	})
}
