package main

import (
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/client"
)

// The flags of all commands.
const (
	flagGate    = "gate"
	flagKeyFile = "key-file"
	flagOutput  = "output"
)

// keyEnv is the environment variable with the key.
const keyEnv = "HORNBEAM_KEY"

// waitPerCall is the wait time requested in each call.
const waitPerCall = 10 * time.Second

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: flagGate, Usage: "use the entry instance or balancer at `URL`; may be repeated",
			EnvVars: []string{"HORNBEAM_GATE"}, Value: cli.NewStringSlice("http://127.0.0.1:7080"),
		},
		&cli.StringFlag{Name: flagKeyFile, Usage: "read the key from `FILE`", EnvVars: []string{"HORNBEAM_KEY_FILE"}},
		&cli.StringFlag{Name: flagOutput, Usage: "write output as `FORMAT`: text or json", Value: outputText, Action: checkOutput},
	}
}

// secret returns the key; it is empty when none is given, which open classes
// allow.
func secret(c *cli.Context) (string, error) {
	file := c.String(flagKeyFile)
	if file == "" {
		return os.Getenv(keyEnv), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", cli.Exit(eris.Wrap(err, "reading the key").Error(), exitUsage)
	}
	return strings.TrimSpace(string(raw)), nil
}

// caller returns a retrying caller that uses all given entry instances. Each call
// waits for the answer up to wait.
func caller(c *cli.Context, wait time.Duration) (*client.Caller, error) {
	key, err := secret(c)
	if err != nil {
		return nil, err
	}
	var entries []*client.Client
	for _, base := range c.StringSlice(flagGate) {
		entries = append(entries, client.New(base, key, http.DefaultClient))
	}
	return client.NewCaller(entries, wait), nil
}
