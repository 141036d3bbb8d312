package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// reply is what a client got for one attempt.
type reply struct {
	status int // 0 if the connection ended without an answer
	stamp  string
	body   []byte
	err    error
}

// attempt is one attempt of a client.
type attempt struct {
	id, method, host, path string
	header                 map[string]string
	body                   []byte
	deadline               time.Duration
	// upload is how long the client takes to send the body; 0 for at once.
	upload time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
}

// send sends an attempt to a gateway and reads the whole answer.
func send(ctx context.Context, client *http.Client, gateway *machine, a attempt) reply {
	ctx, cancel := context.WithTimeout(ctx, a.deadline)
	defer cancel()
	var body io.Reader = bytes.NewReader(a.body)
	if a.upload > 0 {
		body = &slowBody{rest: a.body, each: max(1, len(a.body)/uploadSteps), every: a.upload / uploadSteps}
	}
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+gateway.frontAddress()+a.path, body)
	if err != nil {
		return reply{err: err}
	}
	req.ContentLength = int64(len(a.body))
	req.Host = a.host
	req.Header.Set(headerID, a.id)
	req.Header.Set(headerDeadline, fmt.Sprint(a.deadline.Milliseconds()))
	for name, value := range a.header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, stamp: resp.Header.Get(headerStamp), body: text, err: err}
}

// uploadSteps is the number of pieces in which a slow client sends a body.
const uploadSteps = 64

// slowBody is a body that a client sends piece by piece, as over a mobile line.
type slowBody struct {
	rest  []byte
	each  int
	every time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.every)
	n := copy(p[:min(len(p), b.each)], b.rest)
	b.rest = b.rest[n:]
	return n, nil
}
