package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// StatusError is an answer of the service with another status than 200.
type StatusError struct {
	Status string // code and text
}

// Error implements error.
func (e *StatusError) Error() string { return "discovery answered " + e.Status }

// request is a GET request that is out, and what came of it.
type request struct {
	cancel   context.CancelFunc
	response *http.Response
	err      error
}

// discard ends the request and what remains of its answer.
func (r *request) discard() {
	r.cancel()
	if r.err == nil {
		r.response.Body.Close()
	}
}

// body returns the answer's body, which ends with the request's context, or what is wrong with the answer.
func (r *request) body() (io.ReadCloser, error) {
	if r.err == nil && r.response.StatusCode != http.StatusOK {
		r.response.Body.Close()
		r.err = &StatusError{r.response.Status}
	}
	if r.err != nil {
		r.cancel()
		return nil, r.err
	}
	return r.response.Body, nil
}

// start begins a request. It comes back on done, unless abandoned is closed before that.
func (w *Watcher) start(ctx context.Context, url string, done chan<- *request, abandoned <-chan struct{}) *request {
	ctx, cancel := context.WithCancel(ctx)
	r := &request{cancel: cancel}
	go func() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if r.err = err; err == nil {
			r.response, r.err = w.client.Do(req)
		}
		select {
		case done <- r:
		case <-abandoned:
			r.discard()
		}
	}()
	return r
}

// fetch returns the body of the service's answer; the caller closes it, and it ends with ctx. While no answer begins, the request is
// repeated every answerTimeout. The first one and the latest stay open: a service that was silent may answer either when it is back.
func (w *Watcher) fetch(ctx context.Context, query string) (io.ReadCloser, error) {
	url := fmt.Sprintf("http://%s/api/targets%s", w.addr, query)
	done, abandoned := make(chan *request), make(chan struct{})
	defer close(abandoned)
	first := w.start(ctx, url, done, abandoned)
	var latest *request
	repeat := time.NewTicker(w.answerTimeout)
	defer repeat.Stop()
	for {
		select {
		case <-repeat.C:
			if latest != nil {
				latest.cancel()
			}
			latest = w.start(ctx, url, done, abandoned)
		case r := <-done:
			if r != first && r != latest { // was cancelled above
				r.discard()
				continue
			}
			for _, other := range []*request{first, latest} {
				if other != nil && other != r {
					other.cancel()
				}
			}
			return r.body()
		}
	}
}
