package main

import (
	"fmt"

	"eiderspread/internal/base/simprotocol"
	"eiderspread/internal/dataplane/settings"
	"eiderspread/internal/decision/config"
	"eiderspread/policy"
)

// fieldReader reads fields of a line and keeps the first error. What it returns after an error is meaningless.
type fieldReader struct {
	line *simprotocol.Line
	err  error
}

func firstError[T any](f *fieldReader, value T, err error) T {
	if f.err == nil {
		f.err = err
	}
	return value
}

func (f *fieldReader) text(name string) string {
	value, err := f.line.Text(name)
	return firstError(f, value, err)
}

func (f *fieldReader) integer(name string) int {
	value, err := f.line.Int(name)
	return firstError(f, value, err)
}

func (f *fieldReader) optionalInteger(name string) int {
	value, err := f.line.OptInt(name)
	return firstError(f, value, err)
}

func (f *fieldReader) number(name string) float64 {
	value, err := f.line.Num(name)
	return firstError(f, value, err)
}

func (f *fieldReader) optionalNumber(name string) float64 {
	value, err := f.line.OptNum(name)
	return firstError(f, value, err)
}

func (f *fieldReader) flag(name string) bool {
	value, err := f.line.OptBool(name)
	return firstError(f, value, err)
}

// statuses are how attempts and health checks end, by the simulator's codes.
var statuses = map[int]policy.Status{
	200: policy.OK,
	410: policy.NotSent,
	499: policy.Cancelled,
	500: policy.Error,
	502: policy.ConnectFailed,
	503: policy.Rejected,
	504: policy.Timeout,
	598: policy.Reset,
}

func (f *fieldReader) status() policy.Status {
	code := f.integer(simprotocol.FieldStatusCode)
	status, ok := statuses[code]
	if f.err == nil && !ok {
		f.err = fmt.Errorf("%s: field %s cannot be read: \"%d\"", f.line.Name, simprotocol.FieldStatusCode, code)
	}
	return status
}

// load returns the load report, nil if there is none.
func (f *fieldReader) load() *policy.Load {
	report := settings.NoLoad
	present, err := f.line.Pairs(simprotocol.FieldLoad, func(name string, value float64) { settings.SetLoad(&report, name, value) })
	if firstError(f, present, err) {
		return &report
	}
	return nil
}

var backendStates = map[string]config.BackendState{
	simprotocol.StateUp:       policy.Up,
	simprotocol.StateDraining: policy.Draining,
	simprotocol.StateRemoved:  policy.Removed,
}

// backend reads an entry of an endpoint list.
func (f *fieldReader) backend() policy.Backend {
	backend := policy.Backend{
		ID:        f.text(simprotocol.FieldBackend),
		Zone:      f.text(simprotocol.FieldZone),
		Cell:      f.optionalInteger(simprotocol.FieldCell),
		Weight:    f.optionalNumber(simprotocol.FieldWeight),
		StartedAt: f.optionalNumber(simprotocol.FieldStartedAt),
	}
	text := f.text(simprotocol.FieldState)
	state, ok := backendStates[text]
	if f.err == nil && !ok {
		f.err = fmt.Errorf("%s: field %s cannot be read: %q", f.line.Name, simprotocol.FieldState, text)
	}
	backend.State = state
	return backend
}
