package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const engineMB = 200000

// quoteManifest is a manifest with one streaming route to engines and one plain route.
func quoteManifest(version int, engine map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "quote", "hostname": "quotes.example", "path_prefix": "/quote/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 300,
				"priority": 1, "service": "devis", "max_attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 150,
			},
			map[string]any{
				"name": "confirm", "hostname": "visits.example", "path_prefix": "/confirm/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 300,
				"priority": 0, "service": "rdv", "max_attempts": 1,
			},
			map[string]any{
				"name": "lookup", "hostname": "visits.example", "path_prefix": "/slots/", "kind": "idempotent", "timeout_ms": 3000, "target_latency_ms": 300,
				"priority": 0, "service": "rdv", "max_attempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": "devis", "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": "rdv", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// playLimit takes a model out of the manifest that engines hold, and checks that no engine is ordered to hold more than it can.
func playLimit(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	all := []modelSpec{{"m-quote", 72700}, {"m-batch", 72700}, {"m-old", 72700}}
	var mu sync.Mutex
	var breaches []string
	onOrder := func(e *engine, model string, mb float64) {
		if mb <= e.weightsMB {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		breaches = append(breaches, fmt.Sprintf("LIMIT: %s holds %v and is ordered to load %s: %.0f MB of %.0f MB", e.s.id, e.held, model, mb, e.weightsMB))
	}
	if err := d.startAll(ctx, quoteManifest(1, engineSection(engineMB, 24, all, 0))); err != nil {
		return nil, err
	}
	layout := [][]string{{"m-quote", "m-batch"}, {"m-quote", "m-batch"}, {"m-quote", "m-old"}, {"m-batch", "m-old"}}
	for i, held := range layout {
		s, err := d.newServer(i, "devis", zones[i], 24)
		if err != nil {
			return nil, err
		}
		s.engine = &engine{s: s, weightsMB: engineMB, specs: all, loadTime: 2600 * time.Millisecond, held: held, onOrder: onOrder}
		s.serve = func(ctx context.Context, _ *server, x *exchange) { x.stream(ctx, 3, 20*time.Millisecond) }
		s.announce(ctx)
	}
	if err := d.awaitReady(ctx, 20*time.Second); err != nil {
		return nil, err
	}
	if !pause(ctx, 10*time.Second) {
		return nil, context.Cause(ctx)
	}
	models := all
	if trouble {
		models = all[:2]
		d.record.notef("operator: version 2 no longer lists m-old")
	}
	status, err := d.putManifest(ctx, quoteManifest(2, engineSection(engineMB, 24, models, 0)), 10*time.Second)
	if err != nil || status != 200 {
		return nil, fmt.Errorf("version 2 was not accepted: %d, %w", status, err)
	}
	if !pause(ctx, 20*time.Second) {
		return nil, context.Cause(ctx)
	}
	mu.Lock()
	defer mu.Unlock()
	return breaches, nil
}
