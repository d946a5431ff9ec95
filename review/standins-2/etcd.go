package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// etcd is the project's stand-in for etcd, as a process.
type etcd struct {
	*process
	addr string
}

const etcdPrefix = "/eiderspread/rayon-nord/"

// agentCommand is the project's agent. build-2.sh does not build it, as it needs etcd's client: go build -o review/standins-2/bin/ ./cmd/membershipagent.
const agentCommand = "exec review/standins-2/bin/membershipagent "

func (r *rig) startEtcd() *etcd {
	e := &etcd{addr: freeAddr()}
	e.restart(r)
	return e
}

// restart starts a process that goes on from the file of the last one.
func (e *etcd) restart(r *rig) {
	e.process = r.start("etcd", fmt.Sprintf("%sstandin -listen %s -file %s", agentCommand, e.addr, filepath.Join(r.tmp, "etcd.file")))
}

// put writes one key by etcd's API (gRPC on HTTP/2, KV.Put).
func (e *etcd) put(key, value string) error { return e.kv("Put", key, value) }

// remove deletes one key (KV.DeleteRange).
func (e *etcd) remove(key string) error { return e.kv("DeleteRange", key, "") }

func (e *etcd) kv(method, key, value string) error {
	message := appendBytes(nil, 1, etcdPrefix+key)
	if method == "Put" {
		message = appendBytes(message, 2, value)
	}
	frame := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{Protocols: &protocols}}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.addr+"/etcdserverpb.KV/"+method, bytes.NewReader(append(frame, message...)))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/grpc")
	req.Header.Set("TE", "trailers")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if status := res.Trailer.Get("Grpc-Status") + res.Header.Get("Grpc-Status"); status != "0" {
		return fmt.Errorf("etcd: %s %s: status %q %s", method, key, status, res.Trailer.Get("Grpc-Message"))
	}
	e.rig.note("etcd: %s %s %s", method, key, value)
	return nil
}

func appendBytes(b []byte, field int, text string) []byte {
	b = binary.AppendUvarint(b, uint64(field)<<3|2)
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// node returns the value of a node's key.
func node(s server) string {
	text, err := json.Marshal(object{"addr": s.Addr, "zone": s.Zone, "cell": s.Cell, "weight": s.Weight, "started_ms": s.StartedMS})
	must(err)
	return string(text)
}

// startAgent starts the project's agent with the settings of deploy/etcd.toml. It serves its list at the address that it returns.
func (r *rig) startAgent(name, roster string, endpoints ...string) (*process, string) {
	listen := freeAddr()
	for i := range endpoints {
		endpoints[i] = fmt.Sprintf("%q", "http://"+endpoints[i])
	}
	text := fmt.Sprintf("listen = %q\nroster = %q\nendpoints = [%s]\nprefix = %q\nstate = %q\n", listen, roster, strings.Join(endpoints, ", "), etcdPrefix,
		filepath.Join(r.tmp, name+".state")) +
		"start_ms = 3000\nprogress_ms = 500\nstale_ms = 2000\nroster_stale_ms = 5000\norphan_ms = 10000\ntimeout_ms = 2000\nretry_ms = 2000\n" +
		"flap_ms = 60000\nflap_most_ms = 30000\n"
	path := filepath.Join(r.tmp, name+".toml")
	must(os.WriteFile(path, []byte(text), 0o600))
	return r.start(name, agentCommand+"run "+path), listen
}
