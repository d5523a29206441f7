// Package etcdkv implements kv.Store over the JSON gateway of etcd v3. It maps every failure to one of the errors of
// package kv: a write that may have reached the store but got no response returns kv.ErrUncertain.
package etcdkv
