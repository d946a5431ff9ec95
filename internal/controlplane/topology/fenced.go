//go:build !unfenced

package topology

// Fenced tells that a planner leads by a majority's promises and no longer than they hold. Only test builds
// (tag unfenced) go without, to show that a run would notice.
const Fenced = true
