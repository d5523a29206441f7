package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
	"gooseberrytide.example/gooseberrytide/test/standin/platformstore"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:  "platform",
		Usage: "run the users' platform: a store with a configuration, engines, and the settings file of one router",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "settings", Required: true, Usage: "`FILE` to write the router's settings to"},
			&cli.IntFlag{Name: "port", Value: 18780, Usage: "first of the router's six ports on loopback"},
			&cli.IntFlag{Name: "engines", Value: 3, Usage: "engines of each of the two services"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runPlatform(ctx, c.String("listen"), c.String("settings"), c.Int("port"), c.Int("engines"))
		},
	})
}

// Ports of the router, as offsets from its first port.
const (
	readinessPortOffset = 1
	directoryPortOffset = 2
	peerPortOffset      = 3
	lastPeerPortOffset  = 5
)

// eventPause is the time between two events of a stream.
const eventPause = 100 * time.Millisecond

const platformConfig = `{"version":1,"routes":[
 {"name":"digest","host":"shed.example","pathPrefix":"/digest/","routeKind":"streaming","timeoutMs":10000,
  "objectiveMs":800,"service":"pool","maxAttempts":2,"resumable":true,"gapTargetMs":500},
 {"name":"callout","host":"shed.example","pathPrefix":"/callout/","routeKind":"unsafe","timeoutMs":3000,
  "objectiveMs":300,"service":"app","maxAttempts":1}],
 "services":[{"name":"pool","maxConns":100,"engine":{"slots":16,"kvCapacity":100000,"stride":4}},
  {"name":"app","maxConns":100}],
 "limits":{"maxBodyBytes":1000000,"tokensPerS":100000},
 "tenants":[{"name":"farm","apiKeys":["first-key"]}]}`

// runPlatform starts the engines and the store, writes the settings file, and serves until the context ends.
func runPlatform(ctx context.Context, address, settings string, port, engines int) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	store := platformstore.New()
	for i := range 2 * engines {
		if err := startPlatformEngine(ctx, store, i); err != nil {
			return err
		}
	}
	store.Put("op/config", []byte(platformConfig))
	if err := os.WriteFile(settings, routerSettings(listener.Addr().String(), port), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return serveOn(ctx, listener, store)
}

// startPlatformEngine starts the i-th engine, of the services in turn, and registers it.
func startPlatformEngine(ctx context.Context, store *platformstore.Store, i int) error {
	engine := platformengine.New(fmt.Sprintf("i-%d", i+1))
	engine.Pause = eventPause
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: engine, ReadHeaderTimeout: shutdownTimeout}
	go func() { _ = server.Serve(listener) }() // it ends with the process
	context.AfterFunc(ctx, func() { _ = server.Close() })
	service := []string{"pool", "app"}[i%2]
	store.Put("servers/"+engine.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"north","slots":16,"state":"ready","born":%d}`,
		service, listener.Addr(), time.Now().UnixMilli()))
	return nil
}

// routerSettings returns the settings file of a router.
func routerSettings(storeAddress string, port int) []byte {
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	return fmt.Appendf(nil, `{"nodeName":"r-1","zone":"north","region":"midlands","ip":"127.0.0.1",
"listen":{"front":%q,"readiness":%q,"directory":%q},"internalPorts":[%d,%d],
"limits":{"memoryMb":200,"cpuShare":1},"platform":{"address":%q},
"bounds":{"graceS":4,"revokeMs":5000,"strictRevoke":true,"budgetSlack":20}}
`, address(0), address(readinessPortOffset), address(directoryPortOffset), port+peerPortOffset, port+lastPeerPortOffset,
		storeAddress)
}
