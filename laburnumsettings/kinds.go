package laburnumsettings

import (
	"fmt"
	"reflect"
	"strings"

	"laburnumlever"
)

// typeDescriptions describes the file syntax of types that need their own text.
var typeDescriptions = map[reflect.Type]string{
	reflect.TypeOf(laburnumlever.Duration(0)): `a duration with a unit, such as "1.9s"`,
}

// describeType describes the file syntax of a value of the type, for faults and the
// reference of keys.
func describeType(t reflect.Type) string {
	if name, ok := typeDescriptions[t]; ok {
		return name
	}
	if names := enumNames(t); len(names) > 0 {
		return `one of "` + strings.Join(names, `", "`) + `"`
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

// enumNames returns the names of an enum, an int with a generated String method, or nil
// for other types. String returns a number in parentheses for values outside the enum,
// which ends the list.
func enumNames(t reflect.Type) []string {
	if t.Kind() != reflect.Int || !t.Implements(reflect.TypeFor[fmt.Stringer]()) {
		return nil
	}
	var names []string
	for i := int64(0); ; i++ {
		value := reflect.New(t).Elem()
		value.SetInt(i)
		name := fmt.Sprint(value.Interface())
		if strings.HasSuffix(name, ")") {
			return names
		}
		names = append(names, name)
	}
}

// fieldsOf maps the JSON keys of a struct to its field indexes.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range t.NumField() {
		if name := keyOf(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// keysOf returns the JSON keys of a struct in the order of its fields.
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

func describeField(t reflect.Type, field int) string { return describeType(t.Field(field).Type) }
