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

// longestLine bounds a line of a log, in bytes.
const longestLine = 1 << 20

// logField finds the key=value pairs of a line.
var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

func storyCommands() []*cli.Command {
	return []*cli.Command{{
		Name: "story", Usage: "print what logs of hornbeam-node say of one job, in the order of time",
		Category: "operators", ArgsUsage: "JOB [LOG...]",
		Description: "Reads the named logs, or standard input. Lines may come from several instances\n" +
			"and may stand behind other words, such as the instance's name.\n\n" +
			"Example: hornbeamctl story 8693104bade95dde node1.log node2.log",
		Action: story,
	}}
}

// storyLine is a line of the story.
type storyLine struct {
	time, from, event, rest string
}

func story(c *cli.Context) error {
	if c.NArg() == 0 {
		return eris.New("the job's id is missing")
	}
	id, files := c.Args().First(), c.Args().Tail()
	var lines []storyLine
	if len(files) == 0 {
		found, err := storyOf(os.Stdin, id)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, file := range files {
		found, err := storyIn(file, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return eris.Errorf("no line on job %s", id)
	}
	return printStory(c.App.Writer, lines)
}

func storyIn(file, id string) ([]storyLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return storyOf(f, id)
}

// storyOf returns the lines whose field id is the job's.
func storyOf(r io.Reader, id string) ([]storyLine, error) {
	var lines []storyLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		if line, found := parseStory(scanner.Text(), id); found {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parseStory(text, id string) (storyLine, bool) {
	start := strings.Index(text, "time=")
	if start < 0 || !strings.Contains(text, id) {
		return storyLine{}, false
	}
	line := storyLine{from: strings.TrimSpace(text[:start])}
	concerns := false
	var rest []string
	for _, pair := range logField.FindAllStringSubmatch(text[start:], -1) {
		name, value := pair[1], strings.Trim(pair[2], `"`)
		switch name {
		case "time":
			line.time = value
		case "event":
			line.event = value
		case "id":
			concerns = value == id
		case "level", "process":
		default:
			rest = append(rest, name+"="+pair[2])
		}
	}
	line.rest = strings.Join(rest, " ")
	return line, concerns
}

func printStory(w io.Writer, lines []storyLine) error {
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].time < lines[k].time })
	for _, l := range lines {
		words := slices.DeleteFunc([]string{l.time, l.from, l.event, l.rest}, func(word string) bool { return word == "" })
		if _, err := fmt.Fprintln(w, strings.Join(words, " ")); err != nil {
			return err
		}
	}
	return nil
}
