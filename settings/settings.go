// Package settings reads the INI settings of a program into typed structs and
// checks them. A program passes a pointer to a struct whose fields are its
// sections; each section is a struct whose fields are its keys, both named by
// the tag `ini`. Bounds stand in the tag `validate` (package validator). Values
// that are set before loading are the defaults.
//
// A field of type []T with the tag `ini:"name.*"` takes every section whose name
// starts with "name."; the rest of the name goes into T's field with the tag
// `ini:"*"`.
//
// An unknown section, an unknown key or a bad value is an *Error with file,
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

// Load reads the file into the struct that into points to and checks it.
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

// loader fills one settings struct from one file.
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
		return l.fail(section.Name(), "", "section "+section.Name(), "sections "+tagList(l.target))
	}
	for _, key := range section.Keys() {
		if err := l.key(section.Name(), field, key); err != nil {
			return err
		}
	}
	return nil
}

// sectionField returns the struct that takes the section: a field of its name,
// or a new element of the repeated section that its name starts with.
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

// key maps one key on its own, so that a bad value is known by its key.
func (l loader) key(section string, into reflect.Value, key *ini.Key) error {
	field := fieldByTag(into, key.Name())
	if !field.IsValid() {
		return l.fail(section, key.Name(), "key "+key.Name(), "keys "+tagList(into))
	}
	single := ini.Empty().Section(section)
	if _, err := single.NewKey(key.Name(), key.Value()); err != nil {
		return l.fail(section, key.Name(), key.Value(), "a value")
	}
	if err := single.StrictMapTo(into.Addr().Interface()); err != nil {
		return l.fail(section, key.Name(), key.Value(), "a value of type "+field.Type().String())
	}
	return nil
}

// validate checks the bounds that the tags state.
func (l loader) validate(into any) error {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("ini") })
	err := check.Struct(into)
	var problems validator.ValidationErrors
	if !eris.As(err, &problems) {
		return eris.Wrapf(err, "settings %s", l.file)
	}
	first := problems[0]
	return l.fail(l.sectionOf(first), first.Field(), quoteValue(first.Value()), allowed(first))
}

// sectionOf returns the section of a failed check. The validator names it by
// tag and, in a repeated section, by index.
func (l loader) sectionOf(problem validator.FieldError) string {
	path := strings.TrimSuffix(problem.Namespace(), "."+problem.Field())
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

func (l loader) fail(section, key, found, allowed string) error {
	line := locate(l.file, section, key)
	return &Error{File: l.file, Line: line, Section: section, Key: key, Found: found, Allowed: allowed}
}

func fieldByTag(of reflect.Value, tag string) reflect.Value {
	for i := range of.NumField() {
		if of.Type().Field(i).Tag.Get("ini") == tag {
			return of.Field(i)
		}
	}
	return reflect.Value{}
}

func tagList(of reflect.Value) string {
	var tags []string
	for i := range of.NumField() {
		tags = append(tags, of.Type().Field(i).Tag.Get("ini"))
	}
	return strings.Join(tags, ", ")
}
