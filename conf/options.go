package conf

import "os"

// Options holds the surroundings of a set of settings.
type Options struct {
	// LookupEnv reads an environment variable.
	LookupEnv func(name string) (string, bool)
	// ReadFile reads the settings file.
	ReadFile func(path string) ([]byte, error)
}

// Option changes one of the Options.
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

// VarOption changes how one setting is read.
type VarOption func(*value)

// Required makes the setting mandatory.
func Required() VarOption { return func(v *value) { v.required = true } }

// Default sets the text used when neither flag nor variable is given.
func Default(text string) VarOption { return func(v *value) { v.fallback = text } }
