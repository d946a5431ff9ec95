//go:build unfenced

package topology

// FencingEnabled is false in this test build: a planner leads with the promise of a single forwarder, and its leadership does not expire.
const FencingEnabled = false
