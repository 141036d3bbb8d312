package laburnumsettings

import (
	"fmt"
	"reflect"
	"strings"

	"laburnumlever"
)

// Change is one difference between two catalogues.
type Change struct {
	// Action is add, remove or change.
	Action string `json:"action"`
	// Kind is the kind of entry, such as model, and Name its name.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Key, From and To are the key and its old and new value; set for a change only.
	Key  string `json:"key,omitempty"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// LoadMiB is the size in MiB that each copy of the model must load because of the
	// change.
	LoadMiB int `json:"load-mib,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	text := strings.TrimSpace(fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name))
	if c.Key != "" {
		text += fmt.Sprintf(": %s from %s to %s", c.Key, c.From, c.To)
	}
	if c.LoadMiB > 0 {
		text += fmt.Sprintf(" (each copy loads %d MiB)", c.LoadMiB)
	}
	return text
}

// reloadKeys are the keys of a model whose change requires reloading every copy.
var reloadKeys = map[string]bool{
	"version": true, "weights-mib": true, "kv-reserve-mib": true, "accelerators": true, "adapters": true,
}

// Diff lists the differences between the current and the next catalogue.
func Diff(current, next laburnumlever.Catalogue) []Change {
	var changes []Change
	changes = append(changes, fieldChanges("deployment", "", reflect.ValueOf(current.Deployment), reflect.ValueOf(next.Deployment))...)
	changes = append(changes, listChanges("owner", reflect.ValueOf(current.Owners), reflect.ValueOf(next.Owners))...)
	changes = append(changes, listChanges("class", reflect.ValueOf(current.Classes), reflect.ValueOf(next.Classes))...)
	changes = append(changes, listChanges("model", reflect.ValueOf(current.Models), reflect.ValueOf(next.Models))...)
	changes = append(changes, listChanges("service", reflect.ValueOf(current.Services), reflect.ValueOf(next.Services))...)
	return changes
}

func listChanges(kind string, current, next reflect.Value) []Change {
	var changes []Change
	for i := range next.Len() {
		entry := next.Index(i)
		before, found := entryNamed(current, nameOf(entry))
		if !found {
			changes = append(changes, Change{Action: "add", Kind: kind, Name: nameOf(entry), LoadMiB: sizeOf(entry)})
			continue
		}
		changes = append(changes, fieldChanges(kind, nameOf(entry), before, entry)...)
	}
	for i := range current.Len() {
		name := nameOf(current.Index(i))
		if _, kept := entryNamed(next, name); !kept {
			changes = append(changes, Change{Action: "remove", Kind: kind, Name: name})
		}
	}
	return changes
}

func fieldChanges(kind, name string, before, after reflect.Value) []Change {
	var changes []Change
	for i, key := range keysOf(after.Type()) {
		from, to := before.Field(i), after.Field(i)
		if reflect.DeepEqual(from.Interface(), to.Interface()) || from.Kind() == reflect.Slice && from.Len()+to.Len() == 0 {
			continue
		}
		change := Change{Action: "change", Kind: kind, Name: name, Key: key, From: valueText(from), To: valueText(to)}
		if kind == "model" && reloadKeys[key] {
			change.LoadMiB = sizeOf(after)
		}
		changes = append(changes, change)
	}
	return changes
}

// valueText formats a value on one line, in the syntax of a catalogue file.
func valueText(v reflect.Value) string {
	text, err := encodeLine(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return text
}

func entryNamed(list reflect.Value, name string) (reflect.Value, bool) {
	for i := range list.Len() {
		if nameOf(list.Index(i)) == name {
			return list.Index(i), true
		}
	}
	return reflect.Value{}, false
}

func nameOf(entry reflect.Value) string { return entry.FieldByName("Name").String() }

func sizeOf(entry reflect.Value) int {
	model, ok := entry.Interface().(laburnumlever.Model)
	if !ok {
		return 0
	}
	return model.SizeMiB()
}
