package main

import (
	"fmt"
	"sync"
	"time"
)

// report counts the answers that clients got and collects violations of the guarantees. It is safe for concurrent use.
type report struct {
	mu         sync.Mutex
	violations []string
	served     int
	refused    int
	failed     int
	// peakMemoryMB is the largest memory of a router in MiB.
	peakMemoryMB int
}

func (r *report) recordMemory(mb int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peakMemoryMB = max(r.peakMemoryMB, mb)
}

func (r *report) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
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
