package evacuation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against evacuations whose start or end is missed or reported twice, and against a wrong age.
func TestChanges(t *testing.T) {
	g := NewWithT(t)
	r := New()
	now := time.Now()
	g.Expect(r.Set(now, []string{"a", "b"})).To(Equal([]Change{{Domain: "a", Started: true}, {Domain: "b", Started: true}}))
	now = now.Add(time.Second)
	g.Expect(r.Set(now, []string{"a", "b"})).To(BeEmpty())
	g.Expect(r.Set(now, []string{"b", "c"})).To(Equal([]Change{{Domain: "a"}, {Domain: "c", Started: true}}))
	g.Expect(r.Evacuated("a")).To(BeFalse())
	g.Expect(r.Evacuated("b")).To(BeTrue())
	g.Expect(r.List(now)).To(Equal([]Status{{Domain: "b", Age: time.Second}, {Domain: "c"}}))
}
