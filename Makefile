# LINT runs the linter pinned in tools/lint.
LINT  := go tool -modfile=tools/lint/go.mod golangci-lint
BIN   := .bin


.PHONY: all build test unit lint fmt generate bench

all: build

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

# test runs formatter check, linter, vet and the tests with the race detector.
test: lint
	go vet ./...
	go test -race -count=1 ./...

lint:
	$(LINT) fmt --diff
	$(LINT) run --allow-parallel-runners ./...

fmt:
	$(LINT) fmt

# generate rebuilds the committed protobuf and connect code.
generate:
	@mkdir -p $(BIN)
	go build -modfile=tools/protoc/go.mod -o $(BIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	go build -modfile=tools/protoc/go.mod -o $(BIN)/protoc-gen-connect-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH="$(CURDIR)/$(BIN):$$PATH" go tool -modfile=tools/buf/go.mod buf generate

# demo shows the whole system on loopback as separate processes, checks what
# happened and stops everything.
.PHONY: demo
demo: build
	go run ./demo $(BIN)

# soak injects random faults into edge processes on loopback.
.PHONY: soak
soak: build
	$(BIN)/cornelhold-soak --program $(BIN)/cornelhold-edge --seeds 50 --length 8s

# bench-router measures the router process over loopback.
.PHONY: bench-router
bench-router: build
	go run ./bench $(BIN)

# bench prints the policy figures, which are fixed by the commit.
bench:
	@mkdir -p $(BIN)
	go run ./cmd/cornelhold-policybench -json $(BIN)/policy.json

# bench-check fails unless exactly the figures in KNOWN-RED.txt miss their bounds.
.PHONY: bench-check
bench-check:
	@mkdir -p $(BIN)
	go run ./cmd/cornelhold-policybench -json $(BIN)/policy.json -known KNOWN-RED.txt

# bench-core measures the speed of the state machines.
.PHONY: bench-core
bench-core:
	go test -run '^$$' -bench . -benchmem ./internal/core/... ./internal/router ./internal/ticket
