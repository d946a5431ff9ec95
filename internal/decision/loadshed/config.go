package loadshed

import "fmt"

// Config is the operator's load-shedding configuration. Its zero value turns load shedding off.
type Config struct {
	Enabled bool    `toml:"on"`
	Floor   float64 `toml:"floor"` // fraction of each account's requests admitted at any level, 0 to 0.5; 0: the default
}

// defaultFloor is above 0 so that even the smallest account with requests of the lowest priority is served.
const defaultFloor = 0.03

// Check returns an error if a value is out of range.
func (c Config) Check() error {
	if !(c.Floor >= 0 && c.Floor <= 0.5) { // also rejects NaN
		return fmt.Errorf("overload: floor is %g, want 0 to 0.5", c.Floor)
	}
	return nil
}
