# Every target works on a fresh Debian 12 machine; `deps` is skipped when all packages are present.
BUILD ?= build
JOBS ?= 8
PACKAGES := $(shell cat packages.txt)

.PHONY: all deps build check demo format format-check lint bench clean

all: build

deps:
	@scripts/install_packages.sh $(PACKAGES)

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo

build: deps $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

check: build
	scripts/run_tests.sh $(BUILD)

demo: build
	scripts/demo.sh $(BUILD)

bench: build
	scripts/run_benchmarks.sh $(BUILD)

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format -i

format-check: deps
	git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror

lint: build
	scripts/lint.sh $(BUILD) $(JOBS)

clean:
	rm -rf $(BUILD)
