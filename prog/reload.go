package prog

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/conf"
)

// settingsPeriod is the time between two looks at the settings file.
const settingsPeriod = time.Second

// settingsWatch follows changes of the settings file while a process runs.
type settingsWatch struct {
	set *conf.Set
	// apply puts changed settings in force, as far as the process can.
	apply func(changed map[string]string) error
}

// look reads the settings file again if it has changed. A file with faults leaves
// the old settings in force.
func (w settingsWatch) look(logger *slog.Logger) {
	if !w.set.FileChanged() {
		return
	}
	changed, err := w.set.Reload()
	if err == nil {
		err = w.apply(changed)
	}
	names := slices.Sorted(maps.Keys(changed))
	if err != nil {
		logger.Error("settings file has faults, the old settings stay", "error", err)
		return
	}
	logger.Info("reload", "changed", names)
}
