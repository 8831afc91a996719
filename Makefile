# Builds into $(BUILD); SANITIZE=address,undefined or SANITIZE=thread instruments the build.
BUILD ?= build
CC = gcc
PACKAGES = glib-2.0 libprotobuf-c libxxhash libzstd libsodium
DAEMON_PACKAGES = $(PACKAGES) libzmq liburcu-memb jansson
CFLAGS ?= -O2 -g
WARNINGS = -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes
CPPFLAGS += -D_GNU_SOURCE -Ilibcaraway -Idaemon -Icli -Itests/unit $(shell pkg-config --cflags $(DAEMON_PACKAGES))
LIB_LIBS = $(shell pkg-config --libs $(PACKAGES))
DAEMON_LIBS = $(shell pkg-config --libs $(DAEMON_PACKAGES)) -lhttp_parser -pthread -lm
ifdef SANITIZE
CFLAGS += -fsanitize=$(SANITIZE) -fno-omit-frame-pointer
LDFLAGS += -fsanitize=$(SANITIZE)
endif

LIB_SOURCES = $(wildcard libcaraway/*.c) libcaraway/gen/caraway.pb-c.c
DAEMON_SOURCES = $(filter-out daemon/carawayd.c,$(wildcard daemon/*.c)) $(wildcard platform/*.c)
CLI_SOURCES = $(filter-out cli/carawayctl.c,$(wildcard cli/*.c))
BENCH_HELPERS = bench/feed_contents.c bench/load_report.c
TOOL_SOURCES = $(wildcard tests/tools/*.c) $(filter-out $(BENCH_HELPERS),$(wildcard bench/*.c))
UNIT_SOURCES = $(wildcard tests/unit/test_*.c)
SOAK_SOURCES = $(filter-out soak/misbehave.c,$(wildcard soak/*.c))
UNIT_HELPERS = $(filter-out tests/unit/test_%,$(wildcard tests/unit/*.c))
OWN_SOURCES = $(filter-out libcaraway/gen/%,$(wildcard libcaraway/*.[ch] daemon/*.[ch] platform/*.[ch] cli/*.[ch] tests/*/*.[ch] bench/*.[ch] soak/*.[ch] examples/*.[ch]))

object = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIBRARY = $(BUILD)/libcaraway.a
CLI_LIBRARY = $(BUILD)/libcli.a
DAEMON_LIBRARY = $(BUILD)/libdaemon.a
PROGRAMS = $(if $(and $(wildcard daemon/control.c),$(wildcard daemon/proxy.c)),$(BUILD)/carawayd) \
	$(if $(and $(wildcard cli/carawayctl.c),$(wildcard libcaraway/change.c)),$(BUILD)/carawayctl)
TOOLS = $(patsubst %.c,$(BUILD)/%,$(TOOL_SOURCES))
UNITS = $(patsubst %.c,$(BUILD)/%,$(UNIT_SOURCES))

all: $(LIBRARY) $(PROGRAMS) $(TOOLS)

soak: all $(BUILD)/soak/soak $(BUILD)/soak/misbehave.so

$(LIBRARY): $(call object,$(LIB_SOURCES))
	rm -f $@
	ar rcs $@ $^

$(DAEMON_LIBRARY): $(call object,$(DAEMON_SOURCES))
	rm -f $@
	ar rcs $@ $^

$(BUILD)/carawayd: $(BUILD)/daemon/carawayd.o $(DAEMON_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS)

$(CLI_LIBRARY): $(call object,$(CLI_SOURCES))
	rm -f $@
	ar rcs $@ $^

$(BUILD)/carawayctl: $(BUILD)/cli/carawayctl.o $(CLI_LIBRARY) $(DAEMON_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS)

$(TOOLS): $(BUILD)/%: $(BUILD)/%.o $(DAEMON_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(DAEMON_LIBS) $(shell pkg-config --libs gsl libmicrohttpd)

$(UNITS): $(BUILD)/%: $(BUILD)/%.o $(call object,$(UNIT_HELPERS)) $(CLI_LIBRARY) $(DAEMON_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(DAEMON_LIBS) $(shell pkg-config --libs check gsl)

# The soak test uses helpers of the unit tests and a library that is preloaded into the daemons.
$(BUILD)/soak/soak: $(call object,$(SOAK_SOURCES)) $(call object,$(addprefix tests/unit/,cluster.c process.c caller.c))
	$(CC) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS) $(shell pkg-config --libs check)

$(BUILD)/soak/misbehave.so: soak/misbehave.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(filter-out -fsanitize%,$(CFLAGS)) $(WARNINGS) -shared -fPIC -o $@ $<

# Generated code is compiled without warnings.
$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(if $(findstring gen/,$<),-w,$(WARNINGS)) -MMD -MP -c -o $@ $<

# The simulation of relays in virtual time, used by a test and a benchmark.
RELAY_NET = $(BUILD)/tests/unit/relay_net.o $(BUILD)/tests/unit/relay_net_events.o
$(BUILD)/tests/unit/test_relay: $(RELAY_NET) $(BUILD)/tests/unit/relay_observer.o
$(BUILD)/bench/bench_feed: $(RELAY_NET) $(BUILD)/bench/feed_contents.o
$(BUILD)/bench/load: $(BUILD)/bench/load_report.o
# The simulation of Raft replicas, used by a benchmark too.
$(BUILD)/bench/bench_raft: $(call object,$(wildcard tests/unit/raft_*.c))

units: $(UNITS)

generate:
	cd proto && protoc-c --c_out=../libcaraway/gen caraway.proto

format:
	clang-format -i $(OWN_SOURCES)

check-format:
	clang-format --dry-run --Werror $(OWN_SOURCES)

TIDY_SOURCES ?= $(filter %.c,$(OWN_SOURCES))
check-lint:
	printf '%s\n' $(TIDY_SOURCES) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 2>/dev/null' tidy

# Installs the programs, the library, its headers and the manual pages below PREFIX, within DESTDIR if it is set.
PREFIX ?= /usr/local
VERSION = 0.1
install: $(LIBRARY) $(PROGRAMS)
	install -d $(addprefix $(DESTDIR)$(PREFIX)/,bin lib/pkgconfig include/caraway/gen share/man/man1)
	$(if $(PROGRAMS),install $(PROGRAMS) $(DESTDIR)$(PREFIX)/bin)
	install -m 644 $(LIBRARY) $(DESTDIR)$(PREFIX)/lib
	install -m 644 libcaraway/libcaraway.h $(wildcard libcaraway/caraway_*.h) $(DESTDIR)$(PREFIX)/include/caraway
	install -m 644 libcaraway/gen/caraway.pb-c.h $(DESTDIR)$(PREFIX)/include/caraway/gen
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' -e 's|@PACKAGES@|$(PACKAGES)|' \
		libcaraway/libcaraway.pc.in >$(DESTDIR)$(PREFIX)/lib/pkgconfig/libcaraway.pc

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all soak units install generate format check-format check-lint clean
.SECONDARY: # keeps object files that make would delete as intermediate files
