package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v2"
	"golang.org/x/sync/errgroup"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

const (
	anyPort                = "127.0.0.1:0"
	standInShutdownTimeout = 30 * time.Second // for running requests to end
	readHeaderTimeout      = 10 * time.Second
	defaultSlots           = 8
	defaultPrefillRate     = 20000.0 // prompt tokens per second
	defaultTokenRate       = 2000.0  // generated tokens per second
)

func standInCommand() *cli.Command {
	return &cli.Command{
		Name:  "stand-in",
		Usage: "run a stand-in for a component outside the system",
		Description: "For demonstrations and tests. Each prints a line starting with ready once it listens, and runs\n" +
			"until interrupted; one for a backend server then announces that it leaves and completes its requests.",
		Subcommands: []*cli.Command{
			standInEngineCommand(),
			standInServiceCommand(),
			standInWeightStoreCommand(),
			standInLinkCommand(),
			standInDiskCommand(),
			standInPlatformServerCommand(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: anyPort, Usage: "`ADDRESS` (IP and port) to listen on; port 0 selects a free port"}
}

// backendFlags returns the flags of every stand-in that announces itself.
func backendFlags() []cli.Flag {
	return []cli.Flag{
		listenFlag(),
		&cli.StringFlag{Name: "id", Usage: "`ID` of the backend server"},
		&cli.StringFlag{Name: "zone", Usage: "its availability `ZONE`"},
		&cli.StringSliceFlag{Name: "registry", Usage: "`ADDRESS` (IP and port) at which an entry VM listens for backend servers; may be repeated"},
		&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "how many requests it processes concurrently"},
		&cli.DurationFlag{Name: "announce-period", Value: time.Second, Usage: "how often it announces itself; it reports its load twice as often"},
	}
}

// announcementOf returns the announcement that the flags describe. The incarnation is the current
// time, so that a restarted stand-in counts as newer.
func announcementOf(c *cli.Context, address string) laburnumlever.Announcement {
	return laburnumlever.Announcement{
		Backend:     laburnumlever.BackendID(c.String("id")),
		Zone:        laburnumlever.ZoneName(c.String("zone")),
		Address:     address,
		Incarnation: uint64(time.Now().UnixNano()),
		Slots:       c.Int("slots"),
	}
}

func backendOptions(c *cli.Context) []laburnumstandin.Option {
	period := c.Duration("announce-period")
	return []laburnumstandin.Option{
		laburnumstandin.WithRegistries(c.StringSlice("registry")),
		laburnumstandin.WithPeriods(period, period/2),
	}
}

// backend is a stand-in that announces itself to the system.
type backend interface {
	http.Handler
	Start()
	Leave()
	Close()
}

// serveBackend runs a backend server until the process is interrupted. It announces that it leaves
// before its listener closes, so that no request is sent to a closed port.
func serveBackend(c *cli.Context, ln net.Listener, b backend, kind string) error {
	server := &http.Server{Handler: b, ReadHeaderTimeout: readHeaderTimeout}
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(server.Serve(ln)) })
	b.Start()
	defer b.Close()
	printf(c.App.Writer, "ready %s=%s address=%s\n", kind, c.String("id"), ln.Addr())
	<-c.Done()
	b.Leave()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Context), standInShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return err
	}
	return group.Wait()
}

// serveHandler runs a stand-in that is not a backend server, until ctx is done. It ends running
// requests at once.
func serveHandler(ctx context.Context, ln net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(server.Serve(ln)) })
	<-ctx.Done()
	if err := server.Close(); err != nil {
		return err
	}
	return group.Wait()
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	return cfg.Listen(ctx, "tcp", address)
}
