package conf

import (
	"bytes"
	"strconv"
	"strings"
)

// fileFlag is the name of the flag for the settings file.
const fileFlag = "config"

// fileSetting is one setting of the settings file.
type fileSetting struct {
	text     string
	location string
}

// parseFile parses lines of the form "name = value", where a name is that of a flag
// without the leading dashes. Empty lines, lines that start with "#" and settings
// without a value are skipped.
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
		location := path + ":" + strconv.Itoa(i+1)
		name, text, ok := strings.Cut(line, "=")
		name, text = strings.TrimSpace(name), strings.TrimSpace(text)
		switch {
		case !ok:
			s.findings.Add(location, "%q is not NAME = VALUE", line)
		case !known[name] || name == fileFlag:
			s.findings.Add(location, "setting %q does not exist", name)
		case text == "":
		default:
			if _, duplicate := settings[name]; duplicate {
				s.findings.Add(location, "setting %q is given twice", name)
			}
			settings[name] = fileSetting{text: text, location: location}
		}
	}
	return settings
}

// readFile reads and parses the settings file. It returns nil if none is named or it
// cannot be read.
func (s *Set) readFile() map[string]fileSetting {
	path := s.FilePath()
	if path == "" {
		return nil
	}
	data, err := s.options.ReadFile(path)
	if err != nil {
		s.findings.Add("--"+fileFlag, "%s", err)
		return nil
	}
	s.fileContent = data
	return s.parseFile(path, data)
}

// FilePath returns the path of the settings file, or an empty string if none is named.
func (s *Set) FilePath() string {
	if s.fileValue.source == "" {
		if text, ok := s.options.LookupEnv(EnvName(fileFlag)); ok {
			return text
		}
	}
	return s.fileValue.text
}

// Reload reads the settings file again and returns the text of every setting whose
// line changed; the text is empty if the line was removed. It does not update the
// values returned by the methods of Set: the caller applies the changes that it can.
func (s *Set) Reload() (map[string]string, error) {
	s.findings = nil
	previous, content := s.fileSettings, s.fileContent
	current := s.readFile()
	if err := s.findings.Err(); err != nil {
		s.fileContent = content
		return nil, err
	}
	changed := make(map[string]string)
	for name, setting := range current {
		if previous[name].text != setting.text {
			changed[name] = setting.text
		}
	}
	for name := range previous {
		if _, ok := current[name]; !ok {
			changed[name] = ""
		}
	}
	s.fileSettings = current
	return changed, nil
}

// FileChanged reports whether the content of the settings file differs from the last
// one read. A file that cannot be read counts as unchanged, because it may be in the
// middle of a replacement.
func (s *Set) FileChanged() bool {
	path := s.FilePath()
	if path == "" {
		return false
	}
	data, err := s.options.ReadFile(path)
	return err == nil && !bytes.Equal(data, s.fileContent)
}

// ReadFile sets the function that reads the settings file.
func ReadFile(f func(string) ([]byte, error)) Option { return func(o *Options) { o.ReadFile = f } }
