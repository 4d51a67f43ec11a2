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

// Config is the local configuration of an instance, read from a file of its own: identity,
// listeners, logging, tracing and timeouts. What operators change for the whole fleet is
// stored in the settings on the platform instead.
type Config struct {
	Fleet, Instance, Region, Zone, Rack string
	// ListenCallers and ListenInner are the addresses, with ports, to listen on for
	// callers and for other instances.
	ListenCallers, ListenInner string
	PlatformAddress            string // address and port
	LogLevel, LogFormat        string
	Tracing                    tracing.Config
	DrainTimeout               time.Duration // maximum time that a planned shutdown waits for jobs to end
	HeartbeatInterval          time.Duration
	// Seeds are addresses, with ports, of other instances. This instance fetches the
	// list of instances and the settings from them if it starts while the platform is
	// unavailable.
	Seeds                []string
	InstancePollInterval time.Duration // minimum time between two reads of the platform's list of instances
	Membership           membership.Config
	Dispatch             dispatch.Config
}

// option is one key of the configuration file.
type option struct {
	section, key string
	fallback     string // default value; if "" and not optional, the key is required
	optional     bool
	allowed      string                             // description of the valid values, for errors
	set          func(c *Config, value string) bool // reports whether value is valid
}

func setText(into func(*Config) *string, isValid func(string) bool) func(*Config, string) bool {
	return func(c *Config, v string) bool {
		*into(c) = v
		return isValid(v)
	}
}

func isName(v string) bool { return api.CheckName("", v) == nil }

// isInstanceName is like isName but does not allow dots, because a dot separates the name of
// the instance from the boot ID in an incarnation.
func isInstanceName(v string) bool { return isName(v) && !strings.Contains(v, ".") }

func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n <= 65535
}

func oneOf(words ...string) func(string) bool {
	return func(v string) bool { return slices.Contains(words, v) }
}

func anyText(string) bool { return true }

// setDuration returns a setter for a duration, written as a number of milliseconds from low
// to high.
func setDuration(into func(*Config) *time.Duration, low, high int64) func(*Config, string) bool {
	return func(c *Config, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*into(c) = time.Duration(n) * time.Millisecond
		return err == nil && n >= low && n <= high
	}
}

func setMillis(into func(*Config) *int64, low, high int64) func(*Config, string) bool {
	return func(c *Config, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*into(c) = n
		return err == nil && n >= low && n <= high
	}
}

func setTraceRatio(c *Config, v string) bool {
	f, err := strconv.ParseFloat(v, 64)
	c.Tracing.Ratio = f
	return err == nil && f >= 0 && f <= 1
}

func setSeeds(c *Config, v string) bool {
	c.Seeds = strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' })
	return lo.EveryBy(c.Seeds, isAddress)
}

const (
	nameRule    = "1 to 64 letters, digits, '-', '_' or '.'"
	addressRule = "an IP address and a port, such as 127.0.0.1:7400"
)

