package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"
)

// maxLineBytes is the largest length of a log line.
const maxLineBytes = 1 << 20

// logField matches a key=value pair of a log line.
var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

func storyCommands() []*cli.Command {
	return []*cli.Command{{
		Name: "story", Usage: "print the events of one job from logs of hornbeam-node, sorted by time",
		Category: "operators", ArgsUsage: "JOB [LOG...]",
		Description: "Reads the given log files, or standard input. Lines may come from several\n" +
			"instances and may have a prefix, such as the instance's name.\n\n" +
			"Example: hornbeamctl story 8693104bade95dde node1.log node2.log",
		Action: story,
	}}
}

// logLine is a parsed log line; from is the text before its first field.
type logLine struct {
	time, from, event, rest string
}

func story(c *cli.Context) error {
	if c.NArg() == 0 {
		return eris.New("the job's id is missing")
	}
	id, files := c.Args().First(), c.Args().Tail()
	var lines []logLine
	if len(files) == 0 {
		found, err := readLog(os.Stdin, id)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, file := range files {
		found, err := readLogFile(file, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return eris.Errorf("no log line for job %s", id)
	}
	return printStory(c.App.Writer, lines)
}

func readLogFile(file, id string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readLog(f, id)
}

// readLog returns the lines whose field id has the given value.
func readLog(r io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, found := parseLine(scanner.Text(), id); found {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parseLine(text, id string) (logLine, bool) {
	start := strings.Index(text, "time=")
	if start < 0 || !strings.Contains(text, id) {
		return logLine{}, false
	}
	line := logLine{from: strings.TrimSpace(text[:start])}
	matches := false
	var rest []string
	for _, pair := range logField.FindAllStringSubmatch(text[start:], -1) {
		name, value := pair[1], strings.Trim(pair[2], `"`)
		switch name {
		case "time":
			line.time = value
		case "event":
			line.event = value
		case "id":
			matches = value == id
		case "level", "process":
		default:
			rest = append(rest, name+"="+pair[2])
		}
	}
	line.rest = strings.Join(rest, " ")
	return line, matches
}

func printStory(w io.Writer, lines []logLine) error {
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].time < lines[k].time })
	for _, l := range lines {
		columns := slices.DeleteFunc([]string{l.time, l.from, l.event, l.rest}, func(word string) bool { return word == "" })
		if _, err := fmt.Fprintln(w, strings.Join(columns, " ")); err != nil {
			return err
		}
	}
	return nil
}
