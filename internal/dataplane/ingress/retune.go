package ingress

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"eiderspread/policy"
)

// What a running ingress takes over from a configuration that is read again: the address of discovery, the classes and
// the attempts allowed. All of a file is taken or none of it.

// ReconfigurableDecider is a Gateway that takes other classes, and another number of attempts, while requests are under way. These
// keep the class that they came with. On an error nothing has changed.
type ReconfigurableDecider interface {
	UpdateClasses(now float64, classes []policy.Class, attempts int) error
}

// keySet is the set of the keys in a configuration, by their paths; what holds for all elements of a list has its path
// with [] in place of a number.
type keySet map[string]bool

// openEndedKeys are lists and objects whose keys may come and go.
var openEndedKeys = map[string]bool{"known": true}

// parseKeySet reads the shape of a configuration.
func parseKeySet(text []byte) (keySet, error) {
	var v any
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, err
	}
	s := keySet{}
	s.add("", v)
	return s, nil
}

func (s keySet) add(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			p := path + "." + k
			if path == "" {
				p = k
			}
			s[p] = true
			if !openEndedKeys[p] {
				s.add(p, e)
			}
		}
	case []any:
		var all keySet
		for _, e := range v {
			one := keySet{}
			one.add(path+"[]", e)
			if all == nil {
				all = one
			}
			maps.DeleteFunc(all, func(k string, _ bool) bool { return !one[k] })
		}
		maps.Copy(s, all)
	}
}

// CheckReload tells what is wrong with a configuration that was read again, beside one that holds: a key that has gone, or a
// figure that no request can be served by.
func (c Config) CheckReload(from Config) error {
	missing := slices.DeleteFunc(slices.Sorted(maps.Keys(from.keys)), func(k string) bool { return c.keys[k] })
	if len(missing) > 0 {
		return fmt.Errorf("%s is missing", strconv.Quote(missing[0]))
	}
	if c.Settings.MaxAttempts <= 0 {
		return fmt.Errorf("settings: limits.maxAttempts is %d", c.Settings.MaxAttempts)
	}
	seen := map[string]bool{}
	for _, k := range c.Settings.Classes {
		if !(k.DeadlineS > 0) || !(k.LatencyObjectiveS > 0) || k.Name == "" || seen[k.Name] {
			return fmt.Errorf("settings: class %q: a name of its own, a deadline and an aim above 0 are needed", k.Name)
		}
		seen[k.Name] = true
	}
	if len(c.Settings.Classes) == 0 {
		return fmt.Errorf("settings: no classes")
	}
	return nil
}

// applySettings takes the classes and the attempts allowed of a configuration, all or nothing. Loop only.
func (in *Ingress) applySettings(cfg Config) error {
	if slices.Equal(cfg.Settings.Classes, in.classes) && cfg.Settings.MaxAttempts == in.maxAttempts {
		return nil
	}
	decider, ok := in.decider.(ReconfigurableDecider)
	if !ok {
		in.log.Warn("classes and attempts are not taken over by this program before a restart")
		return nil
	}
	if err := decider.UpdateClasses(in.now, cfg.Settings.Classes, cfg.Settings.MaxAttempts); err != nil {
		return err
	}
	in.classes, in.maxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	words := in.cfg.Settings.Settings
	words.Classes = in.classes
	in.vocabulary.Store(newVocabulary(words))
	var names []string
	for _, c := range in.classes {
		names = append(names, c.Name)
	}
	in.log.Info("settings taken over", "classes", names, "attempts", in.maxAttempts)
	return nil
}
