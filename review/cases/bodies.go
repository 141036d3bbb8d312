package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bodyBytes = 4194304 // max_body_bytes of the manifest
	// usualEvery is the time between two quotes at a gateway, burstTenths the burst of the site file.
	usualEvery  = 165 * time.Millisecond
	burstTenths = 24 // 2.4 times the usual
	burstTime   = 4500 * time.Millisecond
	burstPause  = 4 * time.Second
	uploadTime  = 3 * time.Second // 11 Mbit/s, a usual mobile line
	playTime    = 75 * time.Second
	// endsForFault is the number of ends of a machine's process that make a fault.
	endsForFault = 3
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// limitMemory kills a gateway that uses more than its memory, and starts it again, as the platform does.
func limitMemory(ctx context.Context, m *machine, most *atomic.Int64, kills *atomic.Int64) {
	for pause(ctx, 20*time.Millisecond) {
		used := residentMB(m.pid())
		if int64(used) > most.Load() {
			most.Store(int64(used))
		}
		if used <= memoryMB {
			continue
		}
		m.d.record.notef("%s uses %d MB of %d MB and is killed", m.name, used, memoryMB)
		kills.Add(1)
		m.signal(syscall.SIGKILL)
		m.await()
		if !pause(ctx, restartDelay) {
			return
		}
		if err := m.start(); err != nil {
			m.d.record.notef("%s did not start again: %v", m.name, err)
			return
		}
	}
}

// playBodies has many clients send bodies of the permitted size at once, and checks that no gateway outgrows its memory.
func playBodies(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	spec := []modelSpec{{"m-quote", 72700}}
	if err := d.startAll(ctx, quoteManifest(1, engineSection(engineMB, 24, spec, 0))); err != nil {
		return nil, err
	}
	for i := range 4 {
		s, err := d.newServer(i, "devis", zones[i], 24)
		if err != nil {
			return nil, err
		}
		s.engine = &engine{s: s, weightsMB: engineMB, specs: spec, held: []string{"m-quote"}, loadTime: time.Second}
		s.serve = func(ctx context.Context, _ *server, x *exchange) { x.stream(ctx, 8, 60*time.Millisecond) }
		s.announce(ctx)
	}
	if err := d.awaitReady(ctx, 20*time.Second); err != nil {
		return nil, err
	}
	playing, stop := context.WithTimeout(ctx, playTime)
	defer stop()
	most, kills := make([]atomic.Int64, len(d.gateways)), make([]atomic.Int64, len(d.gateways))
	var all sync.WaitGroup
	for i, g := range d.gateways {
		all.Go(func() { limitMemory(playing, g, &most[i], &kills[i]) })
		all.Go(func() { sendPhotos(playing, d, g, trouble) })
	}
	all.Wait()
	var breaches []string
	ended := 0
	for i, g := range d.gateways {
		d.record.notef("%s: at most %d MB, killed %d times", g.name, most[i].Load(), kills[i].Load())
		if kills[i].Load() >= endsForFault {
			ended++
		}
	}
	if ended >= 2 {
		breaches = append(breaches, fmt.Sprintf("Fault: the processes of %d machines ended by themselves %d times or more", ended, endsForFault))
	}
	return breaches, nil
}

// sendPhotos sends quotes with photos to a gateway, in bursts if trouble is set.
func sendPhotos(ctx context.Context, d *deployment, g *machine, trouble bool) {
	client := newClient()
	photos := make([]byte, bodyBytes)
	start := time.Now()
	var counts [6]atomic.Int64
	var all sync.WaitGroup
	for {
		every := usualEvery
		if trouble && time.Since(start)%(burstTime+burstPause) > burstPause {
			every = usualEvery * 10 / burstTenths
		}
		if !pause(ctx, every) {
			break
		}
		all.Go(func() {
			r := send(context.Background(), client, g, attempt{
				id: newID(), method: http.MethodPost, host: "quotes.example", path: "/quote/photos", body: photos, deadline: 12 * time.Second, upload: uploadTime,
				header: map[string]string{headerModel: "m-quote", headerTokens: "543,280"},
			})
			counts[r.status/100].Add(1)
		})
	}
	all.Wait()
	d.record.notef("%s: %d answered 2xx, %d 5xx, %d without an answer", g.name, counts[2].Load(), counts[5].Load(), counts[0].Load())
}
