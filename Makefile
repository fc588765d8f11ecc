# Targets for builders and operators. `make demo` and `make test` need only Go and gcc.

GO ?= go
BIN := bin
WIRE := internal/messenger/wire

.PHONY: build deploy-build test lint fmt demo bench matrix matrix-short slopes generate

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs the build line of the deploy file, as the prepared machines' bench does.
deploy-build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

# CI sets TESTFLAGS=-race.
test:
	$(GO) test $(TESTFLAGS) ./...

fmt:
	$(GO) tool gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

lint:
	./.ci/lint

demo: build
	$(BIN)/marigold-bench demo --bin $(BIN)

bench: build
	$(BIN)/marigold-bench bench --bin $(BIN) --out report

matrix: build
	$(BIN)/marigold-bench matrix --bin $(BIN)

matrix-short: build
	$(BIN)/marigold-bench matrix --bin $(BIN) --short

slopes: build
	$(BIN)/marigold-bench slopes --bin $(BIN) --out report

# Needs protoc. The checksum lets CI see that the generated code matches its source.
generate:
	mkdir -p $(BIN)/tools
	$(GO) build -o $(BIN)/tools google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	cd internal/messenger && PATH="$(CURDIR)/$(BIN)/tools:$$PATH" $(GO) generate ./...
	cd $(WIRE) && sha256sum wire.proto wire.pb.go wire_drpc.pb.go > wire.sha256
