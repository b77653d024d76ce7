package prog

import (
	"context"
	"fmt"
	"time"

	"github.com/dottereldeal/dottereldeal/conf"
)

// demoLimit bounds the whole demonstration.
const demoLimit = 20 * time.Second

func demoCommand(*conf.Set) runner {
	return func(_ *conf.Set, s streams) int {
		ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
		defer cancel()
		d := &demo{out: s.out, started: time.Now()}
		defer d.stop()
		if err := d.run(ctx); err != nil {
			fmt.Fprintln(s.err, "demo:", err)
			return exitFailed
		}
		if d.broken > 0 {
			fmt.Fprintf(s.err, "demo: %d promises were broken\n", d.broken)
			return exitFailed
		}
		return exitOK
	}
}