var options = []option{
	{"instance", "fleet", "", false, nameRule, setText(func(c *Config) *string { return &c.Fleet }, isName)},
	{"instance", "name", "", false, "1 to 64 letters, digits, '-' or '_'", setText(func(c *Config) *string { return &c.Instance }, isInstanceName)},
	{"instance", "region", "", true, nameRule, setText(func(c *Config) *string { return &c.Region }, isName)},
	{"instance", "zone", "", false, nameRule, setText(func(c *Config) *string { return &c.Zone }, isName)},
	{"instance", "rack", "", true, nameRule, setText(func(c *Config) *string { return &c.Rack }, isName)},
	{"listen", "callers", "", false, addressRule, setText(func(c *Config) *string { return &c.ListenCallers }, isAddress)},
	{"listen", "inner", "", false, addressRule, setText(func(c *Config) *string { return &c.ListenInner }, isAddress)},
	{"platform", "address", "", false, addressRule, setText(func(c *Config) *string { return &c.PlatformAddress }, isAddress)},
	{"platform", "poll_ms", "1000", false, "100 to 60000", setDuration(func(c *Config) *time.Duration { return &c.InstancePollInterval }, 100, 60000)},
	{"log", "level", "info", false, "debug, info, warn or error", setText(func(c *Config) *string { return &c.LogLevel }, oneOf("debug", "info", "warn", "error"))},
	{"log", "format", "text", false, "text or json", setText(func(c *Config) *string { return &c.LogFormat }, oneOf("text", "json"))},
	{"tracing", "file", "", true, "the path of a file that spans are appended to", setText(func(c *Config) *string { return &c.Tracing.File }, anyText)},
	{"tracing", "endpoint", "", true, addressRule, setText(func(c *Config) *string { return &c.Tracing.Endpoint }, isAddress)},
	{"tracing", "ratio", "0", false, "0 to 1", setTraceRatio},
	{"stop", "grace_ms", "30000", false, "0 to 600000", setDuration(func(c *Config) *time.Duration { return &c.DrainTimeout }, 0, 600000)},
	{"peers", "seeds", "", true, "comma-separated IP addresses and ports of other instances", setSeeds},
	{"peers", "heartbeat_ms", "500", false, "20 to 10000", setDuration(func(c *Config) *time.Duration { return &c.HeartbeatInterval }, 20, 10000)},
	{"peers", "suspect_ms", "1600", false, "40 to 60000", setMillis(func(c *Config) *int64 { return &c.Membership.SuspectMs }, 40, 60000)},
	{"peers", "dead_ms", "3000", false, "60 to 120000", setMillis(func(c *Config) *int64 { return &c.Membership.DeadMs }, 60, 120000)},
	{"witness", "timeout_ms", "1500", false, "20 to 60000", setDuration(func(c *Config) *time.Duration { return &c.Dispatch.WitnessTimeout }, 20, 60000)},
	{"upstreams", "lease_ms", "10000", false, "100 to 600000", setDuration(func(c *Config) *time.Duration { return &c.Dispatch.LeaseDuration }, 100, 600000)},
	{"upstreams", "lost_after_ms", "5000", false, "100 to 600000", setDuration(func(c *Config) *time.Duration { return &c.Dispatch.UpstreamLostAfter }, 100, 600000)},
}

// LoadConfig reads and checks the configuration file at path. It returns all problems that
// it finds; each error names the file, section and key, the value, and what is allowed.
func LoadConfig(path string) (Config, []error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, []error{failure.Field(failure.InvalidInput, path, "cannot be read: %v", err)}
	}
	return ParseConfig(path, raw)
}

// ParseConfig is like LoadConfig for the content of a file; name is the file name used in
// errors.
func ParseConfig(name string, raw []byte) (Config, []error) {
	file, err := ini.Load(raw)
	if err != nil {
		return Config{}, []error{failure.Field(failure.InvalidInput, name, "is not a valid INI file: %v", err)}
	}
	var c Config
	problems := unknownKeys(name, file)
	for _, o := range options {
		if err := o.apply(name, file, &c); err != nil {
			problems = append(problems, err)
		}
	}
	if c.Membership.DeadMs < c.Membership.SuspectMs {
		problems = append(problems, invalidValue(name, "peers", "dead_ms", strconv.FormatInt(c.Membership.DeadMs, 10), "at least suspect_ms"))
	}
	return c, problems
}

func (o *option) apply(name string, file *ini.File, c *Config) error {
	section := file.Section(o.section)
	value := ""
	if section.HasKey(o.key) { // section.Key would create a missing key
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
	if !o.set(c, value) {
		return invalidValue(name, o.section, o.key, value, o.allowed)
	}
	return nil
}

func invalidValue(name, section, key, value, allowed string) error {
	return failure.Field(failure.InvalidInput, section+"."+key, "%s: [%s] %s is %q; allowed: %s", name, section, key, value, allowed)
}

func unknownKeys(name string, file *ini.File) []error {
	var problems []error
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			known := slices.ContainsFunc(options, func(o option) bool { return o.section == section.Name() && o.key == key.Name() })
			if !known {
				problems = append(problems, failure.Field(failure.InvalidInput, section.Name()+"."+key.Name(),
					"%s: [%s] %s is %q, but there is no such key", name, section.Name(), key.Name(), key.String()))
			}
		}
	}
	return problems
}
