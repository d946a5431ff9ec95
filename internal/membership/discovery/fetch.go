package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// StatusError is the error for a response whose status is not 200.
type StatusError struct {
	Status string // status code and text
}

// Error implements error.
func (e *StatusError) Error() string { return "discovery answered " + e.Status }

// request is a GET request that was sent, and its response or error.
type request struct {
	cancel   context.CancelFunc
	response *http.Response
	err      error
}

// discard cancels the request and closes its response body.
func (r *request) discard() {
	r.cancel()
	if r.err == nil {
		r.response.Body.Close()
	}
}

// body returns the response body, which can be read until the request's context ends. The error says why the request failed, or is a
// *StatusError.
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

// startRequest sends a request in a goroutine. The finished request is sent to done, or discarded once abandoned is closed.
func (w *Watcher) startRequest(ctx context.Context, url string, done chan<- *request, abandoned <-chan struct{}) *request {
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

// fetch returns the body of the service's response; the caller closes it, and it can be read until ctx ends. Until a response arrives, fetch
// repeats the request every answerTimeout. The first and the latest request stay open, because a service that becomes responsive again may
// answer either of them.
func (w *Watcher) fetch(ctx context.Context, query string) (io.ReadCloser, error) {
	url := fmt.Sprintf("http://%s/api/targets%s", w.addr, query)
	done, abandoned := make(chan *request), make(chan struct{})
	defer close(abandoned)
	first := w.startRequest(ctx, url, done, abandoned)
	var latest *request
	repeat := time.NewTicker(w.answerTimeout)
	defer repeat.Stop()
	for {
		select {
		case <-repeat.C:
			if latest != nil {
				latest.cancel()
			}
			latest = w.startRequest(ctx, url, done, abandoned)
		case r := <-done:
			if r != first && r != latest { // an earlier repeat, cancelled above
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
