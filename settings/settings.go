// Package settings reads the INI settings of a program into typed structs and
// checks them. A program passes a pointer to a struct whose fields are its
// sections; each section is a struct whose fields are its keys, both named by
// the tag `ini`. Bounds stand in the tag `validate` (package validator). Values
// that are set before loading are the defaults.
//
// An unknown section, an unknown key or a bad value is an *Error with file,
// line, what was found and what is allowed.
package settings

import (
	"reflect"
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
	field := fieldByTag(l.target, section.Name())
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
	path := strings.Split(first.Namespace(), ".")
	section, key := path[len(path)-2], path[len(path)-1]
	return l.fail(section, key, quoteValue(first.Value()), allowed(first))
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
