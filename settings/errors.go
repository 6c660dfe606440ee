package settings

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Error describes an invalid section, key or value in a settings file.
type Error struct {
	// File is the path of the settings file.
	File string
	// Line is the number of the invalid line, from 1; 0 when the file has no
	// line for it.
	Line    int
	Section string
	// Key is empty when the section itself is invalid.
	Key string
	// Found describes the invalid section, key or value.
	Found string
	// Allowed describes what is valid instead.
	Allowed string
}

// Error returns file, line, section, key, what was found and what is allowed in
// one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: [%s] %s: found %s; allowed: %s", e.File, e.Line, e.Section, e.Key, e.Found, e.Allowed)
}

// lineOf returns the line of the key in its section, the line of the section
// when key is empty or missing, and 0 when there is neither.
func lineOf(file, section, key string) int {
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

// allowedValue describes the values that satisfy the failed check.
func allowedValue(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "a value"
	case "min", "gte":
		return "at least " + failure.Param()
	case "max", "lte":
		return "at most " + failure.Param()
	case "oneof":
		return "one of " + failure.Param()
	case "hostname_port":
		return "host:port"
	default:
		return strings.TrimSpace(failure.Tag() + " " + failure.Param())
	}
}

func quoteValue(value any) string { return fmt.Sprintf("%q", fmt.Sprint(value)) }
