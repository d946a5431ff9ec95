package testbed

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// misbehavingAccount is the account of the complete requests that misbehaving clients send.
const misbehavingAccount = "00000001fffffff0"

// misbehave sends invalid input about five times a second: half a command, garbage, unknown commands, a dozen idle connections, or
// a request with the id of another account's open request. Each connection lasts 3 s at most.
func (c *Clients) misbehave(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Duration(100+rng.IntN(200)) * time.Millisecond):
		case <-ctx.Done():
			return
		}
		f := rng.IntN(len(c.front.addrs))
		dial := func() net.Conn {
			conn, err := net.DialTimeout("tcp", c.front.Addr(f), time.Second)
			if err != nil {
				return nil
			}
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			return conn
		}
		send := func(text string) {
			if conn := dial(); conn != nil {
				_, _ = io.WriteString(conn, text)
				c.wg.Add(1)
				go func() {
					defer c.wg.Done()
					_, _ = io.Copy(io.Discard, conn)
					conn.Close()
				}()
			}
		}
		switch rng.IntN(5) {
		case 0:
			send("*5\r\n$9\r\nCALL.POST\r\n$16\r\n0000")
		case 1:
			send(strings.Repeat("\x00junk\r\n", 20))
		case 2:
			send(strings.Repeat("*1\r\n$4\r\nWHAT\r\n", 20))
		case 3:
			for range 12 {
				send("")
			}
		case 4:
			c.mu.Lock()
			last := c.lastRequest
			c.mu.Unlock()
			if last != nil && last.Account != misbehavingAccount && c.hist.HasResult(last, oracle.Pending) {
				a := Account{Name: misbehavingAccount, Plan: last.Plan, First: last.Forwarder, Spread: 1}
				c.wg.Add(1)
				go func() {
					defer c.wg.Done()
					c.sendRequest(a, c.cfg.Classes[0], last.Forwarder, last.ID, last.ID+"-rude", "", seconds(c.cfg.Classes[0].DeadlineS))
				}()
			}
		}
	}
}
