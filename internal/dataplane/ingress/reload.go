package ingress

import (
	"slices"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/ingressconfig"
)

// applySettings applies the classes and the number of attempts of a new configuration, both or neither. Loop only.
func (in *Ingress) applySettings(cfg ingressconfig.Config) error {
	if slices.Equal(cfg.Settings.Classes, in.classes) && cfg.Settings.MaxAttempts == in.maxAttempts {
		return nil
	}
	decider, ok := in.decider.(ReconfigurableDecider)
	if !ok {
		in.log.Warn("changes of classes and attempts take effect only after a restart")
		return nil
	}
	if err := decider.UpdateClasses(in.now, cfg.Settings.Classes, cfg.Settings.MaxAttempts); err != nil {
		return err
	}
	in.classes, in.maxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	settings := in.cfg.Settings.Settings
	settings.Classes = in.classes
	in.schema.Store(callprotocol.NewSchema(settings))
	var names []string
	for _, class := range in.classes {
		names = append(names, class.Name)
	}
	in.log.Info("classes and attempts applied", "classes", names, "attempts", in.maxAttempts)
	return nil
}
