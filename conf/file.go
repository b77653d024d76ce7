package conf

import (
	"bytes"
	"strconv"
	"strings"
)

// fileFlag names the flag of the settings file.
const fileFlag = "config"

// fileSetting is one line of a settings file.
type fileSetting struct {
	text  string
	place string
}

// parseFile reads lines of the form "name = value". Names are those of the flags
// without the dashes. Empty lines, lines that start with "#" and settings without
// a value are left out.
func (s *Set) parseFile(path string, data []byte) map[string]fileSetting {
	known := make(map[string]bool, len(s.values))
	for _, v := range s.values {
		known[v.name] = true
	}
	settings := make(map[string]fileSetting)
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		place := path + ":" + strconv.Itoa(i+1)
		name, text, ok := strings.Cut(line, "=")
		name, text = strings.TrimSpace(name), strings.TrimSpace(text)
		switch {
		case !ok:
			s.found.Add(place, "%q is not NAME = VALUE", line)
		case !known[name] || name == fileFlag:
			s.found.Add(place, "setting %q does not exist", name)
		case text == "":
		default:
			if _, twice := settings[name]; twice {
				s.found.Add(place, "setting %q is given twice", name)
			}
			settings[name] = fileSetting{text: text, place: place}
		}
	}
	return settings
}

// readFile reads the settings file, if one is named.
func (s *Set) readFile() map[string]fileSetting {
	path := s.FilePath()
	if path == "" {
		return nil
	}
	data, err := s.options.ReadFile(path)
	if err != nil {
		s.found.Add("--"+fileFlag, "%s", err)
		return nil
	}
	s.content = data
	return s.parseFile(path, data)
}

// FilePath returns the path of the settings file, or the empty string.
func (s *Set) FilePath() string {
	if s.file.place == "" {
		if text, ok := s.options.LookupEnv(EnvName(fileFlag)); ok {
			return text
		}
	}
	return s.file.text
}

// Reload reads the settings file again and returns the text of every setting that
// differs from what was read before; an empty text means that its line is gone.
// The values of the settings stay as they are: whoever can follow a change does.
func (s *Set) Reload() (map[string]string, error) {
	s.found = nil
	before, content := s.lines, s.content
	after := s.readFile()
	if err := s.found.Err(); err != nil {
		s.content = content
		return nil, err
	}
	changed := make(map[string]string)
	for name, line := range after {
		if before[name].text != line.text {
			changed[name] = line.text
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			changed[name] = ""
		}
	}
	s.lines = after
	return changed, nil
}

// FileChanged reports whether the settings file differs from what Parse read. A file
// that cannot be read counts as unchanged: it is being replaced.
func (s *Set) FileChanged() bool {
	path := s.FilePath()
	if path == "" {
		return false
	}
	data, err := s.options.ReadFile(path)
	return err == nil && !bytes.Equal(data, s.content)
}

// ReadFile sets the function that reads the settings file.
func ReadFile(f func(string) ([]byte, error)) Option { return func(o *Options) { o.ReadFile = f } }
