package freshness

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a state that counts as fresh before it was ever confirmed, and against an older answer that changes
// the time of the last confirmation.
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

// Guards against a clock that stops or goes back.
func TestBootTime(t *testing.T) {
	g := NewWithT(t)
	before := BootTime()
	time.Sleep(5 * time.Millisecond)
	g.Expect(BootTime() - before).To(BeNumerically(">=", 5*time.Millisecond))
}
