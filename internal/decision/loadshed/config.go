package loadshed

import "fmt"

// Config is the operators' configuration. Its zero value turns load shedding off.
type Config struct {
	Enabled bool    `toml:"on"`
	Floor   float64 `toml:"floor"` // share of each account's requests that every level admits, 0 to 0.5; 0: the default
}

// defaultFloor lets the smallest account with requests of the lowest priority be served something.
const defaultFloor = 0.03

// Check returns an error if a value is out of its range.
func (c Config) Check() error {
	if !(c.Floor >= 0 && c.Floor <= 0.5) { // also rejects NaN
		return fmt.Errorf("overload: floor is %g, want 0 to 0.5", c.Floor)
	}
	return nil
}
