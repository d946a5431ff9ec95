// Package config holds what a gateway is configured with (classes, plans, limits) and what events say about requests, backends and
// outcomes. These are plain values. The settings are validated here; nothing is decided.
package config
