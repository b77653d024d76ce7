package conf

import "os"

// Options holds the functions through which a Set reads its sources.
type Options struct {
	// LookupEnv returns the value of an environment variable and whether it is set.
	LookupEnv func(name string) (string, bool)
	// ReadFile returns the content of the settings file.
	ReadFile func(path string) ([]byte, error)
}

// Option sets a field of Options.
type Option func(*Options)

// LookupEnv sets the function that reads environment variables.
func LookupEnv(f func(string) (string, bool)) Option { return func(o *Options) { o.LookupEnv = f } }

func newOptions(opts ...Option) Options {
	o := Options{LookupEnv: os.LookupEnv, ReadFile: os.ReadFile}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// VarOption configures one setting.
type VarOption func(*value)

// Required makes Parse report a finding if the setting is not given.
func Required() VarOption { return func(v *value) { v.required = true } }

// Default sets the text that is used if the setting is not given.
func Default(text string) VarOption { return func(v *value) { v.defaultText = text } }
