package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// writeLog writes a log file and returns its path.
func writeLog(g Gomega, dir, name, text string) string {
	path := filepath.Join(dir, name)
	g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// Guards against output that lacks a router's lines, is out of order, or contains lines of other requests.
func TestExplainMergesTheLinesOfARequest(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	a := writeLog(g, dir, "a.log", `{"ts":2000.5,"logger":"gateway","msg":"answered","request":"r1"}`+"\nnot JSON r1\n"+
		`{"ts":1500,"logger":"gateway","msg":"answered","request":"r12"}`+"\n")
	b := writeLog(g, dir, "b.log",
		`12.5 router-b {"ts":1990,"logger":"gateway","msg":"repeat","request":"r1","result":"broken"}`+"\n")
	var out strings.Builder
	g.Expect(explain(&out, "r1", []string{a, b})).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(2))
	g.Expect(lines[0]).To(And(ContainSubstring("repeat"), ContainSubstring("router-b")))
	g.Expect(lines[1]).To(And(ContainSubstring("+10.5 ms"), ContainSubstring("answered")))
	g.Expect(explain(&out, "none", []string{a})).To(MatchError(ContainSubstring("no line")))
	g.Expect(explain(&out, "r1", []string{filepath.Join(dir, "missing")})).NotTo(Succeed())
}

// Guards against a timeline that lists a change once for each router, and against one that drops a later equal change.
func TestTimelineOfLogs(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	change := `{"level":"info","ts":%T,"logger":"discovery","msg":"configuration in force","version":3}`
	at := func(ms string) string { return strings.Replace(change, "%T", ms, 1) + "\n" }
	var files []string
	for _, name := range []string{"a.log", "b.log", "c.log"} {
		files = append(files, writeLog(g, dir, name,
			at("1000")+`{"ts":1001,"logger":"gateway","msg":"refused","request":"r1"}`+"\n"))
	}
	files = append(files, writeLog(g, dir, "d.log", at("9000")+`{"ts":500,"msg":"started","incarnation":7}`+"\n"))
	var out strings.Builder
	g.Expect(printLogEvents(&out, files)).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(3))
	g.Expect(lines[0]).To(And(HavePrefix("00:00:00.500"), ContainSubstring("started  incarnation=7")))
	g.Expect(lines[1]).To(And(HavePrefix("00:00:01.000"), ContainSubstring("3 routers"), ContainSubstring("version=3")))
	g.Expect(lines[2]).To(And(HavePrefix("00:00:09.000"), ContainSubstring("d.log")))
	g.Expect(printLogEvents(&out, []string{filepath.Join(dir, "missing")})).NotTo(Succeed())
}
