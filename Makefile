# Build and test targets. Each installs what it needs through the Go tool chain.

GO ?= go
BIN := bin

.PHONY: all build test race lint fmt-check demo measure slopes faults model soak clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./test/...

TESTFLAGS ?=

test:
	$(GO) test $(TESTFLAGS) ./...

race:
	$(GO) test -race ./...

fmt-check:
	@out="$$(gofmt -l cmd internal platform test examples)"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint: fmt-check
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

demo: build
	./$(BIN)/demo --bin $(BIN)

measure: build
	./$(BIN)/measure --bin $(BIN)

# The summary in JSON is the last line; the status is 1 when a promise was broken.
faults: build
	$(BIN)/faults --bin $(BIN)

# Checks the models with spin, and that seeded mistakes are found.
model:
	bash spec/check.sh

clean:
	rm -rf $(BIN)

# The figures in JSON are the last line. docs/CAPACITY.md is worked out from them.
slopes: build
	$(BIN)/slopes --bin $(BIN)

SOAKFLAGS ?= --seeds 2 --seconds 8

# Injects faults into routers on this machine and checks the promises.
soak: build
	$(BIN)/soak --bin $(BIN)/gooseberrytided $(SOAKFLAGS)
