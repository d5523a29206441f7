package freshness

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against knowledge that counts as fresh before any was confirmed, or that an older answer makes younger or older.
func TestProof(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	p := NewProof(func() time.Duration { return now })
	g.Expect(p.Within(time.Hour)).To(BeFalse())
	p.Confirm(now)
	now += 3 * time.Second
	g.Expect(p.Within(3 * time.Second)).To(BeTrue())
	g.Expect(p.Within(2 * time.Second)).To(BeFalse())
	p.Confirm(now - 4*time.Second)
	age, _ := p.Age()
	g.Expect(age).To(Equal(3 * time.Second))
}

// Guards against a clock that stands still or goes back.
func TestBootTime(t *testing.T) {
	g := NewWithT(t)
	before := BootTime()
	time.Sleep(5 * time.Millisecond)
	g.Expect(BootTime() - before).To(BeNumerically(">=", 5*time.Millisecond))
}
