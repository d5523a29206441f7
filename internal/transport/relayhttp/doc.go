// Package relayhttp transfers changes of the store from one router to another over HTTP, encoded in CBOR.
package relayhttp
