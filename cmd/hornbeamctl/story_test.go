package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("story", func() {
	const first = `time="2026-01-01T00:00:01Z" level=info event=submit code=ok id=aa11 process=node took=9ms`
	const second = `  3.2 edge-1 time="2026-01-01T00:00:02Z" level=info event=run_ordered endpoint=i-1 id=aa11 process=node run="aa11.0.0.0#1"`
	const other = `time="2026-01-01T00:00:01Z" level=info event=submit code=ok id=bb22 process=node reason="not aa11"`

	It("prints the lines of one job from several logs sorted by time", func() {
		dir := GinkgoT().TempDir()
		a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
		Expect(os.WriteFile(a, []byte(second+"\n"+other+"\n"), 0o600)).To(Succeed())
		Expect(os.WriteFile(b, []byte(first+"\n"), 0o600)).To(Succeed())
		var out bytes.Buffer
		Expect(newApp(&out).Run([]string{"hornbeamctl", "story", "aa11", a, b})).To(Succeed())
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(Equal([]string{
			`2026-01-01T00:00:01Z submit code=ok took=9ms`,
			`2026-01-01T00:00:02Z 3.2 edge-1 run_ordered endpoint=i-1 run="aa11.0.0.0#1"`,
		}))
	})

	It("fails when no line matches the job", func() {
		file := filepath.Join(GinkgoT().TempDir(), "a.log")
		Expect(os.WriteFile(file, []byte(first+"\n"), 0o600)).To(Succeed())
		Expect(newApp(&bytes.Buffer{}).Run([]string{"hornbeamctl", "story", "cc33", file})).NotTo(Succeed())
	})
})
