package settings_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/settings"
)

type serverSettings struct {
	Listen  string        `ini:"listen" validate:"hostname_port"`
	Workers int           `ini:"workers" validate:"min=1,max=64"`
	Timeout time.Duration `ini:"timeout" validate:"min=1ms"`
	Peers   []string      `ini:"peers"`
}

type teamSettings struct {
	Name  string `ini:"*"`
	Share int    `ini:"share" validate:"min=1"`
}

type daemonSettings struct {
	Server serverSettings `ini:"server"`
	Teams  []teamSettings `ini:"team.*" validate:"dive"`
}

func load(text string) (daemonSettings, error) {
	file := filepath.Join(GinkgoT().TempDir(), "daemon.ini")
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	s := daemonSettings{Server: serverSettings{Workers: 4, Timeout: time.Second}}
	err := settings.Load(file, &s)
	return s, err
}

var _ = Describe("Load", func() {
	It("reads the given keys and keeps the other defaults", func() {
		s, err := load("[server]\nlisten = 127.0.0.1:80\ntimeout = 250ms\npeers = a,b\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Server).To(Equal(serverSettings{
			Listen: "127.0.0.1:80", Workers: 4, Timeout: 250 * time.Millisecond, Peers: []string{"a", "b"},
		}))
	})

	It("stores the rest of the name of each repeated section", func() {
		s, err := load("[server]\nlisten = h:1\n[team.a]\nshare = 2\n[team.b.c]\nshare = 3\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Teams).To(Equal([]teamSettings{{Name: "a", Share: 2}, {Name: "b.c", Share: 3}}))
	})
})

var _ = DescribeTable("Load rejects",
	func(text string, line int, found, allowed string) {
		_, err := load(text)
		var loadErr *settings.Error
		Expect(err).To(BeAssignableToTypeOf(loadErr))
		loadErr = err.(*settings.Error)
		Expect(loadErr.Line).To(Equal(line))
		Expect(loadErr.Found).To(ContainSubstring(found))
		Expect(loadErr.Allowed).To(ContainSubstring(allowed))
	},
	Entry("an unknown section", "[server]\nlisten = h:1\n[sever]\nx = 1\n", 3, "section sever", "sections server"),
	Entry("an unknown key", "[server]\nlisten = h:1\nlistn = h:2\n", 3, "key listn", "listen, workers, timeout, peers"),
	Entry("a value of the wrong type", "[server]\nlisten = h:1\nworkers = many\n", 3, "many", "type int"),
	Entry("a value out of range", "[server]\nlisten = h:1\nworkers = 65\n", 3, "65", "at most 64"),
	Entry("a bad address", "[server]\nworkers = 2\nlisten = nowhere\n", 3, "nowhere", "host:port"),
	Entry("a value out of range in a repeated section", "[server]\nlisten = h:1\n[team.a]\nshare = 0\n", 4, "0", "at least 1"),
	Entry("a key outside all sections", "workers = 2\n", 0, "section DEFAULT", "sections server"),
)
