package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the users' pages stand in names.json and config.json: in the project's Go files they may
// be used in package platform only.

//go:embed names.json
var namesJSON []byte

// config is a configuration with a route of each kind.
//
//go:embed config.json
var config string

// names are the calls, headers and fields of the users' pages that the stand-ins use.
var names = mustDecode(namesJSON)

type pageNames struct {
	Configure  string `json:"configure"`
	Evacuate   string `json:"evacuate"`
	TakeBack   string `json:"take-back"`
	Heartbeat  string `json:"heartbeat"`
	Deregister string `json:"deregister"`
	NotRun     string `json:"not-run"`
	Seal       string `json:"seal"`
	Expected   string `json:"expected"`
	Load       string `json:"load"`
	WarmupLeft string `json:"warmup-left"`
}

func mustDecode(data []byte) pageNames {
	var n pageNames
	if err := json.Unmarshal(data, &n); err != nil {
		panic(err)
	}
	return n
}
