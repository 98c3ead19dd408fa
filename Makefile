GO ?= go
BIN := bin

.PHONY: build test lint fmt demo bench capacity clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Tests listed in KNOWN-RED.txt fail because of a known fault; they are printed and passed over.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')

# Tests with these names move as many bytes as the disks of a deployment hold, within its time bounds, and run after all others.
FULL_SIZE := AtFullSize$$

# -count=1 because the tests start real processes that the test cache cannot see. The tests of scenarios/memory measure
# the memory of processes under crowds of clients, so they run after all others.
test: build
	$(if $(KNOWN_RED),@echo 'passed over (KNOWN-RED.txt): $(KNOWN_RED)')
	$(GO) test -count=1 -timeout 20m -skip '$(if $(KNOWN_RED),$(KNOWN_RED)|)$(FULL_SIZE)' $$($(GO) list ./... | grep -v '/scenarios/memory$$')
	$(GO) test -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./scenarios/memory
	$(GO) test -count=1 -timeout 20m -run '$(FULL_SIZE)' $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./service/turns

lint:
	./scripts/lint

fmt:
	$(GO) tool gofumpt -w $$(git ls-files '*.go')

clean:
	rm -rf $(BIN)

# Starts a deployment on loopback, runs programs in it and checks every outcome.
demo: build
	$(BIN)/hyssopreel-demo $(if $(DEPLOYMENT),--deployment $(DEPLOYMENT))

# Replays the workloads through the decision code and rewrites bench/results.tsv, docs/decisions.md and docs/bench.
bench: build
	$(BIN)/hyssopreel-bench --results bench/results.tsv --plots docs/bench --decisions docs/decisions.md --timing

# Measures what docs/CAPACITY.md is computed from; PARTS selects some of memory,events,frames,journal,fleet,takeover.
capacity: build
	$(BIN)/hyssopreel-capacity $(if $(PARTS),--parts $(PARTS))
