package analyse

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/policy"
)

// testFile returns the trace of one gateway. Its plan has a rate of 2 units per second, a burst of 4 and weight 1.5; its class has
// weight 3.
func testFile(name string, gateway int, list ...reason.Decision) *trace.File {
	return &trace.File{
		Header: trace.Header{
			Name: name, Gateway: gateway,
			Plans:   []policy.Plan{{Name: "p", Rate: 2, Burst: 4, Weight: 1.5, HardLimitRate: 4, HardLimitBurst: 8}},
			Classes: []policy.Class{{Name: "c", PriorityWeight: 3}},
		},
		Decisions: list,
	}
}

func decision(at float64, step reason.Step, why reason.Reason, id string, units float64) reason.Decision {
	return reason.Decision{At: at, Step: step, Reason: why, ID: id, Account: 7, Plan: "p", Class: "c", Units: units}
}

func sent(at float64, id string, units float64) reason.Decision {
	return decision(at, reason.StepSent, reason.None, id, units)
}

func rejected(at float64, why reason.Reason, id string, units float64) reason.Decision {
	return decision(at, reason.StepRejected, why, id, units)
}

// threeRejections returns a run of two gateways: n0 rejects x and y, n1 rejects z.
func threeRejections() *Run {
	retry := sent(0.2, "a", 3)
	retry.Attempt = 1
	return Join([]*trace.File{
		testFile("n0", 0, sent(0, "a", 3), retry, rejected(0.5, reason.HardLimitLocal, "x", 2), rejected(1, reason.WindowExhausted, "y", 2)),
		testFile("n1", 1, rejected(0.25, reason.Denied, "z", 1), sent(0.4, "b", 1)),
	})
}

// Only first attempts take units from the replayed window, and those of all gateways do. Retries and rejections take nothing.
func TestJoin_WindowFreeCountsAllGateways(t *testing.T) {
	want := map[string]struct {
		free float64
		fits bool
	}{"z": {1.5, true}, "x": {1, false}, "y": {2, true}}
	for _, r := range threeRejections().Records {
		w, ok := want[r.ID]
		if !ok {
			continue
		}
		delete(want, r.ID)
		if math.Abs(r.WindowFree-w.free) > 1e-9 || r.Fits() != w.fits {
			t.Errorf("record %s: %v units free, fits %v; want %+v", r.ID, r.WindowFree, r.Fits(), w)
		}
	}
	if len(want) > 0 {
		t.Errorf("the run has no records for %v", want)
	}
}

// A first attempt with more units than the window has takes nothing from the window, but takes its units from the hard limit.
func TestJoin_AttemptsBeyondTheQuota(t *testing.T) {
	run := Join([]*trace.File{testFile("n0", 0, sent(0, "a", 4), sent(0, "b", 4), rejected(0.5, reason.WindowExhausted, "x", 1),
		rejected(1, reason.WindowExhausted, "y", 2), sent(1, "d", 4), rejected(1.0, reason.HardLimitExhausted, "v", 1))})
	for _, r := range run.Records {
		switch r.ID {
		case "x":
			if r.WindowFree != 1 || !r.WithinHardLimit || !r.Fits() {
				t.Errorf("record x: got %+v, want 1 unit free, within the hard limit and fitting", r)
			}
		case "v":
			if r.WithinHardLimit || r.Fits() || r.WindowFree != 2 {
				t.Errorf("record v: got %+v, want 2 units free, beyond the hard limit and not fitting", r)
			}
		}
	}
}

func TestRun_SumBy(t *testing.T) {
	rows := threeRejections().SumBy(RejectedOrFailed, Keys["reason"])
	if len(rows) != 3 || rows[0].Key != "own-room" || rows[0].FittingValue != 2*3*1.5 || rows[1].Key != "denied" || rows[2].Fitting != 0 {
		t.Errorf("got rows %+v; want 3: own-room with a fitting value of 9, then denied, then one without fitting records", rows)
	}
	var b bytes.Buffer
	if err := PrintTable(&b, "reason", rows); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(lines) != 5 || !strings.HasPrefix(strings.TrimSpace(lines[4]), "all") {
		t.Errorf("got table:\n%swant a header, three rows and their sum", b.String())
	}
}

func TestRun_WriteCSV(t *testing.T) {
	var b bytes.Buffer
	if err := threeRejections().WriteCSV(&b, RejectedOrFailed); err != nil {
		t.Fatal(err)
	}
	const want = `at,gateway,step,reason,id,account,plan,class,units,later,left,aim,latency,owner,prime,room,age,mine,others,ceiling,pool,out,most,attempt,server,status,from,free,fits
0.2500,n1,refuse,denied,z,00000007,p,c,1.0000,false,0.0000,0.0000,0.0000,0,0,0.0000,0.0000,0.0000,0.0000,0.0000,0.0000,0,0.0000,0,,0,0,1.5000,true
0.5000,n0,refuse,ceiling-part,x,00000007,p,c,2.0000,false,0.0000,0.0000,0.0000,0,0,0.0000,0.0000,0.0000,0.0000,0.0000,0.0000,0,0.0000,0,,0,0,1.0000,false
1.0000,n0,refuse,own-room,y,00000007,p,c,2.0000,false,0.0000,0.0000,0.0000,0,0,0.0000,0.0000,0.0000,0.0000,0.0000,0.0000,0,0.0000,0,,0,0,2.0000,true
`
	if b.String() != want {
		t.Errorf("got CSV:\n%swant:\n%s", b.String(), want)
	}
}
