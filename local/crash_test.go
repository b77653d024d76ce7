package local_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/pool"
)

// One request crashed server after server, because each copy of it was new to each entry.
func TestRequestThatCrashesServersIsQuarantinedOnAllEntries(t *testing.T) {
	for _, placement := range []pool.PlacementMode{pool.PlacementHolder, pool.PlacementLocal} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(fmt.Sprint(placement, method), func(t *testing.T) { testCrashingRequest(t, placement, method) })
		}
	}
}

// Guards against a request that goes on crashing servers because its body, which comes after its
// head, is not known when a server is chosen (BUDGET).
func TestCrashingRequestIsQuarantinedThoughItsBodyComesLate(t *testing.T) {
	for _, placement := range []pool.PlacementMode{pool.PlacementHolder, pool.PlacementLocal} {
		t.Run(string(placement), func(t *testing.T) { testLateCrashingBody(t, placement) })
	}
}

func testLateCrashingBody(t *testing.T, placement pool.PlacementMode) {
	is := is.New(t)
	f, err := local.Start(local.Controls(1), local.Entries(3, "d1"), local.Folder(t.TempDir()), local.EntryOptions(entry.Placement(placement)))
	is.NoErr(err)
	s := startPool(t, f, 12)
	const path = "/once/deadly"
	send := func(i int, text string) *http.Response {
		reader, writer := io.Pipe()
		go func() {
			time.Sleep(100 * time.Millisecond)
			io.WriteString(writer, strings.Repeat(text, 6000))
			writer.Close()
		}()
		request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, f.Entries[i%3].Callers+path, reader)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer key-east")
		response, err := s.client.Do(request)
		is.NoErr(err)
		response.Body.Close()
		return response
	}
	for _, server := range s.servers {
		server.SetFault(fake.Fault{CrashPath: path})
	}
	refused := 0
	for i := range 12 {
		response := send(i, "licence scan ")
		if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Dottereldeal-Outcome") == "not-run" {
			refused++
		}
		time.Sleep(150 * time.Millisecond) // local choices are reported ten times a second
	}
	crashed := 0
	for _, server := range s.servers {
		if server.Crashed() {
			crashed++
		}
		server.SetFault(fake.Fault{})
	}
	is.True(refused >= 8)
	is.True(crashed <= 3) // the rule allows the third crash
	is.Equal(send(0, "licence scan ").StatusCode, http.StatusServiceUnavailable)
	is.Equal(send(0, "payslip ").StatusCode, http.StatusOK) // another upload on the same path
}

func testCrashingRequest(t *testing.T, placement pool.PlacementMode, method string) {
	is := is.New(t)
	f, err := local.Start(local.Controls(1), local.Entries(3, "d1"), local.Folder(t.TempDir()), local.EntryOptions(entry.Placement(placement)))
	is.NoErr(err)
	s := startPool(t, f, 12)
	path := "/deadly"
	if method == http.MethodPost {
		path = "/once/deadly"
	}
	for _, server := range s.servers {
		server.SetFault(fake.Fault{CrashPath: path})
	}
	refused := 0
	for i := range 20 {
		request, err := http.NewRequestWithContext(s.ctx, method, f.Entries[i%3].Callers+path, nil)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer key-east")
		response, err := s.client.Do(request)
		is.NoErr(err)
		response.Body.Close()
		if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Dottereldeal-Outcome") == "not-run" {
			refused++
			is.True(response.Header.Get("Retry-After") != "")
		}
		time.Sleep(150 * time.Millisecond) // local choices are reported ten times a second
	}
	crashed := 0
	for _, server := range s.servers {
		if server.Crashed() {
			crashed++
		}
	}
	is.True(refused >= 15)
	is.True(crashed <= 3) // the rule allows the third crash; two are enough where one holder places all
	is.NoErr(s.expectStatus(http.StatusOK, "e1", method, "/once/well", "key-east"))

	// An operator lists the request and releases it.
	var listed []struct {
		Print   string   `json:"print"`
		Request string   `json:"request"`
		Servers []string `json:"backend-servers"`
		Left    float64  `json:"left-seconds"`
	}
	response, err := http.Get(f.Entries[0].Admin + "/v1/quarantine")
	is.NoErr(err)
	is.NoErr(json.NewDecoder(response.Body).Decode(&listed))
	response.Body.Close()
	is.True(len(listed) > 0)
	is.Equal(listed[0].Request, method+" "+path)
	is.True(listed[0].Left > 0)
	release, err := http.NewRequest(http.MethodDelete, f.Entries[0].Admin+"/v1/quarantine/"+listed[0].Print, nil)
	is.NoErr(err)
	response, err = http.DefaultClient.Do(release)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusNoContent)
	for _, server := range s.servers {
		server.SetFault(fake.Fault{})
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if err = s.expectStatus(http.StatusOK, "e2", method, path, "key-east"); err == nil || time.Now().After(end) {
			break
		}
	}
	is.NoErr(err)
}
