package ingressconfig

import (
	"encoding/json"
	"maps"
)

// keySet is the set of the keys in a configuration, by their paths. For a list, only the keys that all its elements have are included, once
// each, with [] in place of the index: settings.profiles[].deadlineS.
type keySet map[string]bool

// openEndedKeys are paths of lists and objects whose keys may differ from one configuration to the next, and are not in the set.
var openEndedKeys = map[string]bool{"known": true}

// parseKeySet returns the keys of a configuration in JSON.
func parseKeySet(text []byte) (keySet, error) {
	var v any
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, err
	}
	s := keySet{}
	s.add("", v)
	return s, nil
}

// add adds the keys of the value v at path.
func (s keySet) add(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, element := range v {
			p := path + "." + key
			if path == "" {
				p = key
			}
			s[p] = true
			if !openEndedKeys[p] {
				s.add(p, element)
			}
		}
	case []any:
		var common keySet
		for _, element := range v {
			keys := keySet{}
			keys.add(path+"[]", element)
			if common == nil {
				common = keys
			}
			maps.DeleteFunc(common, func(k string, _ bool) bool { return !keys[k] })
		}
		maps.Copy(s, common)
	}
}
