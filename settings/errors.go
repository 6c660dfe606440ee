package settings

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Error is what is wrong with a settings file.
type Error struct {
	// File is the settings file.
	File string
	// Line is the line at fault, from 1; 0 when the file has none for it.
	Line int
	// Section is the section at fault.
	Section string
	// Key is the key at fault, empty for the section itself.
	Key string
	// Found is what stands there.
	Found string
	// Allowed is what may stand there.
	Allowed string
}

// Error returns file, line, what was found and what is allowed in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: [%s] %s: found %s; allowed: %s", e.File, e.Line, e.Section, e.Key, e.Found, e.Allowed)
}

// locate returns the line of the key in its section, the line of the section
// when key is empty or missing, and 0 when there is neither.
func locate(file, section, key string) int {
	f, err := os.Open(file)
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	inSection, sectionLine := false, 0
	scanner := bufio.NewScanner(f)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(text, "[") {
			inSection = text == "["+section+"]"
		}
		if inSection && sectionLine == 0 {
			sectionLine = line
		}
		name, _, found := strings.Cut(text, "=")
		if inSection && found && strings.TrimSpace(name) == key {
			return line
		}
	}
	return sectionLine
}

// allowed says what a failed check wants.
func allowed(problem validator.FieldError) string {
	switch problem.Tag() {
	case "required":
		return "a value"
	case "min", "gte":
		return "at least " + problem.Param()
	case "max", "lte":
		return "at most " + problem.Param()
	case "oneof":
		return "one of " + problem.Param()
	case "hostname_port":
		return "host:port"
	default:
		return strings.TrimSpace(problem.Tag() + " " + problem.Param())
	}
}

func quoteValue(value any) string { return fmt.Sprintf("%q", fmt.Sprint(value)) }
