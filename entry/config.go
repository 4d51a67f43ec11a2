package entry

import (
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/dispatch"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/tracing"

	"github.com/samber/lo"
	"gopkg.in/ini.v1"
)

// Config is what one entry instance learns from its own file: who it is, where
// it listens, and how it is watched. Everything that operators steer the fleet
// by is in the settings at the platform instead.
type Config struct {
	Fleet, Instance, Region, Zone, Rack string
	// ListenCallers and ListenInner are hosts and ports.
	ListenCallers, ListenInner string
	PlatformAddress            string // host and port
	LogLevel, LogFormat        string
	Tracing                    tracing.Config
	DrainTimeout               time.Duration // of a planned stop
	HeartbeatInterval          time.Duration
	// Seeds are hosts and ports of peers, to start from while the platform is
	// down.
	Seeds                []string
	InstancePollInterval time.Duration // of the platform's list
	Membership           membership.Config
	Dispatch             dispatch.Config
}

// option is one key of the file.
type option struct {
	section, key string
	fallback     string // "" makes the key required, unless optional
	optional     bool
	allowed      string
	take         func(c *Config, value string) bool
}

func text(into func(*Config) *string, ok func(string) bool) func(*Config, string) bool {
	return func(c *Config, v string) bool {
		*into(c) = v
		return ok(v)
	}
}

func isName(v string) bool { return api.CheckName("", v) == nil }

// isInstance also refuses dots, which part an instance's name from its boot.
func isInstance(v string) bool { return isName(v) && !strings.Contains(v, ".") }

func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n <= 65535
}

func word(words ...string) func(string) bool {
	return func(v string) bool { return slices.Contains(words, v) }
}

func anything(string) bool { return true }

// duration takes milliseconds within bounds.
func duration(into func(*Config) *time.Duration, low, high int64) func(*Config, string) bool {
	return func(c *Config, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*into(c) = time.Duration(n) * time.Millisecond
		return err == nil && n >= low && n <= high
	}
}

func millisInto(into func(*Config) *int64, low, high int64) func(*Config, string) bool {
	return func(c *Config, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*into(c) = n
		return err == nil && n >= low && n <= high
	}
}

func ratio(c *Config, v string) bool {
	f, err := strconv.ParseFloat(v, 64)
	c.Tracing.Ratio = f
	return err == nil && f >= 0 && f <= 1
}

func seeds(c *Config, v string) bool {
	c.Seeds = strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' })
	return lo.EveryBy(c.Seeds, isAddress)
}

const (
	nameRule    = "1 to 64 letters, digits, '-', '_' or '.'"
	addressRule = "an IP number and a port, such as 127.0.0.1:7400"
)

