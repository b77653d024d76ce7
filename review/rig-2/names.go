package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the users' pages stand in names.json and config.json: the project's Go files use them in
// package platform only.

//go:embed names.json
var namesJSON []byte

// configuration has a safe and an unsafe route to one service.
//
//go:embed config.json
var configuration []byte

// names are the calls, headers and fields of the users' pages that the stand-ins use.
var names = mustDecode(namesJSON)

type pageNames struct {
	Configure  string `json:"configure"`
	Heartbeat  string `json:"heartbeat"`
	RequestID  string `json:"request-id"`
	Deadline   string `json:"deadline"`
	Seal       string `json:"seal"`
	NotRun     string `json:"not-run"`
	Expected   string `json:"expected"`
	Instance   string `json:"instance"`
	WarmupLeft string `json:"warmup-left"`
}

func mustDecode(data []byte) pageNames {
	var n pageNames
	if err := json.Unmarshal(data, &n); err != nil {
		panic(err)
	}
	return n
}
