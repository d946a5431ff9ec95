package ingressconfig

import (
	"strings"
	"testing"
)

const goodConfig = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946",
"peers":["127.0.1.1:7946","127.0.1.2:7946"],"peers_all":"127.0.1.255:7946",
"known":{"version":41,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"in_service"}]},
"settings":{"balancers":2,"limits":{"peerMessages":true,"dialTimeoutS":0.25,"connIdleS":15}}}`

func TestParse(t *testing.T) {
	c, err := parse([]byte(goodConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || len(c.Peers) != 2 || c.MaxDescriptors != 1024 || !c.InitialEndpoints.Full || c.InitialEndpoints.Version != 41 {
		t.Errorf("got %+v, want seed 8c1f30d27a5be964, 2 peers, 1024 descriptors and a full list of version 41", c)
	}
	for want, change := range map[string][2]string{
		"unexpected end":          {goodConfig, "{"},
		"listen: ":                {"127.0.0.1:6379", "nowhere"},
		"discovery: ":             {"127.0.0.1:8500", ""},
		"seed: ":                  {"8c1f30d27a5be964", "seed"},
		"2 addresses given for 3": {`"balancers":2`, `"balancers":3`},
		"peers: number 1":         {"127.0.1.2:7946", "x"},
		"peers_all: ":             {"127.0.1.255:7946", "x"},
		"peer_listen: ":           {`"peer_listen":"127.0.0.1:7946"`, `"peer_listen":""`},
		"known: endpoint":         {"in_service", "resting"},
		"dialTimeoutS":            {"0.25", "0"},
		"settings are missing":    {`"settings"`, `"set"`},
	} {
		if _, err := parse([]byte(strings.Replace(goodConfig, change[0], change[1], 1))); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%q replaced by %q: got error %v, want one with %q", change[0], change[1], err, want)
		}
	}
}
