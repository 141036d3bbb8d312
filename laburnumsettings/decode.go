package laburnumsettings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"laburnumlever"
)

// requiredKeys lists the keys of each struct that have no default. Limits are required,
// so that a forgotten key doesn't silently mean no limit; 0 means none explicitly.
var requiredKeys = map[reflect.Type][]string{
	reflect.TypeOf(Settings{}):                  {"vm", "zone", "voters"},
	reflect.TypeOf(laburnumlever.Voter{}):       {"vm", "peer-address"},
	reflect.TypeOf(laburnumlever.Deployment{}):  {"name", "zones", "move-cost", "weight-store"},
	reflect.TypeOf(laburnumlever.WeightStore{}): {"loads-per-second", "parallel-loads"},
	reflect.TypeOf(laburnumlever.Owner{}):       {"name", "limits"},
	reflect.TypeOf(laburnumlever.Limits{}):      {"requests-per-second", "tokens-per-second", "in-flight", "queue"},
	reflect.TypeOf(laburnumlever.Class{}):       {"name", "priority", "first-token", "between-tokens"},
	reflect.TypeOf(laburnumlever.Model{}):       {"name", "owner", "class", "limits", "version", "weights-mib", "kv-reserve-mib"},
	reflect.TypeOf(laburnumlever.Adapter{}):     {"name", "size-mib"},
	reflect.TypeOf(laburnumlever.Service{}):     {"name", "owner", "class", "limits", "non-idempotent"},
	reflect.TypeOf(laburnumlever.Call{}):        {"method", "path-prefix"},
}

// requiredTag is the struct tag for required keys of structs outside requiredKeys.
const requiredTag = "required"

// requiredOf returns the required keys of a struct.
func requiredOf(t reflect.Type) []string {
	keys := requiredKeys[t]
	for i := range t.NumField() {
		if t.Field(i).Tag.Get(requiredTag) != "" {
			keys = append(keys, keyOf(t.Field(i)))
		}
	}
	return keys
}

var textUnmarshaler = reflect.TypeOf((*encoding.TextUnmarshaler)(nil)).Elem()

// decode decodes the document into target, a pointer to a struct, and adds a fault for
// each mismatch.
func (d *document) decode(target any) {
	if d.root.Value == nil {
		return
	}
	d.lines[""] = 1
	d.value(&d.root, reflect.ValueOf(target).Elem(), "")
}

func (d *document) value(from *hujson.Value, to reflect.Value, path string) {
	if _, known := d.lines[path]; !known {
		d.lines[path] = d.lineAt(from.StartOffset)
	}
	if to.Addr().Type().Implements(textUnmarshaler) {
		d.textValue(from, to, path)
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		d.object(from, to, path)
	case reflect.Slice:
		d.array(from, to, path)
	default:
		d.scalar(from, to, path)
	}
}

func (d *document) object(from *hujson.Value, to reflect.Value, path string) {
	object, ok := from.Value.(*hujson.Object)
	if !ok {
		d.add(path, "is not an object", "an object in braces")
		return
	}
	fields := fieldsOf(to.Type())
	seen := make(map[string]bool)
	for i := range object.Members {
		d.member(&object.Members[i], to, fields, seen, path)
	}
	for _, key := range requiredOf(to.Type()) {
		if !seen[key] {
			d.add(join(path, key), "is missing", describeField(to.Type(), fields[key]))
		}
	}
}

func (d *document) member(m *hujson.ObjectMember, to reflect.Value, fields map[string]int, seen map[string]bool, path string) {
	var name string
	literal, _ := m.Name.Value.(hujson.Literal)
	if err := json.Unmarshal(literal, &name); err != nil {
		d.add(path, "has a key that is not a string", "a key in double quotes")
		return
	}
	key := join(path, name)
	repeated := seen[name]
	if !repeated {
		d.lines[key] = d.lineAt(m.Name.StartOffset)
	}
	field, known := fields[name]
	switch {
	case !known:
		d.add(key, "is not a known key", "one of "+strings.Join(keysOf(to.Type()), ", "))
	case repeated:
		d.faults = append(d.faults, laburnumlever.Fault{
			File: d.file, Line: d.lineAt(m.Name.StartOffset), Key: key,
			Problem: "stands twice", Want: "each key once",
		})
	default:
		seen[name] = true
		d.value(&m.Value, to.Field(field), key)
	}
}

func (d *document) array(from *hujson.Value, to reflect.Value, path string) {
	array, ok := from.Value.(*hujson.Array)
	if !ok {
		d.add(path, "is not a list", "a list in square brackets")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		element := fmt.Sprintf("%s[%d]", path, i)
		d.value(&array.Elements[i], to.Index(i), element)
	}
}

func (d *document) scalar(from *hujson.Value, to reflect.Value, path string) {
	literal, ok := from.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		d.add(path, "is not "+describeType(to.Type()), describeType(to.Type()))
		return
	}
	if err := json.Unmarshal(literal, to.Addr().Interface()); err != nil {
		d.add(path, fmt.Sprintf("%s is not %s", string(literal), describeType(to.Type())), describeType(to.Type()))
	}
}

// textValue decodes a value that implements encoding.TextUnmarshaler: durations and enums.
func (d *document) textValue(from *hujson.Value, to reflect.Value, path string) {
	want := describeType(to.Type())
	literal, ok := from.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.add(path, fmt.Sprintf("%s is not %s", from.Pack(), want), want)
		return
	}
	unmarshaler, ok := to.Addr().Interface().(encoding.TextUnmarshaler)
	if !ok {
		return
	}
	var unit *laburnumlever.UnitError
	switch err := unmarshaler.UnmarshalText([]byte(literal.String())); {
	case errors.As(err, &unit):
		d.add(path, fmt.Sprintf("%s is not %s", string(literal), unit.Want), unit.Want)
	case err != nil:
		d.add(path, fmt.Sprintf("%s is not %s", string(literal), want), want)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
