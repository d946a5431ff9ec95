package main

import (
	"fmt"

	"eiderspread/internal/base/simprotocol"
	"eiderspread/internal/dataplane/settings"
	"eiderspread/internal/decision/config"
	"eiderspread/policy"
)

// fieldReader reads fields of a line and keeps the first error. Values that it returns after an error are meaningless.
type fieldReader struct {
	line *simprotocol.Line
	err  error
}

// recordError keeps err if it is the first error, and returns value unchanged.
func recordError[T any](f *fieldReader, value T, err error) T {
	if f.err == nil {
		f.err = err
	}
	return value
}

func (f *fieldReader) text(name string) string {
	value, err := f.line.Text(name)
	return recordError(f, value, err)
}

func (f *fieldReader) integer(name string) int {
	value, err := f.line.Int(name)
	return recordError(f, value, err)
}

func (f *fieldReader) optionalInteger(name string) int {
	value, err := f.line.OptInt(name)
	return recordError(f, value, err)
}

func (f *fieldReader) number(name string) float64 {
	value, err := f.line.Num(name)
	return recordError(f, value, err)
}

func (f *fieldReader) optionalNumber(name string) float64 {
	value, err := f.line.OptNum(name)
	return recordError(f, value, err)
}

func (f *fieldReader) flag(name string) bool {
	value, err := f.line.OptBool(name)
	return recordError(f, value, err)
}

// statuses maps the simulator's status codes to the outcomes of attempts and health checks.
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

// load returns the load report, or nil if the line has none.
func (f *fieldReader) load() *policy.Load {
	report := settings.NoLoad
	present, err := f.line.Pairs(simprotocol.FieldLoad, func(name string, value float64) { settings.SetLoad(&report, name, value) })
	if recordError(f, present, err) {
		return &report
	}
	return nil
}

var backendStates = map[string]config.BackendState{
	simprotocol.StateUp:       policy.Up,
	simprotocol.StateDraining: policy.Draining,
	simprotocol.StateRemoved:  policy.Removed,
}

// backend reads one entry of an endpoint list.
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
