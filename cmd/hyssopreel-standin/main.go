// Command hyssopreel-standin serves stand-ins for the external systems of hyssopreel, for tests and the demo. Once all
// addresses are open, it prints "listening <address>" to stdout for each. It exits on SIGTERM or SIGINT.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopreel/hyssopreel/standin/engine"
	"github.com/hyssopreel/hyssopreel/standin/linkproxy"
	"github.com/hyssopreel/hyssopreel/standin/plainservice"
	"github.com/hyssopreel/hyssopreel/standin/platform"
	"github.com/hyssopreel/hyssopreel/standin/tool"
	"github.com/hyssopreel/hyssopreel/standin/weights"
)

type platformCommand struct {
	Listen       string  `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	BackendsFile string  `long:"backends" description:"JSON file with the list of backend servers"`
	LagMS        int64   `long:"lag-ms" default:"0" description:"delay until a change of the list of backend servers is visible"`
	ReadRate     float64 `long:"read-rate" description:"reads per second (0: no limit)"`
	WriteRate    float64 `long:"write-rate" description:"writes per second (0: no limit)"`
}

func (c *platformCommand) Execute([]string) error {
	cfg := platform.Config{ReadsPerSecond: c.ReadRate, WritesPerSecond: c.WriteRate, BackendLag: millis(c.LagMS)}
	if c.BackendsFile != "" {
		f, err := os.Open(c.BackendsFile)
		if err != nil {
			return err
		}
		defer f.Close()
		if cfg.Backends, err = platform.ParseBackends(f); err != nil {
			return fmt.Errorf("%s: %w", c.BackendsFile, err)
		}
	}
	return serve(endpoint{c.Listen, platform.New(cfg)})
}

type engineCommand struct {
	Listen         []string `long:"listen" description:"address to listen on, one engine for each (default 127.0.0.1:0)"`
	Count          int      `long:"count" description:"number of engines on consecutive ports, besides those of --listen"`
	BasePort       int      `long:"base-port" description:"first port of the engines of --count (0: any free ports)"`
	Host           string   `long:"host" default:"127.0.0.1" description:"IP address of the engines of --count"`
	Name           string   `long:"name" default:"engine" description:"name of the engine; several engines get -0, -1, ... appended"`
	Model          string   `long:"model" description:"model that is loaded at the start"`
	StepMS         float64  `long:"step-ms" default:"5" description:"time of a step with one request"`
	PrefillUS      float64  `long:"prefill-us" default:"10" description:"prefill time of one uncached prompt token"`
	MaxRunning     int      `long:"max-running" default:"8" description:"size limit of the batch, in requests"`
	CacheTokens    int      `long:"cache-tokens" default:"200000" description:"capacity of the prefix cache"`
	EventLagMS     int64    `long:"event-lag-ms" default:"200" description:"delay of cache events"`
	EventDropEvery int      `long:"event-drop-every" default:"10" description:"lose every Nth cache event (0: none)"`
	ReportLagMS    int64    `long:"report-lag-ms" default:"500" description:"age of load reports"`
	ChecksFencing  bool     `long:"checks-fencing" description:"reject orders with an old fencing token"`
	WeightsURL     string   `long:"weights" description:"URL of the weight store (default: load without a fetch)"`
	LoadMS         int64    `long:"load-ms" default:"0" description:"time of loading after the fetch"`
	TransferUS     float64  `long:"transfer-us" default:"1" description:"time per token of the export and the import of a cached prompt"`
}

func (c *engineCommand) Execute([]string) error {
	listen := c.Listen
	for i := range c.Count {
		port := 0
		if c.BasePort > 0 {
			port = c.BasePort + i
		}
		listen = append(listen, net.JoinHostPort(c.Host, strconv.Itoa(port)))
	}
	if len(listen) == 0 {
		listen = []string{"127.0.0.1:0"}
	}
	endpoints := make([]endpoint, len(listen))
	for i, address := range listen {
		name := c.Name
		if len(listen) > 1 {
			name = fmt.Sprintf("%s-%d", name, i)
		}
		e := engine.New(c.config(name))
		defer e.Close()
		endpoints[i] = endpoint{address, e}
	}
	return serve(endpoints...)
}

func (c *engineCommand) config(name string) engine.Config {
	cfg := engine.Config{
		Name:                name,
		Model:               c.Model,
		StepTime:            time.Duration(c.StepMS * float64(time.Millisecond)),
		PrefillPerToken:     micros(c.PrefillUS),
		MaxRunning:          c.MaxRunning,
		CacheCapacityTokens: c.CacheTokens,
		CacheEventLag:       millis(c.EventLagMS),
		CacheEventDropEvery: c.EventDropEvery,
		LoadReportLag:       millis(c.ReportLagMS),
		ChecksFencing:       c.ChecksFencing,
		WeightStoreURL:      c.WeightsURL,
		LoadDelay:           millis(c.LoadMS),
		TransferPerToken:    micros(c.TransferUS),
	}
	if c.PrefillUS == 0 {
		cfg.PrefillPerToken = -1 // a PrefillPerToken of 0 is the default
	}
	return cfg
}

type toolCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
}

func (c *toolCommand) Execute([]string) error { return serve(endpoint{c.Listen, tool.New()}) }

type serviceCommand struct {
	Listen []string `long:"listen" default:"127.0.0.1:0" description:"address to listen on, one service for each"`
}

func (c *serviceCommand) Execute([]string) error {
	endpoints := make([]endpoint, len(c.Listen))
	for i, address := range c.Listen {
		endpoints[i] = endpoint{address, plainservice.New()}
	}
	return serve(endpoints...)
}

type weightsCommand struct {
	Listen     string  `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	TransferMS int64   `long:"transfer-ms" default:"200" description:"time of one fetch"`
	FetchRate  float64 `long:"rate" description:"fetches per second (0: no limit)"`
	Burst      int     `long:"burst" default:"1" description:"fetches that may start together"`
}

