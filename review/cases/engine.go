package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// engine is the part of a backend server that holds models.
type engine struct {
	s         *server
	weightsMB float64
	specs     []modelSpec // all models that exist
	loadTime  time.Duration
	// onOrder, if set, is called with each load that is accepted, with what the engine would hold then.
	onOrder func(e *engine, model string, mb float64)

	// kvTotal is the memory for tokens; 0 if holds are not kept.
	kvTotal int

	mu    sync.Mutex
	kv    int // the tokens of running requests
	held  []string
	busy  bool
	seq   int
	fence uint64
}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (e *engine) holds(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.held, name)
}

func (e *engine) models() []heldModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []heldModel{}
	for _, name := range e.held {
		list = append(list, heldModel{Name: name, Version: 1, Adapters: []string{}})
	}
	return list
}

func (e *engine) report() map[string]any {
	models := e.models()
	e.s.mu.Lock()
	running, queued := e.s.running, e.s.waiting
	e.s.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"stage": "both", "models": models, "busy": e.busy, "seq": e.seq, "queued": queued, "running": running,
		"kv_used": 100 * running, "kv_total": 81962, "handles": 0,
	}
}

// usedMB is the memory that the held models take. The caller holds mu.
func (e *engine) usedMB() float64 {
	total := 0.0
	for _, m := range e.specs {
		if slices.Contains(e.held, m.name) {
			total += m.mb
		}
	}
	return total
}

// use counts the tokens of a request that runs.
func (e *engine) use(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv += tokens
}

// holdTake reserves memory, or answers that there is none. The reservation ends by itself soon.
func (e *engine) holdTake(x *exchange) {
	var call struct {
		Tokens int
		TTLMS  float64 `json:"ttl_ms"`
	}
	if err := json.Unmarshal(x.body, &call); err != nil {
		x.answer(http.StatusBadRequest, nil, nil)
		return
	}
	e.mu.Lock()
	full := e.kv+call.Tokens > e.kvTotal
	e.mu.Unlock()
	e.s.d.record.notef("%s: hold-take of %d tokens, refused %t", e.s.id, call.Tokens, full)
	if full {
		x.answer(http.StatusServiceUnavailable, map[string]string{headerNotRun: "1"}, nil)
		return
	}
	x.answerJSON(http.StatusOK, map[string]any{"hold": fmt.Sprintf("h-%d", time.Now().UnixNano())})
}

// order carries out an order as the protocol page says.
func (e *engine) order(x *exchange) {
	var o struct {
		Op, Model, Adapter, Holder string
		Expect                     *int
		Fence                      *uint64
	}
	if err := json.Unmarshal(x.body, &o); err != nil || o.Holder == "" || o.Fence == nil {
		x.answer(http.StatusBadRequest, nil, nil)
		return
	}
	status := e.carryOut(o.Op, o.Model, o.Adapter, o.Expect, *o.Fence)
	e.s.d.record.notef("%s: order %s %s from %s, epoch %d: %d", e.s.id, o.Op, o.Model, o.Holder, *o.Fence, status)
	x.answer(status, nil, nil)
}

func (e *engine) carryOut(op, model, adapter string, expect *int, fence uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := slices.IndexFunc(e.specs, func(m modelSpec) bool { return m.name == model })
	held := slices.Contains(e.held, model)
	switch {
	case fence < e.fence:
		return http.StatusPreconditionFailed
	case known < 0 || adapter != "" || op != "load" && op != "unload":
		return http.StatusBadRequest
	case e.busy || expect != nil && *expect != e.seq:
		return http.StatusConflict
	case held == (op == "load"):
		return http.StatusOK
	}
	e.fence = fence
	e.seq++
	e.busy = true
	total := e.usedMB() + e.specs[known].mb
	if op == "load" && e.onOrder != nil {
		e.onOrder(e, model, total)
	}
	time.AfterFunc(e.loadTime, func() { e.finish(op, model) })
	return http.StatusAccepted
}

// finish ends an order. An engine that holds more than its memory crashes.
func (e *engine) finish(op, model string) {
	e.mu.Lock()
	e.busy = false
	if op == "load" {
		e.held = append(e.held, model)
	} else {
		e.held = slices.DeleteFunc(e.held, func(name string) bool { return name == model })
	}
	crashed := e.usedMB() > e.weightsMB
	e.mu.Unlock()
	if crashed {
		e.s.d.record.notef("%s: crashes: it holds more than %.0f MB", e.s.id, e.weightsMB)
		e.s.end()
		return
	}
	e.s.beat(e.s.d.context())
}

// engineSection is the engine of a service in the manifest.
func engineSection(weightsMB float64, slots int, models []modelSpec, holdMS float64) map[string]any {
	var list []any
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m.name, "weights_mb": m.mb, "load_s": 2.6, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.44, "disk_s": 0.57,
		})
	}
	section := map[string]any{
		"slots": slots, "kv_capacity": 81962, "token_kv_bytes": 163840.0, "link_mbps": 1100000.0, "stride": 6,
		"weights_mb": weightsMB, "adapter_slots": 8, "loads_per_s": 3.0, "models": list,
	}
	if holdMS > 0 {
		section["hold_ms"] = holdMS
	}
	return section
}
