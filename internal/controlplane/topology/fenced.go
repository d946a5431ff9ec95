//go:build !unfenced

package topology

// Fenced is true in all builds but those of the tag unfenced: a planner leads only by a majority's promises and only while they last. Test
// builds go without, to show that the checks notice.
const Fenced = true
