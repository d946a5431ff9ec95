package admin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the operators' interface against unintended changes of paths, methods, status codes and texts.
func TestGoldenCalls(t *testing.T) {
	s, h := serve(t)
	var b strings.Builder
	for _, err := range []error{nil, ErrUnknown, errors.New("not now")} {
		h.mu.Lock()
		h.err = err
		h.mu.Unlock()
		for _, call := range strings.Fields("GET/v1/readyz POST/v1/readyz POST/v1/ingress/drain POST/v1/ingress/activate GET/v1/ingress/drain " +
			"POST/v1/backends/a%2Fb/suspend POST/v1/backends/a/resume POST/v1/backends/a/novel POST/v1/backends//resume GET/") {
			method, path, _ := strings.Cut(call, "/")
			req, err := http.NewRequest(method, "http://"+s.Addr().String()+"/"+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			fmt.Fprintf(&b, "%s %d %q %q %v\n", call, resp.StatusCode, resp.Header.Get("Allow"), body, err)
		}
	}
	h.mu.Lock()
	fmt.Fprintln(&b, h.calls)
	h.mu.Unlock()
	golden.Check(t, "calls.txt", []byte(b.String()))
}
