package laburnumsimulation

import (
	"context"
	"os"
	"strconv"
	"strings"
	"testing"
)

func TestTry(t *testing.T) {
	file := os.Getenv("SCENARIO")
	if file == "" {
		t.Skip()
	}
	seeds, _ := strconv.Atoi(os.Getenv("SEEDS"))
	workers, _ := strconv.Atoi(os.Getenv("WORKERS"))
	for _, f := range strings.Split(file, ",") {
		s, err := Load(f)
		if err != nil {
			t.Fatal(err)
		}
		policies := Policies()
		if names := os.Getenv("POLICIES"); names != "" {
			policies = nil
			for _, n := range strings.Split(names, ",") {
				p, err := PolicyNamed(n)
				if err != nil {
					t.Fatal(err)
				}
				policies = append(policies, p)
			}
		}
		table, _ := Compare(context.Background(), s, policies, max(1, seeds), max(1, workers), func(int, int) {})
		_ = table.WriteText(os.Stdout)
	}
}
