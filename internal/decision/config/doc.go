// Package config defines a gateway's settings (classes, plans, limits) and the values that events carry (requests, backends, outcomes).
// It validates the settings and makes no decisions.
package config
