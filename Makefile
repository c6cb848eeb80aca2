# Targets: test (what CI runs), demo, soak, measure, capacity, bench, build, lint, race, link, fuzz, clean.
GO ?= go
PROGRAMS := mimosad mimosad-dsr mimosactl mimosa-standin

# The fuzz targets, as directory:function, and the number of inputs for each.
FUZZ := internal/wire:FuzzCheck internal/wire:FuzzEnvelope internal/forward:FuzzRoute internal/hostcore:FuzzPacket \
	internal/daemon:FuzzHost internal/config:FuzzDecodeDocument internal/member:FuzzDecodeMessage \
	internal/spread:FuzzDecodeMessage internal/inifile:FuzzParse internal/dsrpeer:FuzzDecode \
	platform:FuzzPacket platform:FuzzRegistration platform:FuzzConfiguration platform:FuzzSettings
FUZZ_COUNT := 20000x

# The first seed of `make soak` and the number of seeds on each of the two paths.
SEED := 1
SEEDS := 1

# The tests that KNOWN-RED.txt lists, as a pattern for -skip; none if it lists none.
KNOWN_RED := $(shell sed -n 's/^- test: \(Test[A-Za-z0-9_]*\)\..*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: build test lint race sessions link fuzz bench demo soak measure capacity clean

build:
	CGO_ENABLED=1 $(GO) build -o bin/ ./cmd/...

lint:
	@unformatted="$$(gofmt -l .)"; if [ -n "$$unformatted" ]; then echo "gofmt would change:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Some tests run programs that they build, which the cache of test results does not see.
race:
	$(GO) test -race -count=1 $(SKIP) ./...

# Checks that the programs are linked dynamically to the C library.
link: build
	$(GO) run ./internal/tools/linkcheck $(addprefix bin/,$(PROGRAMS))

fuzz:
	@for t in $(FUZZ); do \
		echo "fuzz $$t"; \
		$(GO) test -run '^$$' -parallel 2 -fuzz "^$${t#*:}\$$" -fuzztime $(FUZZ_COUNT) ./$${t%%:*} || exit 1; \
	done

# The random schedules of package session in full number, without the race detector.
sessions:
	$(GO) test $(SKIP) ./internal/session

test: lint link race sessions fuzz

demo: build
	scripts/demo.sh

# Runs the programs under random faults on both paths; fresh seeds: make soak SEED=n SEEDS=m.
soak: build
	bin/mimosa-soak --seed $(SEED) --seeds $(SEEDS)
	bin/mimosa-soak --seed $(SEED) --seeds $(SEEDS) --product

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Runs the policies in virtual time and writes docs/MEASUREMENTS.md and docs/plots.
measure:
	$(GO) run ./cmd/mimosa-measure

# Measures the slopes of the capacity page and writes docs/CAPACITY-SLOPES.md.
capacity:
	$(GO) run ./cmd/mimosa-measure --capacity

clean:
	rm -rf bin
