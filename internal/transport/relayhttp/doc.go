// Package relayhttp carries changes of the store from one router to another over HTTP, in CBOR.
package relayhttp
