//go:build unfenced

package topology

// Fenced is off in this test build: one promise is enough, and a lead does not end by time.
const Fenced = false
