package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// logf writes a line with the time since the start.
func (r *record) logf(format string, args ...any) {
	r.logAt(time.Now(), format, args...)
}

func (r *record) logAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the time of an event in the record.
func (r *record) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

func getJSON(client *http.Client, url string, into any) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}
