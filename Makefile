# Thin front to CMake: every target works alone on a fresh machine.
BUILD ?= build
JOBS ?= $(shell nproc)

all: build

deps:
	./scripts/deps.sh

build: deps
	cmake -S . -B $(BUILD) -DMV_SANITIZE=$(SANITIZE) >$(BUILD).log 2>&1 || \
	    { cat $(BUILD).log; exit 1; }
	rm -f $(BUILD).log
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	./scripts/demo.sh $(BUILD)

test: build
	./scripts/known-red.sh $(BUILD)

lint: build
	./scripts/lint.sh $(BUILD)

sanitize:
	$(MAKE) test BUILD=build-asan SANITIZE=address,undefined
	$(MAKE) test BUILD=build-tsan SANITIZE=thread

# Unit and fuzz tests of leaks and of undefined behaviour, with few seeds.
memory:
	$(MAKE) build BUILD=build-asan SANITIZE=address,undefined
	TEST_SEEDS=15 ctest --test-dir build-asan -j 4 --output-on-failure \
	    -R '^(unit|fuzz)'

bench: build
	./bench/run.sh $(BUILD)

clean:
	rm -rf build build-asan build-tsan

.PHONY: all deps build demo test lint memory sanitize bench clean
