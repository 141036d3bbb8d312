package laburnumroutes_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumroutes"
)

func table(prefixes ...string) laburnumlever.RouteTable {
	t := laburnumlever.RouteTable{Version: 1, Services: []laburnumlever.RoutedService{{Name: "booking"}}}
	for i, prefix := range prefixes {
		t.Routes = append(t.Routes, laburnumlever.Route{
			Name: laburnumlever.RouteName(fmt.Sprintf("r%d", i)), Host: "quotes.example", PathPrefix: prefix,
			Timeout: laburnumlever.Duration(1e9), Split: []laburnumlever.RouteShare{{Service: "booking", Weight: 1}},
		})
	}
	return t
}

// Guards against requests sent to the route of another host or of a shorter prefix.
func TestFind(t *testing.T) {
	index := laburnumroutes.NewIndex(table("/", "/a/", "/a/b/c/", "/ab/"))
	for _, tt := range []struct{ name, host, path, want string }{
		{"root", "quotes.example", "/", "/"},
		{"longest prefix wins", "quotes.example", "/a/b/c/d", "/a/b/c/"},
		{"no route for the parent path", "quotes.example", "/a/b/x", "/a/"},
		{"whole segments only", "quotes.example", "/abc", "/"},
		{"prefix without its trailing slash", "quotes.example", "/a", "/"},
		{"port and case of the host", "QUOTES.example:8080", "/ab/x", "/ab/"},
		{"another host", "other.example", "/a/", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, ok := index.Find(tt.host, tt.path)
			require.Equal(t, tt.want != "", ok)
			if ok {
				require.Equal(t, tt.want, r.PathPrefix)
			}
		})
	}
}

// Guards against an unusable table of an operator that is accepted and takes effect on all VMs.
func TestCheckRefuses(t *testing.T) {
	change := func(fn func(*laburnumlever.RouteTable)) laburnumlever.RouteTable {
		x := table("/a/", "/b/")
		fn(&x)
		return x
	}
	for _, tt := range []struct {
		name string
		give laburnumlever.RouteTable
		want string
	}{
		{"no version", change(func(t *laburnumlever.RouteTable) { t.Version = 0 }), "version"},
		{"unknown service", change(func(t *laburnumlever.RouteTable) { t.Routes[0].Split[0].Service = "none" }), "unknown service"},
		{"same host and path prefix", change(func(t *laburnumlever.RouteTable) { t.Routes[1].PathPrefix = "/a/" }), "host and path prefix"},
		{"weights add up to 0", change(func(t *laburnumlever.RouteTable) { t.Routes[0].Split[0].Weight = 0 }), "add up to 0"},
		{"no timeout", change(func(t *laburnumlever.RouteTable) { t.Routes[0].Timeout = 0 }), "timeout"},
		{"no trailing slash", change(func(t *laburnumlever.RouteTable) { t.Routes[0].PathPrefix = "/a" }), "slash"},
		{"service twice", change(func(t *laburnumlever.RouteTable) { t.Services = append(t.Services, t.Services[0]) }), "booking"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := laburnumroutes.Check(tt.give)
			var invalid *laburnumlever.RoutesInvalidError
			require.True(t, errors.As(err, &invalid))
			require.Contains(t, err.Error(), tt.want)
		})
	}
	require.NoError(t, laburnumroutes.Check(table("/a/", "/b/")))
}

func TestPickFollowsWeights(t *testing.T) {
	r := laburnumlever.Route{Split: []laburnumlever.RouteShare{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "none", Weight: 0}}}
	counts := map[laburnumlever.ServiceName]int{}
	for draw := range uint64(1000) {
		counts[laburnumroutes.Pick(r, draw)]++
	}
	require.Equal(t, map[laburnumlever.ServiceName]int{"old": 900, "new": 100}, counts)
}

// BenchmarkFindAmong measures a lookup among many routes. Its time must not grow with their number:
// operators add hundreds of routes at once while requests are served.
func BenchmarkFindAmong(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			prefixes := make([]string, n)
			for i := range prefixes {
				prefixes[i] = fmt.Sprintf("/p%d/q/", i)
			}
			index := laburnumroutes.NewIndex(table(prefixes...))
			for b.Loop() {
				index.Find("quotes.example", "/p7/q/r/s")
			}
		})
	}
}
