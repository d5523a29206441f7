package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/platform"
)

// Guards against a first run that a newcomer cannot start: settings, a configuration or engines that the router does not
// understand.
func TestPlatformForAFirstRun(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.yaml")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- runPlatform(ctx, "127.0.0.1:0", path, 18780, 2) }()
	var settings *platform.Settings
	for deadline := time.Now().Add(5 * time.Second); settings == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no settings file")
		}
		if _, err := os.Stat(path); err != nil {
			continue
		}
		var err error
		if settings, err = platform.ReadSettings(path); err != nil {
			t.Fatal(err)
		}
	}
	store := platform.NewStore(settings.StoreAddress, nil, nil)
	engines, _, err := store.List(ctx, "servers/")
	if err != nil || len(engines) != 4 {
		t.Fatalf("%d engines, %v", len(engines), err)
	}
	for _, e := range engines {
		if _, err := (platform.Schema{}).DecodeServer(e.Key, e.Value); err != nil {
			t.Error(err)
		}
	}
	config := configEntry(t, ctx, store)
	decoded, err := platform.Schema{}.DecodeConfig(config.Value, int64(config.Revision))
	if err != nil || len(decoded.Routes) != 2 || len(decoded.Teams) != 1 {
		t.Fatalf("configuration %+v, %v", decoded, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func configEntry(t *testing.T, ctx context.Context, store *platform.Store) kv.Entry {
	t.Helper()
	list, _, err := store.List(ctx, "op/config")
	if err != nil || len(list) != 1 {
		t.Fatalf("%d configurations, %v", len(list), err)
	}
	return list[0]
}
