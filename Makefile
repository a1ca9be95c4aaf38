# Builds and tests kumquatrack, and runs the commands named in README.md.
#
# Sources are found by folder: those in LIB_DIRS make up the library, daemon/
# kumquatrackd, and kumquatrack.c with builtin/ the command-line tool.  Each
# t/test-NAME.c is a test program.  Each t/standin/NAME.c is a stand-in program,
# a test double for a part outside of kumquatrack; files there whose names start
# with "si-" are linked into all of them.

LIB_DIRS = base log metrics core lease worker job config peer request place \
           platform query trace sched term relay node

PKGS = libzmq libmicrohttpd libcurl argtable2 libprotobuf-c jansson \
       libxxhash libzstd libsodium

CC = gcc
CSTD = -std=gnu11
OPT ?= -O2 -g
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wno-unused-parameter
SAN ?=
BUILD ?= build$(if $(SAN),-$(subst $(comma),-,$(SAN)))
comma := ,
SANFLAGS = $(if $(SAN),-fsanitize=$(SAN) -fno-omit-frame-pointer)
CPPFLAGS += -I. -D_GNU_SOURCE $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
CFLAGS += $(CSTD) $(OPT) $(WARN) $(SANFLAGS)
LDFLAGS += $(SANFLAGS)
LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lev -lpthread -lm

