# Targets for users and developers. `make help` lists them.

GO            ?= go
BIN           := $(CURDIR)/bin
LINT_VERSION  := v2.15.0
LINT          := $(BIN)/golangci-lint-$(LINT_VERSION)
MATRIX_LOG    := $(BIN)/matrix.log
# Tests listed in KNOWN-RED.txt are passed over; the first word of an entry is the test's name.
KNOWN_RED     := $(shell sed -n 's/^test: *\([A-Za-z0-9_\/]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP          := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)
# On arm64 the race detector itself crashes at times in the tests of this package, in its own function SlotLock.
NO_RACE       := $(if $(filter aarch64 arm64,$(shell uname -m)),internal/elect)

.PHONY: help build test matrix soak lint format proto demo bench bench-requests capacity

help: ## list the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build the programs into bin/
	$(GO) build -o $(BIN)/ ./cmd/...

test: ## run all tests with the race detector
	@sed -n 's/^test: */known red, passed over: /p' KNOWN-RED.txt
ifeq ($(NO_RACE),)
	$(GO) test -race -count=1 $(SKIP) ./...
else
	@echo "without the race detector on this machine: $(NO_RACE)"
	$(GO) test -count=1 $(SKIP) $(addprefix ./,$(NO_RACE))
	$(GO) test -race -count=1 $(SKIP) $$($(GO) list ./... | grep -vE '/($(NO_RACE))$$')
endif

bench: ## measure the scheduling policy against the baselines, in virtual time
	$(GO) run ./cmd/bench -plots docs/plots

matrix: ## run every step against every fault; the last line has the counts
	@mkdir -p $(BIN)
	@MATRIX=1 $(GO) test ./internal/matrix -run '^TestMatrix$$' -count=1 -timeout 20m -v >$(MATRIX_LOG) 2>&1; \
		status=$$?; grep -E '^ +matrix_test.go|^--- FAIL|^FAIL|^panic|^matrix: seed' $(MATRIX_LOG); \
		grep -E '^matrix: cells' $(MATRIX_LOG) || tail -30 $(MATRIX_LOG); exit $$status
	@MATRIX=1 $(GO) test ./internal/trial -run '^TestMatrix$$' -count=1 -timeout 10m -v >$(MATRIX_LOG) 2>&1; \
		status=$$?; grep -E 'cell .*breaches|trial: cells|^panic' $(MATRIX_LOG); exit $$status

soak: ## run 50 seeds of the soak: processes, stand-ins and faults from outside them
	SOAK_SEEDS=$(or $(SEEDS),50) SOAK_FIRST=$(or $(FIRST),1) $(GO) test ./platform -run '^TestSoak$$' -count=1 -timeout 120m -v | \
		grep -E '^ +soak_test.go.*seed|^ok|^FAIL|^---'

lint: $(LINT) ## run the formatter, go vet and the linter
	@out=$$($(LINT) fmt --diff); test -z "$$out" || { echo "$$out"; echo "run make format"; exit 1; }
	$(GO) vet ./...
	$(LINT) run --allow-parallel-runners ./...

format: $(LINT) ## format the code
	$(LINT) fmt

demo: build ## start stand-ins and instances on loopback, run the examples and check the promises
	@scripts/demo

bench-requests: build ## compare the request path with a plain forwarding handler
	@scripts/perf

proto: ## generate the messages between instances; needs protoc, protoc-gen-go and protoc-gen-connect-go
	cd internal/peerv1 && protoc --go_out=. --go_opt=paths=source_relative \
		--connect-go_out=. --connect-go_opt=paths=source_relative,package_suffix= peer.proto lead.proto table.proto

$(LINT):
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(BIN)/golangci-lint $@

capacity: build ## measure processor time and memory of each role at three sizes
	scripts/capacity
