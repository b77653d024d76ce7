package entry

import (
	"math/rand/v2"
	"time"

	"github.com/dottereldeal/dottereldeal/limit"
	"github.com/dottereldeal/dottereldeal/pool"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// maxConnectDelay is the longest delay after which an entry connects to a new holder. The
// holder accepts a connection of every entry; if all came with the first requests, those
// would wait behind them.
const maxConnectDelay = 2500 * time.Millisecond

// connectToHolder opens the link to a VM that has become the holder of a lease, ahead of the
// first request that needs it.
func (e *Entry) connectToHolder(lease, vm string) {
	if !e.usesLease(lease) {
		return
	}
	e.options.Clock.After(rand.N(maxConnectDelay), func(time.Time) {
		e.link.Send(vm, &wire.Envelope{}) // any message opens the link
	})
}

// usesLease reports whether requests to this VM are likely to ask the holder of a lease: that
// of a shard with workspaces, or of a cell in this data centre.
func (e *Entry) usesLease(lease string) bool {
	if limit.IsShard(lease) {
		return e.shardsInUse()[lease]
	}
	dataCentre := pool.LeaseDataCentre(lease)
	return dataCentre == "" || dataCentre == e.options.DataCentre
}

// shardsInUse returns the leases of the shards that have workspaces with a rate.
func (e *Entry) shardsInUse() map[string]bool {
	shards := make(map[string]bool)
	for _, w := range state.List[state.Workspace](e.State()) {
		if !w.Unlimited {
			shards[limit.ShardOf(w.Name)] = true
		}
	}
	return shards
}
