package layout_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/deployment/layout"
	"github.com/hornbeamworks/hornbeam/model"
)

var _ = DescribeTable("Write generates the files of a deployment",
	func(file string, entries int) {
		d, err := deployment.Load(file)
		Expect(err).NotTo(HaveOccurred())
		folder := GinkgoT().TempDir()
		options := layout.Options{DeploymentFile: file, Folder: folder, BasePort: 7100}
		Expect(layout.Write(d, options)).To(Succeed())

		processes, err := os.ReadFile(filepath.Join(folder, layout.ProcessFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(processes), "\n")).To(Equal(1 + 2*entries))

		raw, err := os.ReadFile(filepath.Join(folder, layout.ConfigFile))
		Expect(err).NotTo(HaveOccurred())
		var first model.Config
		Expect(json.Unmarshal(raw, &first)).To(Succeed())
		Expect(config.Check(&first)).To(Succeed())
		Expect(first.Keys).To(HaveLen(len(d.Teams) + 1))

		secret, err := os.ReadFile(filepath.Join(folder, layout.KeyFolder, layout.OperatorKey))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).NotTo(ContainSubstring(strings.TrimSpace(string(secret))))
	},
	Entry("Consortium", "../../deploy/consortium.ini", 6),
	Entry("Zarqa", "../../deploy/zarqa.ini", 7),
)