var options = []option{
	{"instance", "fleet", "", false, nameRule, text(func(c *Config) *string { return &c.Fleet }, isName)},
	{"instance", "name", "", false, "1 to 64 letters, digits, '-' or '_'", text(func(c *Config) *string { return &c.Instance }, isInstance)},
	{"instance", "region", "", true, nameRule, text(func(c *Config) *string { return &c.Region }, isName)},
	{"instance", "zone", "", false, nameRule, text(func(c *Config) *string { return &c.Zone }, isName)},
	{"instance", "rack", "", true, nameRule, text(func(c *Config) *string { return &c.Rack }, isName)},
	{"listen", "callers", "", false, addressRule, text(func(c *Config) *string { return &c.ListenCallers }, isAddress)},
	{"listen", "inner", "", false, addressRule, text(func(c *Config) *string { return &c.ListenInner }, isAddress)},
	{"platform", "address", "", false, addressRule, text(func(c *Config) *string { return &c.PlatformAddress }, isAddress)},
	{"platform", "poll_ms", "1000", false, "100 to 60000", duration(func(c *Config) *time.Duration { return &c.InstancePollInterval }, 100, 60000)},
	{"log", "level", "info", false, "debug, info, warn or error", text(func(c *Config) *string { return &c.LogLevel }, word("debug", "info", "warn", "error"))},
	{"log", "format", "text", false, "text or json", text(func(c *Config) *string { return &c.LogFormat }, word("text", "json"))},
	{"tracing", "file", "", true, "a file to append spans to", text(func(c *Config) *string { return &c.Tracing.File }, anything)},
	{"tracing", "endpoint", "", true, addressRule, text(func(c *Config) *string { return &c.Tracing.Endpoint }, isAddress)},
	{"tracing", "ratio", "0", false, "0 to 1", ratio},
	{"stop", "grace_ms", "30000", false, "0 to 600000", duration(func(c *Config) *time.Duration { return &c.DrainTimeout }, 0, 600000)},
	{"peers", "seeds", "", true, "IP numbers and ports of peers, comma separated", seeds},
	{"peers", "heartbeat_ms", "500", false, "20 to 10000", duration(func(c *Config) *time.Duration { return &c.HeartbeatInterval }, 20, 10000)},
	{"peers", "suspect_ms", "1600", false, "40 to 60000", millisInto(func(c *Config) *int64 { return &c.Membership.SuspectMs }, 40, 60000)},
	{"peers", "dead_ms", "3000", false, "60 to 120000", millisInto(func(c *Config) *int64 { return &c.Membership.DeadMs }, 60, 120000)},
	{"witness", "timeout_ms", "1500", false, "20 to 60000", duration(func(c *Config) *time.Duration { return &c.Dispatch.WitnessTimeout }, 20, 60000)},
	{"upstreams", "lease_ms", "10000", false, "100 to 600000", duration(func(c *Config) *time.Duration { return &c.Dispatch.LeaseDuration }, 100, 600000)},
	{"upstreams", "lost_after_ms", "5000", false, "100 to 600000", duration(func(c *Config) *time.Duration { return &c.Dispatch.UpstreamLostAfter }, 100, 600000)},
}

// LoadConfig reads and checks a file in full. Every problem is in the error
// list, with file, section, key, the value and what is allowed.
func LoadConfig(path string) (Config, []error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, []error{failure.Field(failure.InvalidInput, path, "cannot be read: %v", err)}
	}
	return ParseConfig(path, raw)
}

// ParseConfig is LoadConfig for text at hand; name stands for the file.
func ParseConfig(name string, raw []byte) (Config, []error) {
	file, err := ini.Load(raw)
	if err != nil {
		return Config{}, []error{failure.Field(failure.InvalidInput, name, "is not INI: %v", err)}
	}
	var c Config
	problems := unknownKeys(name, file)
	for _, o := range options {
		if err := o.apply(name, file, &c); err != nil {
			problems = append(problems, err)
		}
	}
	if c.Membership.DeadMs < c.Membership.SuspectMs {
		problems = append(problems, problem(name, "peers", "dead_ms", strconv.FormatInt(c.Membership.DeadMs, 10), "not under suspect_ms"))
	}
	return c, problems
}

func (o *option) apply(name string, file *ini.File, c *Config) error {
	section := file.Section(o.section)
	value := ""
	if section.HasKey(o.key) { // Key would make it
		value = section.Key(o.key).String()
	} else {
		if o.fallback == "" && !o.optional {
			return failure.Field(failure.InvalidInput, o.section+"."+o.key, "%s: [%s] %s is missing; allowed: %s", name, o.section, o.key, o.allowed)
		}
		value = o.fallback
		if value == "" {
			return nil
		}
	}
	if !o.take(c, value) {
		return problem(name, o.section, o.key, value, o.allowed)
	}
	return nil
}

func problem(name, section, key, value, allowed string) error {
	return failure.Field(failure.InvalidInput, section+"."+key, "%s: [%s] %s is %q; allowed: %s", name, section, key, value, allowed)
}

func unknownKeys(name string, file *ini.File) []error {
	var problems []error
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			known := slices.ContainsFunc(options, func(o option) bool { return o.section == section.Name() && o.key == key.Name() })
			if !known {
				problems = append(problems, failure.Field(failure.InvalidInput, section.Name()+"."+key.Name(),
					"%s: [%s] %s is %q, and no key of that name is known", name, section.Name(), key.Name(), key.String()))
			}
		}
	}
	return problems
}
