package fleet

import (
	"strings"
	"time"
)

// Route determines how the jobs that customers submit under a host and a path prefix are
// handled.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Service     string // service of the upstreams that run the tasks
	Priority    int    // 0 is served first
	MaxAttempts int    // number of failed runs of one task after which its job fails
	// The latency objective of a job is Stretch times the duration of its critical
	// path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Advised is set if an advisory service selects the upstreams for the route.
	Advised bool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []Route
	// Services are the names of the services whose upstreams run tasks; empty means all.
	Services []string
	// MaxBodyBytes is the largest permitted size of a request's body; 0 means no limit.
	MaxBodyBytes int
	// Raw is the configuration as it was received. It is sent to peers unchanged.
	Raw []byte

	byHost map[string][]*Route
}

// Index builds the index that Match uses. It must be called once, before the Config is
// shared between goroutines.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
}

// Match returns the route of a request: among the routes for its host, the one with the
// longest prefix of its path. It returns nil if there is none.
func (c *Config) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	var best *Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}
