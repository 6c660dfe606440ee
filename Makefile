# The targets are described in README; CI runs `make test`.
GO ?= go
BINARIES := $(notdir $(wildcard cmd/*))
DEPLOYMENT ?= consortium
DURATION ?= 10s

SEED ?= 1
SEEDS ?= 1
SECONDS ?= 15

.PHONY: known-red regress soak cost build demo capacity test check unit bench clean

build:
	@mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

demo: build
	@scripts/demo.sh $(DEPLOYMENT) $(DURATION)

capacity: build
	@scripts/capacity.sh
	bin/hornbeam-capacity --runs out/capacity --page docs/CAPACITY.md --plots docs/capacity

test: check unit known-red

check:
	@scripts/check-shape.sh
	@test -z "$$(gofmt -l .)" || { echo "gofmt differs:"; gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	$(GO) test -race -count=1 -timeout 8m ./...
	$(GO) test -count=1 -timeout 8m ./planner

known-red:
	@scripts/known-red.sh

regress:
	@scripts/regress.sh

soak:
	SOAK_SEED=$(SEED) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$(SECONDS) $(GO) test -race -count=1 -timeout 2h ./integration/soak

cost:
	HORNBEAM_MEASURE=1 $(GO) test -v -count=1 -timeout 10m ./integration/cell -ginkgo.focus "costs" -ginkgo.v

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf bin out
