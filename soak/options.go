package soak

import "io"

// Options holds the settings of a run.
type Options struct {
	// Binary is the program under test.
	Binary string
	// Old is the program that runs at first in a mix, or "".
	Old string
	// Shape is the number of processes.
	Shape Shape
	// Keep is the folder for what a failed run leaves, or "".
	Keep string
	// Progress receives lines for people.
	Progress io.Writer
}

// Option sets one field of Options.
type Option func(*Options)

// Binary sets the program under test.
func Binary(path string) Option { return func(o *Options) { o.Binary = path } }

// Old sets the program that runs at first in a mix.
func Old(path string) Option { return func(o *Options) { o.Old = path } }

// Processes sets the number of processes.
func Processes(s Shape) Option { return func(o *Options) { o.Shape = s } }

// Keep sets the folder for what a failed run leaves.
func Keep(dir string) Option { return func(o *Options) { o.Keep = dir } }

// Progress sets the receiver of lines for people.
func Progress(w io.Writer) Option { return func(o *Options) { o.Progress = w } }

func newOptions(opts ...Option) Options {
	o := Options{Shape: Shape{Controls: 5, Entries: 9}, Progress: io.Discard}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
