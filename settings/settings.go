// Package settings reads the INI settings of a program into typed structs and
// validates them. A program passes a pointer to a struct whose fields are its
// sections; each section is a struct whose fields are its keys, both named by
// the tag `ini`. Bounds are given by the tag `validate` (package validator).
// Values that are set before loading are the defaults.
//
// A field of type []T with the tag `ini:"name.*"` receives every section whose
// name starts with "name."; the rest of the name is stored in T's field with the
// tag `ini:"*"`.
//
// An unknown section, an unknown key or an invalid value is an *Error with file,
// line, what was found and what is allowed.
package settings

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Load reads the file into the struct that into points to and validates it.
func Load(file string, into any) error {
	parsed, err := ini.LoadSources(ini.LoadOptions{Insensitive: false}, file)
	if err != nil {
		return eris.Wrapf(err, "settings %s", file)
	}
	l := loader{file: file, target: reflect.ValueOf(into).Elem()}
	for _, section := range parsed.Sections() {
		if err := l.section(section); err != nil {
			return err
		}
	}
	return l.validate(into)
}

// loader reads one file into one settings struct.
type loader struct {
	file   string
	target reflect.Value
}

func (l loader) section(section *ini.Section) error {
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
		return nil
	}
	field := l.sectionField(section.Name())
	if !field.IsValid() {
		return l.newError(section.Name(), "", "section "+section.Name(), "sections "+tagList(l.target))
	}
	for _, key := range section.Keys() {
		if err := l.key(section.Name(), field, key); err != nil {
			return err
		}
	}
	return nil
}

// sectionField returns the struct for the section: the field with its name, or a
// new element of the repeated section whose prefix its name has.
func (l loader) sectionField(name string) reflect.Value {
	if field := fieldByTag(l.target, name); field.IsValid() {
		return field
	}
	prefix, rest, found := strings.Cut(name, ".")
	list := fieldByTag(l.target, prefix+".*")
	if !found || !list.IsValid() {
		return reflect.Value{}
	}
	list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
	element := list.Index(list.Len() - 1)
	fieldByTag(element, "*").SetString(rest)
	return element
}

// key maps each key separately, so that an error identifies the key of an invalid
// value.
func (l loader) key(section string, into reflect.Value, key *ini.Key) error {
	field := fieldByTag(into, key.Name())
	if !field.IsValid() {
		return l.newError(section, key.Name(), "key "+key.Name(), "keys "+tagList(into))
	}
	single := ini.Empty().Section(section)
	if _, err := single.NewKey(key.Name(), key.Value()); err != nil {
		return l.newError(section, key.Name(), key.Value(), "a value")
	}
	if err := single.StrictMapTo(into.Addr().Interface()); err != nil {
		return l.newError(section, key.Name(), key.Value(), "a value of type "+field.Type().String())
	}
	return nil
}

// validate checks the bounds in the tags `validate` and returns the first failure.
func (l loader) validate(into any) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("ini") })
	err := validate.Struct(into)
	var failures validator.ValidationErrors
	if !eris.As(err, &failures) {
		return eris.Wrapf(err, "settings %s", l.file)
	}
	first := failures[0]
	return l.newError(l.sectionOf(first), first.Field(), quoteValue(first.Value()), allowedValue(first))
}

// sectionOf returns the name of the section of a failed check. The validator
// identifies it by tag and, in a repeated section, by index.
func (l loader) sectionOf(failure validator.FieldError) string {
	path := strings.TrimSuffix(failure.Namespace(), "."+failure.Field())
	_, section, _ := strings.Cut(path, ".")
	prefix, index, repeated := strings.Cut(strings.TrimSuffix(section, "]"), ".*[")
	if !repeated {
		return section
	}
	i, err := strconv.Atoi(index)
	if err != nil {
		return section
	}
	element := fieldByTag(l.target, prefix+".*").Index(i)
	return prefix + "." + fieldByTag(element, "*").String()
}

func (l loader) newError(section, key, found, allowed string) error {
	line := lineOf(l.file, section, key)
	return &Error{File: l.file, Line: line, Section: section, Key: key, Found: found, Allowed: allowed}
}

func fieldByTag(value reflect.Value, tag string) reflect.Value {
	for i := range value.NumField() {
		if value.Type().Field(i).Tag.Get("ini") == tag {
			return value.Field(i)
		}
	}
	return reflect.Value{}
}

func tagList(value reflect.Value) string {
	var tags []string
	for i := range value.NumField() {
		tags = append(tags, value.Type().Field(i).Tag.Get("ini"))
	}
	return strings.Join(tags, ", ")
}
