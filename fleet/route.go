package fleet

import (
	"strings"
	"time"
)

// Route is a queue: the jobs whose host and path lead here.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Service     string // of the upstreams that run the tasks
	Priority    int    // 0 goes first
	MaxAttempts int    // failed runs of one task after which its job has failed
	// The latency objective of a job is Stretch times its longest chain of
	// work, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Advised routes let an advisory service pick the upstreams.
	Advised bool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []Route
	// Services are those whose upstreams run tasks.
	Services []string
	// MaxBodyBytes bounds the body of a request, in bytes; 0 is no bound.
	MaxBodyBytes int
	// Raw is the configuration as it was received, for peers.
	Raw []byte

	byHost map[string][]*Route
}

// Index prepares Match. It must be called once, before the Config is shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
}

// Match returns the route of a request: the one of its host with the longest
// prefix of its path, or nil.
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
