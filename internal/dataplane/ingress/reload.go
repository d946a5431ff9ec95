package ingress

import (
	"log/slog"
	"os"
)

// Reload reads the configuration again at each signal and hands it on, until done is closed. What can't be read or used is logged, and the ingress
// goes on as it is; first is the configuration that it started with.
func Reload(hup <-chan os.Signal, done <-chan struct{}, read func() (Config, error), first Config, to chan<- Config, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-done:
			return
		}
		cfg, err := read()
		if err == nil {
			err = cfg.CheckReload(first)
		}
		if err != nil {
			log.Error("configuration not taken over", "error", err)
			continue
		}
		if cfg.NeedsRestart(first) {
			log.Warn("of the new configuration the address of discovery, classes and attempts alone are taken over before a restart")
		}
		select {
		case to <- cfg:
		case <-done:
			return
		}
	}
}