func (c *weightsCommand) Execute([]string) error {
	return serve(endpoint{c.Listen, weights.New(weights.Config{
		TransferTime: millis(c.TransferMS), FetchesPerSecond: c.FetchRate, Burst: c.Burst,
	})})
}

type linkCommand struct {
	Listen  string `long:"listen" default:"127.0.0.1:0" description:"address of the relay"`
	Target  string `long:"to" required:"true" description:"address of the target"`
	Control string `long:"control" default:"127.0.0.1:0" description:"address of the control calls"`
}

// Execute prints "listening <address>" for the relay and then "control <address>" for its control calls.
func (c *linkCommand) Execute([]string) error {
	p, err := linkproxy.Listen(c.Listen, c.Target)
	if err != nil {
		return err
	}
	defer p.Close()
	return serveAndAnnounce(func(address net.Addr) {
		fmt.Println("listening", p.Addr())
		fmt.Println("control", address)
	}, endpoint{c.Control, p.Handler()})
}

func millis(ms int64) time.Duration   { return time.Duration(ms) * time.Millisecond }
func micros(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }

type endpoint struct {
	address string
	handler http.Handler
}

func serve(endpoints ...endpoint) error {
	return serveAndAnnounce(func(address net.Addr) { fmt.Println("listening", address) }, endpoints...)
}

// serveAndAnnounce listens on all addresses, then calls announce for each, and serves until SIGTERM or SIGINT. At the
// end it closes open connections, because watches and streams may wait for a long time.
func serveAndAnnounce(announce func(net.Addr), endpoints ...endpoint) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listeners := make([]net.Listener, len(endpoints))
	for i, e := range endpoints {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			return err
		}
		defer l.Close()
		listeners[i] = l
	}
	group, ctx := errgroup.WithContext(ctx)
	for i, e := range endpoints {
		server := &http.Server{Handler: e.handler}
		group.Go(func() error {
			if err := server.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
		announce(listeners[i].Addr())
	}
	return group.Wait()
}

func main() {
	log.SetHandler(text.New(os.Stderr))
	log.SetLevel(log.ErrorLevel)
	parser := flags.NewParser(nil, flags.Default)
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"platform", "object API and list of backend servers", &platformCommand{}},
		{"engine", "model engines", &engineCommand{}},
		{"tool", "tool services", &toolCommand{}},
		{"service", "plain services", &serviceCommand{}},
		{"weights", "weight store", &weightsCommand{}},
		{"link", "TCP relay that can be cut or silenced", &linkCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			log.WithError(err).WithField("command", c.name).Fatal("cannot declare command")
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1) // the parser has printed the error
	}
}
