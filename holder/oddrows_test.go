package holder_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// oddJobs are rows of jobs that no front writes.
var oddJobs = []string{
	`{"id":%q,"queue":"cook","steps":[{"n":0,"gang":true}]}`,
	`{"id":%q,"queue":"cook","steps":[{"n":-5}]}`,
	`{"id":%q,"queue":"cook","steps":[{"n":9000000000000000000}]}`,
	`{"id":%q,"queue":"cook","steps":[{"n":1,"after":[7]}]}`,
	`{"id":%q,"queue":"cook","steps":[{"n":1,"after":[-1]}]}`,
	`{"id":%q,"queue":"cook","steps":[{"n":1}],"times":9000000000000000000}`,
	`{"id":%q,"queue":"cook","steps":[{"n":1,"size":[-9,0,0],"est":-4}]}`,
	`{"id":%q,"queue":"cook","steps":null}`,
	`{"id":%q,"queue":"cook","steps":[null]}`,
	`[`, `7`, `null`, ``,
}

// One such row ended the holder's process, and that of each successor.
var _ = Describe("Odd rows of jobs", func() {
	It("do not stop the holder", func() {
		f := newCellFixture()
		f.endpoint("good", 20*time.Millisecond)
		f.completes(f.submit(2), oddWait)
		for i, row := range oddJobs {
			id := fmt.Sprintf("%016x", 1000+i)
			text := row
			if len(row) > 4 {
				text = fmt.Sprintf(row, id)
			}
			f.server.PutRaw("jobs", id, []byte(text))
		}
		f.completes(f.submit(3), oddWait)
	})
})
