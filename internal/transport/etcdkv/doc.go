// Package etcdkv is a key-value store over the etcd v3 JSON gateway. It turns every failure into one of the typed
// errors of package kv: a write that may have reached the store and has no answer is kv.ErrUncertain.
package etcdkv
