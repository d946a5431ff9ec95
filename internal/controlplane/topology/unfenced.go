//go:build unfenced

package topology

// Fenced is false in this test build: one promise makes a lead, and a lead does not end by time.
const Fenced = false
