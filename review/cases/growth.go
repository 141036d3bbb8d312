package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// linkBytes are the random bytes in a link, which is a prefix of 8,000 characters: half of max_header_bytes.
	linkBytes = 6000
	// addedRoutes is the dose of big_config in the site file.
	addedRoutes, addedWithoutTrouble = 350, 10
	// applyTime is config_apply_ms.
	applyTime = 2 * time.Second
)

// linkRoute returns a route for one visit that is shared by a link, and its path prefix.
func linkRoute(i int) (route map[string]any, prefix string) {
	token := make([]byte, linkBytes)
	_, _ = rand.Read(token) // never fails
	prefix = "/visit/" + base64.RawURLEncoding.EncodeToString(token) + "/"
	return map[string]any{
		"name": fmt.Sprintf("visit-%d", i), "hostname": "visits.example", "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 3000,
		"target_latency_ms": 300, "priority": 0, "service": "rdv", "max_attempts": 2,
	}, prefix
}

// playGrowth has the manifest grow by many routes, and checks that what is acknowledged is in force and is read back.
func playGrowth(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	section := engineSection(engineMB, 24, []modelSpec{{"m-quote", 72700}}, 0)
	if err := d.startAll(ctx, quoteManifest(1, section)); err != nil {
		return nil, err
	}
	for i := range 4 {
		s, err := d.newServer(i, "rdv", zones[i], 6)
		if err != nil {
			return nil, err
		}
		s.serve = func(_ context.Context, s *server, x *exchange) {
			d.record.notef("%s: runs %s", s.id, x.id())
			x.answer(http.StatusOK, s.stamp(x), []byte("visit "+x.id()))
		}
		s.announce(ctx)
	}
	if err := d.awaitReady(ctx, 20*time.Second); err != nil {
		return nil, err
	}
	manifest := quoteManifest(2, section)
	routes := manifest["routes"].([]any)
	var prefix string
	add := func(n int) {
		for range n {
			var route map[string]any
			route, prefix = linkRoute(len(routes))
			routes = append(routes, route)
		}
		manifest["routes"] = routes
	}
	add(addedWithoutTrouble)
	if trouble {
		add(addedRoutes - addedWithoutTrouble)
	}
	if err := d.change(ctx, manifest, 2); err != nil {
		return nil, err
	}
	var breaches []string
	if seen := d.readVersions(ctx); !all(seen, 2) {
		breaches = append(breaches, fmt.Sprintf("CONFIG: version 2 is acknowledged, and later than config_apply_ms after that the control machines read back versions %v", seen))
	}
	if r := d.visit(ctx, prefix); r.status == http.StatusNotFound {
		breaches = append(breaches, "CONFIG: a request on a route of the acknowledged version is answered 404")
	}
	return breaches, nil
}

// change sends a manifest until it is acknowledged, and waits until it has to be in force.
func (d *deployment) change(ctx context.Context, manifest map[string]any, version int) error {
	manifest["version"] = version
	status, err := d.putManifest(ctx, manifest, 30*time.Second)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("version %d was answered %d", version, status)
	}
	if !pause(ctx, applyTime+contactTime) {
		return context.Cause(ctx)
	}
	return nil
}

// readVersions reads the manifest back from all control machines: 0 for one that does not answer.
func (d *deployment) readVersions(ctx context.Context) []int {
	var seen []int
	for _, m := range d.controls {
		status, text, err := call(ctx, http.MethodGet, "http://"+m.controlAddress()+"/v1/config", nil)
		var document struct{ Version int }
		if err == nil && status == http.StatusOK {
			err = json.Unmarshal(text, &document)
		}
		d.record.notef("operator: GET from %s: %d %v, %d bytes, version %d", m.name, status, err, len(text), document.Version)
		seen = append(seen, document.Version)
	}
	return seen
}

// all reports whether all machines that answered have the version, and one did.
func all(seen []int, version int) bool {
	answered := false
	for _, v := range seen {
		if v != 0 && v != version {
			return false
		}
		answered = answered || v == version
	}
	return answered
}

// visit sends a request to the route with the prefix, through a gateway.
func (d *deployment) visit(ctx context.Context, prefix string) reply {
	a := attempt{id: newID(), method: http.MethodGet, host: "visits.example", path: prefix + "today", deadline: 3 * time.Second}
	r := send(ctx, newClient(), d.gateways[0], a)
	d.record.notef("client: %s at %s: status %d, stamp %q, %v", a.id, d.gateways[0].name, r.status, r.stamp, r.err)
	return r
}
