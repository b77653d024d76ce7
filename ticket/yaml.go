package ticket

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/state"
)

// fields calls the function of each field of a mapping. Unknown and duplicate fields
// are findings.
func (p *parser) fields(n *yaml.Node, known map[string]func(*yaml.Node)) {
	if n.Kind != yaml.MappingNode {
		p.add(n, "expected fields, found %s", describe(n))
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		read, ok := known[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !ok:
			p.add(key, "field %q is unknown; known are %s", key.Value, names(known))
		case seen[key.Value]:
			p.add(key, "duplicate field %q", key.Value)
		default:
			seen[key.Value] = true
			read(value)
		}
	}
}

func names(known map[string]func(*yaml.Node)) string {
	list := make([]string, 0, len(known))
	for name := range known {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// each calls read for every item of a list.
func (p *parser) each(n *yaml.Node, read func(*yaml.Node)) {
	if n.Kind != yaml.SequenceNode {
		p.add(n, "expected a list, found %s", describe(n))
		return
	}
	for _, item := range n.Content {
		read(item)
	}
}

// text returns the value of a scalar as text.
func (p *parser) text(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		p.add(n, "expected a scalar value, found %s", describe(n))
		return ""
	}
	return n.Value
}

func (p *parser) name(n *yaml.Node) string {
	name, err := conf.ParseName(p.text(n))
	if err != nil {
		p.add(n, "%s", err)
	}
	return name
}

func (p *parser) names(n *yaml.Node) []string {
	var list []string
	p.each(n, func(v *yaml.Node) {
		name := p.name(v)
		if slices.Contains(list, name) {
			p.add(v, "%q is listed twice", name)
			return
		}
		list = append(list, name)
	})
	return list
}

func (p *parser) boolean(n *yaml.Node) bool {
	switch text := p.text(n); text {
	case "true":
		return true
	case "false":
		return false
	default:
		p.add(n, "%q must be true or false", text)
		return false
	}
}

func (p *parser) integer(n *yaml.Node, lowest, highest uint64) uint64 {
	text := p.text(n)
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v < lowest || v > highest {
		p.add(n, "%q is not a whole number from %d to %d", text, lowest, highest)
		return lowest
	}
	return v
}

// decimal parses a number from lowest to highest. It returns -1 if the number is invalid.
func (p *parser) decimal(n *yaml.Node, lowest, highest float64) float64 {
	text := p.text(n)
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || v < lowest || v > highest {
		p.add(n, "%q is not a number from %g to %g", text, lowest, highest)
		return -1
	}
	return v
}

func (p *parser) duration(n *yaml.Node, highest time.Duration) state.Duration {
	text := p.text(n)
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > highest {
		p.add(n, "%q is not a duration up to %s, such as 3s", text, highest)
		return state.Duration(highest)
	}
	return state.Duration(d)
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "fields"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias, which is not supported in tickets"
	default:
		return strconv.Quote(n.Value)
	}
}
