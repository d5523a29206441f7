package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a trail that misses a router, is out of order, or holds lines of other requests.
func TestExplainMergesTheLinesOfARequest(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	a := write("a.log", `{"ts":2000.5,"logger":"gateway","msg":"answered","request":"r1"}`+"\nnot JSON r1\n"+
		`{"ts":1500,"logger":"gateway","msg":"answered","request":"r12"}`+"\n")
	b := write("b.log", `12.5 router-b {"ts":1990,"logger":"gateway","msg":"repeat","request":"r1","result":"broken"}`+"\n")
	var out strings.Builder
	g.Expect(explain(&out, "r1", []string{a, b})).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(2))
	g.Expect(lines[0]).To(And(ContainSubstring("repeat"), ContainSubstring("router-b")))
	g.Expect(lines[1]).To(And(ContainSubstring("+10.5 ms"), ContainSubstring("answered")))
	g.Expect(explain(&out, "none", []string{a})).To(MatchError(ContainSubstring("no line")))
	g.Expect(explain(&out, "r1", []string{filepath.Join(dir, "missing")})).NotTo(Succeed())
}
