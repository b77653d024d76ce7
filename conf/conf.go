// Package conf reads the settings of a process from flags, environment variables
// and a settings file. A flag named --data-folder has the environment variable
// DOTTERELDEAL_DATA_FOLDER and the line "data-folder = PATH" of the file that
// --config names. A flag overrides the variable, and the variable overrides the file.
// Parse reports all invalid settings at once, each with its source.
//
// # Usage
//
//	set := conf.New("entry")
//	vm := set.Name("vm", "name of this VM", conf.Required())
//	listen := set.Addr("listen", "IP:PORT of the links", conf.Required())
//	limit := set.Duration("drain-limit", "longest wait for running requests", conf.Default("30s"))
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

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "DOTTERELDEAL_"

// ErrHelp is returned by Parse if the arguments contain -h or --help.
var ErrHelp = flag.ErrHelp

// Set holds the settings of one subcommand.
type Set struct {
	name     string
	options  Options
	flags    *flag.FlagSet
	values   []*value
	findings check.Findings
	// fileValue is the flag that names the settings file, and fileContent the content
	// last read from it.
	fileValue   *value
	fileContent []byte
	// fileSettings are the settings of the file, by name.
	fileSettings map[string]fileSetting
}

// New returns a set for the named subcommand. Its only setting is --config.
func New(name string, opts ...Option) *Set {
	s := &Set{name: name, options: newOptions(opts...)}
	s.flags = flag.NewFlagSet(name, flag.ContinueOnError)
	s.flags.SetOutput(io.Discard)
	s.flags.Usage = func() {}
	Var(s, fileFlag, "settings file with lines NAME = VALUE", func(text string) (string, error) { return text, nil })
	s.fileValue = s.values[0]
	return s
}

// value is one setting. It implements flag.Value. Set only stores the text, so that
// an invalid value does not end the parsing of the command line.
type value struct {
	name        string
	usage       string
	defaultText string
	required    bool
	isBool      bool

	text   string
	source string
	parse  func(text string) error
}

// String implements flag.Value.
func (v *value) String() string { return v.text }

// Set implements flag.Value.
func (v *value) Set(text string) error {
	v.text = text
	v.source = "--" + v.name
	return nil
}

// IsBoolFlag reports to package flag whether the flag may be given without a value.
func (v *value) IsBoolFlag() bool { return v.isBool }

// Var adds a setting whose text is parsed by parse. The result points to the value,
// which is set by Parse.
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

// String adds a setting that accepts any text.
func (s *Set) String(name, usage string, opts ...VarOption) *string {
	return Var(s, name, usage, func(text string) (string, error) { return text, nil }, opts...)
}

// Name adds a setting that accepts a kebab-case name.
func (s *Set) Name(name, usage string, opts ...VarOption) *string {
	return Var(s, name, usage, ParseName, opts...)
}

// Bool adds a boolean setting.
func (s *Set) Bool(name, usage string, opts ...VarOption) *bool {
	return Var(s, name, usage, parseBool, opts...)
}

// Int adds a setting that accepts an integer of at least minimum.
func (s *Set) Int(name, usage string, minimum int, opts ...VarOption) *int {
	return Var(s, name, usage, func(text string) (int, error) { return parseInt(text, minimum) }, opts...)
}

// Duration adds a setting that accepts a positive duration such as 30s.
func (s *Set) Duration(name, usage string, opts ...VarOption) *time.Duration {
	return Var(s, name, usage, parseDuration, opts...)
}

// Addr adds a setting that accepts IP:PORT.
func (s *Set) Addr(name, usage string, opts ...VarOption) *netip.AddrPort {
	return Var(s, name, usage, parseAddr, opts...)
}

// Addrs adds a setting that accepts a comma-separated list of IP:PORT.
func (s *Set) Addrs(name, usage string, opts ...VarOption) *[]netip.AddrPort {
	return Var(s, name, usage, ParseAddrs, opts...)
}

// Peers adds a setting that accepts a comma-separated list of NAME=IP:PORT.
func (s *Set) Peers(name, usage string, opts ...VarOption) *Peers {
	return Var(s, name, usage, parsePeers, opts...)
}

// Arg returns the i-th positional argument, or an empty string if there is none.
func (s *Set) Arg(i int) string { return s.flags.Arg(i) }

// NArg returns the number of positional arguments.
func (s *Set) NArg() int { return s.flags.NArg() }

// AddFinding adds a finding of the caller to those that Findings returns.
func (s *Set) AddFinding(location, format string, args ...any) {
	s.findings.Add(location, format, args...)
}

// Findings returns all findings as an error, or nil if there are none.
func (s *Set) Findings() error { return s.findings.Err() }

// Parse reads the settings from args, the environment and the settings file. The error
// is ErrHelp or the check.Findings with all invalid settings.
func (s *Set) Parse(args []string) error {
	for {
		err := s.flags.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return ErrHelp
		}
		if err == nil {
			break
		}
		s.findings.Add("command line", "%s", err)
		args = s.flags.Args()
	}
	s.fileSettings = s.readFile()
	for _, v := range s.values {
		s.resolve(v)
	}
	return s.findings.Err()
}

// resolve takes the text from the flag, the environment, the settings file or the
// default, in this order, and parses it.
func (s *Set) resolve(v *value) {
	if v.source == "" {
		if text, ok := s.options.LookupEnv(EnvName(v.name)); ok {
			v.text, v.source = text, EnvName(v.name)
		}
	}
	if setting, ok := s.fileSettings[v.name]; ok && v.source == "" {
		v.text, v.source = setting.text, setting.location
	}
	if v.source == "" && v.required {
		s.findings.Add("--"+v.name, "is required (or %s)", EnvName(v.name))
		return
	}
	if v.source == "" {
		v.text, v.source = v.defaultText, "--"+v.name
		if v.text == "" {
			return
		}
	}
	if err := v.parse(v.text); err != nil {
		s.findings.Add(v.source, "%s", err)
	}
}

// Usage writes a line for each setting to w.
func (s *Set) Usage(w io.Writer) {
	for _, v := range s.values {
		attributes := []string{EnvName(v.name)}
		if v.required {
			attributes = append(attributes, "required")
		}
		if v.defaultText != "" {
			attributes = append(attributes, "default "+v.defaultText)
		}
		fmt.Fprintf(w, "  --%-26s %s (%s)\n", v.name, v.usage, strings.Join(attributes, ", "))
	}
}

// EnvName returns the name of the environment variable for a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}
