//go:build !unfenced

package topology

// FencingEnabled reports whether fencing is enforced: a planner leads a cell only with the promises of a majority of forwarders, and only
// until they expire. It is false only in test builds with the tag unfenced, which show that the checks detect the lack of fencing.
const FencingEnabled = true