GENERATED = $(wildcard peer/*.pb-c.c request/*.pb-c.c sched/*.pb-c.c term/*.pb-c.c relay/*.pb-c.c node/*.pb-c.c query/*.tab.c \
              query/*.lex.c)
LIB_SRC = $(foreach d,$(LIB_DIRS),$(wildcard $(d)/*.c))
DAEMON_SRC = $(wildcard daemon/*.c)
DAEMON_PARTS = $(filter-out daemon/main.c,$(DAEMON_SRC))
TOOL_SRC = $(wildcard kumquatrack.c builtin/*.c)
TEST_SRC = $(wildcard t/test-*.c)
SI_SRC = $(filter-out t/standin/si-%,$(wildcard t/standin/*.c))
SI_COMMON = $(wildcard t/standin/si-*.c)
EXAMPLE_SRC = $(wildcard examples/*.c)
BENCH_SRC = $(wildcard bench/*.c)

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIB = $(BUILD)/libkumquatrack.a
DAEMON = $(if $(filter daemon/main.c,$(DAEMON_SRC)),$(BUILD)/kumquatrackd)
TOOL = $(if $(TOOL_SRC),$(BUILD)/kumquatrack)
TESTS = $(patsubst t/%.c,$(BUILD)/t/%,$(TEST_SRC))
STANDINS = $(patsubst t/standin/%.c,$(BUILD)/standin/%,$(SI_SRC)) \
  $(if $(DAEMON),$(BUILD)/standin/kumquatrackd)
EXAMPLES = $(patsubst examples/%.c,$(BUILD)/examples/%,$(EXAMPLE_SRC))
BENCHES = $(patsubst bench/%.c,$(BUILD)/bench/%,$(BENCH_SRC))

.PHONY: all deps format-check lint test check demo soak soak-site \
        soak-machines bench fuzz clean install programs generated tests thread-tests \
        doxygen
all: programs
programs: $(LIB) $(DAEMON) $(TOOL) $(STANDINS) $(TESTS) $(EXAMPLES) $(BENCHES)

deps:
	@script/install-deps

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

# Generated code is compiled without the project's warning flags.
$(call obj,$(GENERATED)): WARN =

$(LIB): $(call obj,$(LIB_SRC))
	@rm -f $@
	$(AR) rcs $@ $^

$(BUILD)/kumquatrackd: $(call obj,$(DAEMON_SRC)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

$(BUILD)/kumquatrack: $(call obj,$(TOOL_SRC)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

# The daemon with a time of day of its own, for t/soak-machines.
$(BUILD)/standin/kumquatrackd: $(call obj,$(DAEMON_SRC) t/standin/skew/clock.c) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -Wl,--wrap=kq_clock_wall $^ $(LIBS) -o $@

# The daemon without its main(), for tests and benchmarks.
$(BUILD)/daemon-parts.a: $(call obj,$(DAEMON_PARTS))
	@rm -f $@
	$(AR) rcs $@ $^

# Helpers of tests; the linker takes only those that a test uses.
$(BUILD)/test-parts.a: $(call obj,$(wildcard t/lib-*.c))
	@rm -f $@
	$(AR) rcs $@ $^

$(BUILD)/t/%: $(BUILD)/t/%.o $(BUILD)/test-parts.a \
    $(BUILD)/daemon-parts.a $(LIB)
	$(CC) $(LDFLAGS) $^ $(LIBS) -lcunit -lgsl -lgslcblas -o $@

$(BUILD)/standin/%: $(BUILD)/t/standin/%.o $(call obj,$(SI_COMMON)) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

$(BUILD)/examples/%: $(BUILD)/examples/%.o $(LIB)
	$(CC) $(LDFLAGS) $^ $(LIBS) -o $@

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BUILD)/test-parts.a \
    $(BUILD)/daemon-parts.a $(LIB)
	$(CC) $(LDFLAGS) $^ $(LIBS) -lgsl -lgslcblas -o $@

.SECONDARY:

OWN = $(shell git ls-files -co --exclude-standard '*.c' '*.h' \
        | grep -vE '\.pb-c\.|\.tab\.|\.lex\.')

format-check:
	@clang-format --dry-run -Werror $(OWN)

# Runs one clang-tidy process per source file, six at a time.
lint:
	@printf '%s\n' $(filter %.c,$(OWN)) \
	  | xargs -P 6 -n 1 script/lint-one $(CSTD) $(CPPFLAGS)

test: programs
	@BUILD=$(BUILD) t/run-tests

check: deps
	@$(MAKE) --no-print-directory -s -j 6 programs
	@$(MAKE) --no-print-directory format-check lint doxygen
	@$(MAKE) --no-print-directory -s -j 6 SAN=address,undefined tests
	@$(MAKE) --no-print-directory -s -j 6 SAN=thread thread-tests
	@$(MAKE) --no-print-directory -s test

tests: $(TESTS)
# Test programs whose threads exchange messages.
thread-tests: $(BUILD)/t/test-front

# Doxygen prints only warnings, and they are errors.
doxygen:
	@mkdir -p $(BUILD)
	@doxygen Doxyfile

demo: deps
	@$(MAKE) --no-print-directory -j 6 programs >/dev/null
	@BUILD=$(BUILD) t/demo
	@BUILD=$(BUILD) t/demo-site

SEED ?= 1
STEPS ?= 200000
soak: $(BUILD)/t/test-soak
	@$< soak $(SEED) $(STEPS)

# Runs t/soak-site with SEEDS seeds, starting at FROM, three at a time.
FROM ?= 1
SEEDS ?= 50
soak-site: $(BUILD)/kumquatrackd $(BUILD)/standin/site
	@seq $(FROM) $$(($(FROM) + $(SEEDS) - 1)) \
	  | BUILD=$(BUILD) xargs -P 3 -I{} t/soak-site {}

# The same with t/soak-machines, two at a time.
soak-machines: $(addprefix $(BUILD)/standin/,kumquatrackd link site)
	@seq $(FROM) $$(($(FROM) + $(SEEDS) - 1)) \
	  | BUILD=$(BUILD) xargs -P 2 -I{} t/soak-machines {}

bench: programs
	@BUILD=$(BUILD) bench/run

SECONDS ?= 10
fuzz:
	@BUILD=$(BUILD)-fuzz t/fuzz/run $(SECONDS)

generated:
	@script/generate

prefix ?= /usr/local
install: programs
	script/install $(BUILD) $(DESTDIR)$(prefix)

clean:
	rm -rf build build-*

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
