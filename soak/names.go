package soak

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"text/template"
)

// The platform's names stand in names.json and the templates, because Go files outside package
// platform do not use them.

//go:embed names.json
var namesJSON []byte

//go:embed config.tmpl
var configText string

//go:embed heartbeat.tmpl
var heartbeatText string

var (
	names             = decodeNames(namesJSON)
	configTemplate    = template.Must(template.New("config").Parse(configText))
	heartbeatTemplate = template.Must(template.New("heartbeat").Parse(heartbeatText))
)

// platformNames are the calls, headers and settings of the users' platform.
type platformNames struct {
	Configure     string `json:"configure"`
	Evacuate      string `json:"evacuate"`
	TakeBack      string `json:"take-back"`
	Heartbeat     string `json:"heartbeat"`
	RequestID     string `json:"request-id"`
	Deadline      string `json:"deadline"`
	Proof         string `json:"proof"`
	Expected      string `json:"expected"`
	Instance      string `json:"instance"`
	Authorization string `json:"authorization"`
	Bounds        string `json:"bounds"`
}

func decodeNames(data []byte) platformNames {
	var n platformNames
	if err := json.Unmarshal(data, &n); err != nil {
		panic(err)
	}
	return n
}

// render fills in one of the embedded templates; they fail for no input of this package.
func render(t *template.Template, data any) []byte {
	var b bytes.Buffer
	if err := t.Execute(&b, data); err != nil {
		panic(err)
	}
	return b.Bytes()
}
