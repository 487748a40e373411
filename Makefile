# Developer targets. `make demo` and `make test` work on a fresh checkout.
MODULES := core sched route infra platform control cmd
GOBIN := $(shell go env GOPATH)/bin
LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
PROTOC_GEN_GO := v1.36.12
PROTOC_GEN_GO_GRPC := v1.6.2

.PHONY: boundary tools demo test race vet fmt lint generate build bench soak soak-requests replay capacity ci

build:
	go build $(addsuffix /...,$(addprefix ./,$(MODULES)))

demo: build
	go run ./cmd/lacewingctl demo

# The tests that KNOWN-RED.txt lists are skipped, and printed at the end.
SKIP_KNOWN_RED = skip="$$(.ci/known-red pattern)" &&

test:
	@$(SKIP_KNOWN_RED) go test $${skip:+-skip "$$skip"} $(addsuffix /...,$(addprefix ./,$(MODULES)))
	@.ci/known-red list

# On arm64 the race detector's own runtime has crashed in these packages (lacewingctl: SIGSEGV
# in __sanitizer::StackDepotBase::Put; recovery: CHECK failed in tsan_rtl.cpp:346); there they
# are tested without it.
RACE_CRASHES_ON_ARM64 := $(addprefix github.com/lacewingpier/lacewingpier/,cmd/lacewingctl control/recovery)

race:
	@$(SKIP_KNOWN_RED) if [ "$$(go env GOARCH)" = arm64 ]; then without="$(RACE_CRASHES_ON_ARM64)"; fi; \
	go test $${skip:+-skip "$$skip"} -race $$(go list $(addsuffix /...,$(addprefix ./,$(MODULES))) | grep -vxF "$$(printf '%s\n' $$without)") && \
	if [ -n "$$without" ]; then go test $${skip:+-skip "$$skip"} $$without; fi
	@.ci/known-red list

vet:
	go vet $(addsuffix /...,$(addprefix ./,$(MODULES)))

fmt:
	@out="$$(gofmt -l $(MODULES))"; if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

boundary:
	@.ci/check-boundary

lint: boundary
	@$(GOBIN)/golangci-lint version 2>/dev/null | grep -q "$(LINT_VERSION:v%=%)" || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	@for m in $(MODULES); do (cd $$m && $(GOBIN)/golangci-lint run --config ../.golangci.yml ./...) || exit 1; done

# Installs gopls, which renames identifiers: gopls rename -w FILE:LINE:COLUMN NAME.
tools:
	@$(GOBIN)/gopls version 2>/dev/null | grep -q "$(GOPLS_VERSION)" || go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

bench:
	go test -run '^$$' -bench . -benchtime 1x ./sched/... ./route/... ./control/...

# Runs the real program as separate processes under random faults, changes of the
# configuration, planned work alone, load alone and a final loss. SEED selects the faults,
# MINUTES is their duration in each test that has one, LOGS the directory for the process
# logs.
SEED ?= 1000
MINUTES ?= 2
LOGS ?= $(CURDIR)/target/soak
soak:
	mkdir -p $(LOGS)
	go test ./platform/soak -run 'Soak|FinalLoss' -count 1 -v -timeout 60m -soak.seed $(SEED) -soak.time $(MINUTES)m -soak.keep $(LOGS)

# Checks thousands of random cases of the partition ownership model, and sends
# 200,000 requests while each component of the request path fails in turn.
soak-requests:
	go test -run TestOwnersUnderFaults -rapid.seed=$(SEED) -rapid.checks=3000 -timeout 60m ./control/recovery
	go test ./control/internal/rig -run TestSoak -count 1 -soak 200000 -timeout 15m -v

# Runs the scheduler on DAYS random days of load and prints its scores, with the
# share of its possible value that each kind of job achieved.
DAYS ?= 24
replay:
	go test ./sched/batch -run TestReplayedDays -count 1 -v -replay.days $(DAYS)

# Prints tables of takeover time, recovery time, table operations and renewal cost.
capacity:
	go test -run '^$$' -bench Capacity -benchtime 3x ./control/recovery | grep Capacity

# Needs protoc (Debian package protobuf-compiler).
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO)
	go install google.golang.org/grpc/cmd/protoc-gen-go-grpc@$(PROTOC_GEN_GO_GRPC)
	PATH="$(GOBIN):$$PATH" protoc --go_out=. --go_opt=module=github.com/lacewingpier/lacewingpier --go-grpc_out=. --go-grpc_opt=module=github.com/lacewingpier/lacewingpier control/rpc/lacewing.proto control/rpc/batch.proto

ci: fmt vet lint test race
