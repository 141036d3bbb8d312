package laburnumsettings

import (
	"fmt"
	"reflect"
	"slices"

	"laburnumlever"
)

// Key describes one key of a settings or catalogue file.
type Key struct {
	// File is settings or catalogue.
	File string `json:"file"`
	Key  string `json:"key"`
	// Value describes the type of the value.
	Value    string `json:"value"`
	Required bool   `json:"required"`
	// Default is the value if the key is omitted; empty if there is no default.
	Default string `json:"default,omitempty"`
}

// String formats the description on one line.
func (k Key) String() string {
	text := fmt.Sprintf("%s %s: %s", k.File, k.Key, k.Value)
	switch {
	case k.Required:
		text += " (required)"
	case k.Default != "":
		text += " (default " + k.Default + ")"
	}
	return text
}

// Reference returns all keys of settings and catalogue files, in the order of the Go
// structs.
func Reference() []Key {
	keys := describe("settings", "", reflect.ValueOf(Default()))
	return append(keys, describe("catalogue", "", reflect.ValueOf(laburnumlever.Catalogue{}))...)
}

func describe(file, path string, from reflect.Value) []Key {
	var keys []Key
	for i, name := range keysOf(from.Type()) {
		field := from.Field(i)
		key := Key{
			File: file, Key: join(path, name), Value: describeTypeBriefly(field.Type()),
			Required: slices.Contains(requiredKeys[from.Type()], name),
		}
		if file == "settings" && !field.IsZero() && field.Kind() != reflect.Struct {
			key.Default = valueText(field)
		}
		keys = append(keys, key)
		keys = append(keys, describeInner(file, key.Key, field)...)
	}
	return keys
}

func describeInner(file, path string, field reflect.Value) []Key {
	switch {
	case field.Kind() == reflect.Struct:
		return describe(file, path, field)
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
		return describe(file, path+"[]", reflect.New(field.Type().Elem()).Elem())
	default:
		return nil
	}
}

// describeTypeBriefly describes a type like describeType, but omits the keys of an object,
// which are listed on lines of their own.
func describeTypeBriefly(t reflect.Type) string {
	switch {
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "a list"
	default:
		return describeType(t)
	}
}
