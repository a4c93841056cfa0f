# Targets for building, testing and measuring wasabiworks.

ALL := wasabiworks.example/wasabiworks/...
# SOURCES are the Go files written by hand.
SOURCES := $(shell git ls-files --cached --others --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: all build tools generate fmt lint vet test demo matrix soak capacity bench

all: build

build:
	go build -o bin/ ./cmd/...

tools:
	cd tools && GOWORK=off go build -o ../bin/ honnef.co/go/tools/cmd/staticcheck google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc golang.org/x/perf/cmd/benchstat

# generate needs protoc; its output is committed, so the build does not.
generate: tools
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/peer/peerpb/peer.proto

fmt:
	@out=$$(gofmt -l $(SOURCES)); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	go vet $(ALL)

lint: tools
	bin/staticcheck $(ALL)

# test runs one test again without the race detector, under which its large values
# take too long.
test: fmt vet lint build
	go test -race -count=1 $(ALL)
	go test -count=1 -run '^TestInstancesFollowPastOddEntries$$' ./platform

demo: build
	bin/demo

# matrix checks the guarantees while faults are injected. Its timing depends on
# the machine, so it is not part of test.
matrix: build
	bin/matrix --report docs/fault-matrix.md

# soak plays random faults against real processes.
soak: build
	bin/soak --seeds 12 --time 30s

# capacity measures for about three minutes and writes docs/CAPACITY.md.
capacity: build
	bin/slopes

# BENCHED are the packages whose speed is followed from commit to commit.
BENCHED := ./platform ./internal/caller/openai ./internal/backend/engine ./internal/backend/fleet ./internal/operator/burn \
	wasabiworks.example/wasabiworks/internal/decide/route wasabiworks.example/wasabiworks/internal/decide/evidence \
	wasabiworks.example/wasabiworks/internal/decide/move

# bench compares the benchmarks with the committed ones of an earlier run, and
# leaves the new ones in out/bench.txt to be committed as docs/bench.txt.
bench: tools
	mkdir -p out
	go test -run '^$$' -bench . -benchmem -benchtime 200ms -count 3 $(BENCHED) > out/bench.txt
	@if [ -f docs/bench.txt ]; then bin/benchstat docs/bench.txt out/bench.txt; else cat out/bench.txt; fi
