package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/deployment/layout"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage/httpstorage"
)

const (
	// defaultBasePort is the lowest port that a layout uses.
	defaultBasePort = 7100
	// initTimeout bounds the creation of the first configuration.
	initTimeout = 10 * time.Second
)

func layoutCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "layout", Usage: "write the settings of a complete deployment on loopback", Category: "deployment",
			Description: "Example:\n   hornbeamctl layout --deployment deploy/zarqa.ini --folder out/zarqa",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "deployment", Usage: "read the deployment from `FILE`", Required: true},
				&cli.StringFlag{Name: "folder", Usage: "write to `FOLDER`", Required: true},
				&cli.IntFlag{Name: "base-port", Usage: "use ports from `PORT` on", Value: defaultBasePort},
			},
			Action: writeLayout,
		},
		{
			Name: "init", Usage: "create the first configuration, unless there is one", Category: "deployment",
			Description: "Example:\n   hornbeamctl init --table http://127.0.0.1:7100 --config out/zarqa/config.json",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "table", Usage: "use the platform's table at `URL`", Required: true},
				&cli.StringFlag{Name: "config", Usage: "read the configuration from `FILE`", Required: true},
			},
			Action: initialise,
		},
	}
}

func writeLayout(c *cli.Context) error {
	file := c.String("deployment")
	d, err := deployment.Load(file)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	return layout.Write(d, layout.Options{
		DeploymentFile: file,
		Folder:         c.String("folder"),
		BasePort:       c.Int("base-port"),
	})
}

func initialise(c *cli.Context) error {
	raw, err := os.ReadFile(c.String("config"))
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	var first model.Config
	if err := json.Unmarshal(raw, &first); err != nil {
		return cli.Exit(eris.Wrap(err, "the configuration").Error(), exitUsage)
	}
	ctx, cancel := context.WithTimeout(c.Context, initTimeout)
	defer cancel()
	table := httpstorage.NewTable(c.String("table"), http.DefaultClient)
	if err := config.Initialise(ctx, table, first); err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	_, err = fmt.Fprintln(c.App.Writer, "the deployment has a configuration")
	return err
}
