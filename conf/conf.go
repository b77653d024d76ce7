// Package conf reads the settings of a process from flags, environment variables
// and a settings file. A flag named --data-folder has the environment variable
// DOTTERELDEAL_DATA_FOLDER and the line "data-folder = PATH" of the file that
// --config names. The flag wins over the variable, and the variable over the file.
// All faults in the settings are collected and reported together with their place.
//
// # Usage
//
//	set := conf.New("entry")
//	vm := set.Name("vm", "name of this VM", conf.Required())
//	listen := set.Addr("listen", "address of the links", conf.Required())
//	wait := set.Duration("drain-limit", "longest planned stop", conf.Default("30s"))
//	if err := set.Parse(os.Args[2:]); err != nil { ... }
package conf

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/check"
)

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "DOTTERELDEAL_"

// ErrHelp is returned by Parse when the arguments ask for help.
var ErrHelp = flag.ErrHelp

// Set is the settings of one subcommand.
type Set struct {
	name    string
	options Options
	flags   *flag.FlagSet
	values  []*value
	found   check.Findings
	// file is the flag of the settings file, and content what was read from it.
	file    *value
	content []byte
	// lines are the settings of the file.
	lines map[string]fileSetting
}

// New returns an empty set of settings for the named subcommand.
func New(name string, opts ...Option) *Set {
	s := &Set{name: name, options: newOptions(opts...)}
	s.flags = flag.NewFlagSet(name, flag.ContinueOnError)
	s.flags.SetOutput(io.Discard)
	s.flags.Usage = func() {}
	Var(s, fileFlag, "settings file with lines NAME = VALUE", func(text string) (string, error) { return text, nil })
	s.file = s.values[0]
	return s
}

// value is one setting. It implements flag.Value and only stores the text, so
// that parsing goes on after a bad value.
type value struct {
	name     string
	usage    string
	fallback string
	required bool
	isBool   bool

	text  string
	place string
	parse func(text string) error
}

// String returns the text of the setting.
func (v *value) String() string { return v.text }

// Set stores the text given by a flag.
func (v *value) Set(text string) error {
	v.text = text
	v.place = "--" + v.name
	return nil
}

// IsBoolFlag tells package flag that the value may be left out.
func (v *value) IsBoolFlag() bool { return v.isBool }

// Var adds a setting whose text is read by parse, and returns a pointer to its value.
func Var[T any](s *Set, name, usage string, parse func(text string) (T, error), opts ...VarOption) *T {
	result := new(T)
	v := &value{name: name, usage: usage}
	_, v.isBool = any(*result).(bool)
	for _, opt := range opts {
		opt(v)
	}
	v.parse = func(text string) error {
		parsed, err := parse(text)
		if err != nil {
			return err
		}
		*result = parsed
		return nil
	}
	s.values = append(s.values, v)
	s.flags.Var(v, name, usage)
	return result
}

// String adds a setting that takes any text.
func (s *Set) String(name, usage string, opts ...VarOption) *string {
	return Var(s, name, usage, func(text string) (string, error) { return text, nil }, opts...)
}

// Name adds a setting that takes a kebab-case name.
func (s *Set) Name(name, usage string, opts ...VarOption) *string {
	return Var(s, name, usage, ParseName, opts...)
}

// Bool adds a switch.
func (s *Set) Bool(name, usage string, opts ...VarOption) *bool {
	return Var(s, name, usage, parseBool, opts...)
}

// Int adds a setting that takes a whole number of at least least.
func (s *Set) Int(name, usage string, least int, opts ...VarOption) *int {
	return Var(s, name, usage, func(text string) (int, error) { return parseInt(text, least) }, opts...)
}

// Duration adds a setting that takes a positive duration such as 30s.
func (s *Set) Duration(name, usage string, opts ...VarOption) *time.Duration {
	return Var(s, name, usage, parseDuration, opts...)
}

// Addr adds a setting that takes IP:PORT.
func (s *Set) Addr(name, usage string, opts ...VarOption) *netip.AddrPort {
	return Var(s, name, usage, parseAddr, opts...)
}

// Addrs adds a setting that takes a comma-separated list of IP:PORT.
func (s *Set) Addrs(name, usage string, opts ...VarOption) *[]netip.AddrPort {
	return Var(s, name, usage, ParseAddrs, opts...)
}

// Peers adds a setting that takes a comma-separated list of NAME=IP:PORT.
func (s *Set) Peers(name, usage string, opts ...VarOption) *Peers {
	return Var(s, name, usage, parsePeers, opts...)
}

// Arg returns positional argument i after Parse, or the empty string.
func (s *Set) Arg(i int) string { return s.flags.Arg(i) }

// NArg returns the number of positional arguments.
func (s *Set) NArg() int { return s.flags.NArg() }

// AddFinding records a finding of the caller's own, to be returned by Parse's checks.
func (s *Set) AddFinding(place, format string, args ...any) { s.found.Add(place, format, args...) }

// Findings returns all faults found so far as an error, or nil.
func (s *Set) Findings() error { return s.found.Err() }

// Parse reads args and the environment. It returns check.Findings with every
// fault, or ErrHelp.
func (s *Set) Parse(args []string) error {
	for {
		err := s.flags.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return ErrHelp
		}
		if err == nil {
			break
		}
		s.found.Add("command line", "%s", err)
		args = s.flags.Args()
	}
	s.lines = s.readFile()
	for _, v := range s.values {
		s.resolve(v)
	}
	return s.found.Err()
}

// resolve takes the setting's text from flag, environment or default, and parses it.
func (s *Set) resolve(v *value) {
	if v.place == "" {
		if text, ok := s.options.LookupEnv(EnvName(v.name)); ok {
			v.text, v.place = text, EnvName(v.name)
		}
	}
	if line, ok := s.lines[v.name]; ok && v.place == "" {
		v.text, v.place = line.text, line.place
	}
	if v.place == "" && v.required {
		s.found.Add("--"+v.name, "is required (or %s)", EnvName(v.name))
		return
	}
	if v.place == "" {
		v.text, v.place = v.fallback, "--"+v.name
		if v.text == "" {
			return
		}
	}
	if err := v.parse(v.text); err != nil {
		s.found.Add(v.place, "%s", err)
	}
}

// Usage writes one line for each setting to w.
func (s *Set) Usage(w io.Writer) {
	for _, v := range s.values {
		notes := []string{EnvName(v.name)}
		if v.required {
			notes = append(notes, "required")
		}
		if v.fallback != "" {
			notes = append(notes, "default "+v.fallback)
		}
		fmt.Fprintf(w, "  --%-26s %s (%s)\n", v.name, v.usage, strings.Join(notes, ", "))
	}
}

// EnvName returns the environment variable of the named flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}
