package main

import (
	"fmt"
	"sync"
	"time"
)

// report collects what clients saw and which promises were broken. It is safe for concurrent use.
type report struct {
	mu       sync.Mutex
	findings []string
	served   int
	refused  int
	failed   int
}

func (r *report) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (r *report) count(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case status == 200:
		r.served++
	case status == 503:
		r.refused++
	default:
		r.failed++
	}
}
