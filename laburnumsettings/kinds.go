package laburnumsettings

import (
	"reflect"
	"strings"

	"laburnumlever"
)

// kindNames say what a value of a type looks like in a file.
var kindNames = map[reflect.Type]string{
	reflect.TypeOf(laburnumlever.Duration(0)): `a duration with a unit, such as "1.9s"`,
	reflect.TypeOf(laburnumlever.Priority(0)): `one of "` + strings.Join(laburnumlever.PriorityStrings(), `", "`) + `"`,
}

// kindName says in words what a value of the type is.
func kindName(t reflect.Type) string {
	if name, ok := kindNames[t]; ok {
		return name
	}
	switch t.Kind() {
	case reflect.String:
		return "a string in double quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number, not negative"
	case reflect.Slice:
		return "a list in square brackets"
	case reflect.Struct:
		return "an object with " + strings.Join(keysOf(t), ", ")
	default:
		return t.String()
	}
}

// fieldsOf maps the JSON keys of a struct to its fields.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range t.NumField() {
		if name := keyOf(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// keysOf lists the JSON keys of a struct in the order of its fields.
func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if name := keyOf(t.Field(i)); name != "" {
			keys = append(keys, name)
		}
	}
	return keys
}

func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func wantOf(t reflect.Type, field int) string { return kindName(t.Field(field).Type) }
