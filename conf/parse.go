package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxNameLength is the length limit of kebab-case names, in bytes.
const maxNameLength = 63

// Peers maps VM names to the addresses of their links.
type Peers map[string]netip.AddrPort

// Names returns the VM names in ascending order.
func (p Peers) Names() []string {
	names := make([]string, 0, len(p))
	for name := range p {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ParseName checks that text is a kebab-case name: lower-case letters, digits and
// inner dashes, at most 63 bytes. It returns text unchanged.
func ParseName(text string) (string, error) {
	if text == "" {
		return "", errors.New("name is empty")
	}
	if len(text) > maxNameLength {
		return "", fmt.Errorf("name %q is longer than %d bytes", text, maxNameLength)
	}
	for i, r := range text {
		alphanumeric := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		dash := r == '-' && i > 0 && i < len(text)-1
		if !alphanumeric && !dash {
			return "", fmt.Errorf("name %q must be lower-case letters, digits and inner dashes", text)
		}
	}
	return text, nil
}

func parseBool(text string) (bool, error) {
	b, err := strconv.ParseBool(text)
	if err != nil {
		return false, fmt.Errorf("%q is neither true nor false", text)
	}
	return b, nil
}

func parseInt(text string, minimum int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", text)
	}
	if n < minimum {
		return 0, fmt.Errorf("%d is less than %d", n, minimum)
	}
	return n, nil
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration such as 30s", text)
	}
	if d <= 0 {
		return 0, fmt.Errorf("duration %q is not positive", text)
	}
	return d, nil
}

func parseAddr(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not IP:PORT", text)
	}
	return addr, nil
}

// ParseAddrs parses a comma-separated list of IP:PORT.
func ParseAddrs(text string) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		addr, err := parseAddr(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

func parsePeers(text string) (Peers, error) {
	peers := Peers{}
	for part := range strings.SplitSeq(text, ",") {
		name, addrText, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil, fmt.Errorf("%q is not NAME=IP:PORT", part)
		}
		if _, err := ParseName(name); err != nil {
			return nil, err
		}
		addr, err := parseAddr(addrText)
		if err != nil {
			return nil, err
		}
		if _, duplicate := peers[name]; duplicate {
			return nil, fmt.Errorf("VM %q is listed twice", name)
		}
		peers[name] = addr
	}
	return peers, nil
}
