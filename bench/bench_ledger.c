/*
 * Cost of the ledger and the catalog at several fleet sizes, as JSON lines:
 * processor time per operation in microseconds, and bytes per entry.
 *
 * A fleet of n VMs has n / 5 services with two routes each, spread over 40
 * selectors: one for every VM, 5 regions, 12 availability zones, 10 tracks
 * and 12 teams.  Usage: bench_ledger [-a CHANGES] [VMS]...; -a gives how many
 * changes are accepted ahead, a day's 5,200 when it is not given.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "libcaraway.h"

enum {
	REGIONS = 5,
	ZONES = 12,
	TRACKS = 10,
	TEAMS = 12,
	SELECTORS = 1 + REGIONS + ZONES + TRACKS + TEAMS,
	VMS_PER_SERVICE = 5,
	ROUTES_PER_SERVICE = 2,
	CHANGES_PER_DAY = 5200,
	ARCHIVE_CHANGES = 100000,
	ROUNDS = 100,
	KEEP_RECORDS = 1000
};

static const unsigned default_sizes[] = {500, 1000, 2000, 4000, 8700};

/* A fleet under measurement. */
typedef struct {
	unsigned vms;
	unsigned services;
	unsigned ahead; /* changes to accept ahead */
	cw_ledger_t *ledger;
	uint64_t number; /* last booked */
	int64_t now_ms;
} fleet_t;

/* Returns the processor time of the process in microseconds. */
static double cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Returns the bytes allocated now. */
static size_t allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Prints the time per operation since a start. */
static void print_us(const fleet_t *fleet, const char *what, double start_us, size_t count)
{
	printf("{\"bench\": \"ledger\", \"vms\": %u, \"what\": \"%s\", \"count\": %zu, \"cpu_us\": %.1f}\n",
	       fleet->vms, what, count, (cpu_us() - start_us) / (double)count);
}

/* Prints a number of bytes per entry. */
static void print_bytes(const fleet_t *fleet, const char *what, size_t bytes, size_t entries)
{
	printf("{\"bench\": \"ledger\", \"vms\": %u, \"what\": \"%s\", \"count\": %zu, \"bytes\": %.1f}\n",
	       fleet->vms, what, entries, (double)bytes / (double)entries);
}

/* Returns the text of one of the selectors; to be freed. */
static char *selector_text(unsigned i)
{
	if (i == 0)
		return g_strdup("");
	i -= 1;
	if (i < REGIONS)
		return g_strdup_printf("region=r%u", i);
	i -= REGIONS;
	if (i < ZONES)
		return g_strdup_printf("zone=z%u", i);
	i -= ZONES;
	if (i < TRACKS)
		return g_strdup_printf("track=t%u", i);
	return g_strdup_printf("team=g%u", i - TRACKS);
}

/* Applies a command, which must succeed. */
static void apply(const fleet_t *fleet, Caraway__Command *command)
{
	command->proposed_ms = fleet->now_ms;
	if (!cw_ledger_apply(fleet->ledger, command, NULL))
		return;
	fprintf(stderr, "bench_ledger: %s\n", cw_last_error_message());
	exit(1);
}

/* Registers a VM of a service. */
static void register_vm(const fleet_t *fleet, unsigned i)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Register body = CARAWAY__REGISTER__INIT;
	Caraway__Vm vm = CARAWAY__VM__INIT;

	vm.name = g_strdup_printf("vm%u", i);
	vm.zone = g_strdup_printf("z%u", i % ZONES);
	vm.region = g_strdup_printf("r%u", i % ZONES % REGIONS);
	vm.service = g_strdup_printf("service%u", i / VMS_PER_SERVICE);
	body.vm = &vm;
	command.body_case = CARAWAY__COMMAND__BODY_REGISTER_VM;
	command.register_vm = &body;
	apply(fleet, &command);
	g_free(vm.name);
	g_free(vm.zone);
	g_free(vm.region);
	g_free(vm.service);
}

/* Sets two labels of a VM. */
static void label_vm(const fleet_t *fleet, unsigned i, unsigned track, unsigned team)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__SetLabels body = CARAWAY__SET_LABELS__INIT;
	Caraway__Label labels[] = {CARAWAY__LABEL__INIT, CARAWAY__LABEL__INIT};
	Caraway__Label *list[] = {&labels[0], &labels[1]};

	labels[0].key = "track";
	labels[0].value = g_strdup_printf("t%u", track % TRACKS);
	labels[1].key = "team";
	labels[1].value = g_strdup_printf("g%u", team % TEAMS);
	body.vm = g_strdup_printf("vm%u", i);
	body.operator_name = "booker";
	body.n_labels = G_N_ELEMENTS(list);
	body.labels = list;
	command.body_case = CARAWAY__COMMAND__BODY_SET_LABELS;
	command.set_labels = &body;
	apply(fleet, &command);
	g_free(labels[0].value);
	g_free(labels[1].value);
	g_free(body.vm);
}

/* Appends a service with its routes to the text of a change file. */
static void append_service(GString *text, unsigned service, unsigned timeout_ms)
{
	g_string_append_printf(text, "[service service%u]\ntimeout-ms=%u\n", service, timeout_ms);
	for (unsigned i = 0; i < ROUTES_PER_SERVICE; i++)
		g_string_append_printf(text, "[route route%u-%u]\npath=/%u/%u\nservice=service%u\n", service,
				       i, service, i, service);
}

/* Returns the content of a change file whose selector is given; frees the selector. */
static Caraway__Content *parse_content(char *selector, const char *sections)
{
	char *text = g_strdup_printf("[change]\ntitle=bench\nselector=%s\n%s", selector, sections);
	Caraway__Content *content;

	if (cw_change_parse(text, strlen(text), "bench", &content)) {
		fprintf(stderr, "bench_ledger: %s\n", cw_last_error_message());
		exit(1);
	}
	g_free(text);
	g_free(selector);
	return content;
}

/* Returns a content that sets every service of a selector. */
static Caraway__Content *first_content(const fleet_t *fleet, unsigned selector)
{
	GString *text = g_string_new(NULL);
	Caraway__Content *content;

	for (unsigned i = selector; i < fleet->services; i += SELECTORS)
		append_service(text, i, 1000);
	content = parse_content(selector_text(selector), text->str);
	g_string_free(text, TRUE);
	return content;
}

/* Returns a content that sets one service and its routes anew. */
static Caraway__Content *small_content(const fleet_t *fleet, unsigned service)
{
	GString *text = g_string_new(NULL);
	Caraway__Content *content;

	service %= fleet->services;
	append_service(text, service, 1 + (unsigned)fleet->number % 1000);
	content = parse_content(selector_text(service % SELECTORS), text->str);
	g_string_free(text, TRUE);
	return content;
}

/* Books a content under the next number and frees it. */
static void book(fleet_t *fleet, int64_t due_ms, Caraway__Content *content)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Book body = CARAWAY__BOOK__INIT;

	body.number = ++fleet->number;
	body.operator_name = "booker";
	body.due_ms = due_ms;
	body.content = content;
	command.body_case = CARAWAY__COMMAND__BODY_BOOK;
	command.book = &body;
	apply(fleet, &command);
	cw_message_free(content);
}

/* Reviews a number. */
static void review(const fleet_t *fleet, uint64_t number)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Review body = CARAWAY__REVIEW__INIT;

	body.number = number;
	body.operator_name = "reviewer";
	command.body_case = CARAWAY__COMMAND__BODY_REVIEW;
	command.review = &body;
	apply(fleet, &command);
}

/* Activates a number. */
static void activate(const fleet_t *fleet, uint64_t number)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Activate body = CARAWAY__ACTIVATE__INIT;

	body.number = number;
	command.body_case = CARAWAY__COMMAND__BODY_ACTIVATE;
	command.activate = &body;
	apply(fleet, &command);
}

/* Puts a content in force at once. */
static void put_in_force(fleet_t *fleet, Caraway__Content *content)
{
	book(fleet, 0, content);
	review(fleet, fleet->number);
	activate(fleet, fleet->number);
}

/* Registers and labels the VMs, measured, and puts the first contents in force. */
static void fill(fleet_t *fleet)
{
	size_t before = allocated();
	double start_us = cpu_us();

	for (unsigned i = 0; i < fleet->vms; i++)
		register_vm(fleet, i);
	print_us(fleet, "register", start_us, fleet->vms);
	for (unsigned i = 0; i < fleet->vms; i++)
		label_vm(fleet, i, i / ZONES, i / ZONES / TRACKS);
	print_bytes(fleet, "memory per VM", allocated() - before, fleet->vms);
	before = allocated();
	for (unsigned i = 0; i < SELECTORS; i++)
		put_in_force(fleet, first_content(fleet, i));
	print_bytes(fleet, "memory per section, with its change", allocated() - before,
		    (size_t)fleet->services * (1 + ROUTES_PER_SERVICE));
}

/* Measures the life of small changes that are booked, reviewed and activated one after another. */
static void measure_life(fleet_t *fleet, const char *const names[3])
{
	double start_us = cpu_us();
	uint64_t first = fleet->number + 1;

	for (unsigned i = 0; i < ROUNDS; i++)
		book(fleet, 0, small_content(fleet, i * 7));
	print_us(fleet, names[0], start_us, ROUNDS);
	start_us = cpu_us();
	for (unsigned i = 0; i < ROUNDS; i++)
		review(fleet, first + i);
	print_us(fleet, names[1], start_us, ROUNDS);
	start_us = cpu_us();
	for (unsigned i = 0; i < ROUNDS; i++)
		activate(fleet, first + i);
	print_us(fleet, names[2], start_us, ROUNDS);
}

/* Measures changes whose selector is new, and each of which leaves a selector behind. */
static void measure_new_selectors(fleet_t *fleet)
{
	double start_us = cpu_us();

	for (unsigned i = 0; i < ROUNDS / 10; i++)
		put_in_force(fleet, parse_content(g_strdup_printf("vm=vm%u", i), "[service extra]\n"));
	print_us(fleet, "change with a new selector", start_us, ROUNDS / 10);
	for (unsigned i = 0; i < ROUNDS / 10; i++)
		put_in_force(fleet,
			     parse_content(g_strdup_printf("vm=vm%u", i), "[service extra]\nremove=true\n"));
}

/* Accepts changes ahead, measured. */
static void accept_ahead(fleet_t *fleet)
{
	size_t before = allocated();
	double start_us = cpu_us();

	for (unsigned i = 0; i < fleet->ahead; i++) {
		book(fleet, fleet->now_ms + 1000 + i, small_content(fleet, i * 13));
		review(fleet, fleet->number);
	}
	print_us(fleet, "book and review ahead", start_us, fleet->ahead);
	print_bytes(fleet, "memory per accepted change", allocated() - before, fleet->ahead);
}

/* Returns the length of a snapshot. */
static size_t snapshot_bytes(const fleet_t *fleet)
{
	GBytes *saved = cw_ledger_save(fleet->ledger);
	size_t length = g_bytes_get_size(saved);

	g_bytes_unref(saved);
	return length;
}

/* Measures what a finished change leaves behind, once earlier ones fill what is kept of the last. */
static void measure_finished(fleet_t *fleet)
{
	size_t before;
	size_t snapshot_before;

	for (unsigned i = 0; i < CHANGES_PER_DAY; i++)
		put_in_force(fleet, small_content(fleet, i * 11));
	before = allocated();
	snapshot_before = snapshot_bytes(fleet);
	for (unsigned i = 0; i < CHANGES_PER_DAY; i++)
		put_in_force(fleet, small_content(fleet, i * 11));
	print_bytes(fleet, "memory per finished change", allocated() - before, CHANGES_PER_DAY);
	print_bytes(fleet, "snapshot per finished change", snapshot_bytes(fleet) - snapshot_before,
		    CHANGES_PER_DAY);
}

/* Measures labels that are set and registrations that change nothing. */
static void measure_vms(fleet_t *fleet, const char *label_name, unsigned offset)
{
	double start_us = cpu_us();

	for (unsigned i = 0; i < ROUNDS; i++)
		label_vm(fleet, i, i + offset, i + 2 * offset);
	print_us(fleet, label_name, start_us, ROUNDS);
	start_us = cpu_us();
	for (unsigned i = 0; i < ROUNDS; i++)
		register_vm(fleet, i);
	print_us(fleet, "register again", start_us, ROUNDS);
}

/* Measures the registration of as many VMs again. */
static void measure_new_vms(fleet_t *fleet)
{
	double start_us = cpu_us();

	for (unsigned i = 0; i < fleet->vms; i++)
		register_vm(fleet, fleet->vms + i);
	print_us(fleet, "register new, changes accepted ahead", start_us, fleet->vms);
}

/* Measures the whole check, the configuration of one VM, and saving and loading. */
static void measure_whole(fleet_t *fleet)
{
	const cw_catalog_t *catalog = cw_feed_catalog(cw_ledger_feed(fleet->ledger));
	cw_ledger_t *loaded = cw_ledger_new(KEEP_RECORDS);
	double start_us = cpu_us();
	GBytes *saved;
	gsize length;
	const void *data;

	if (cw_catalog_check(catalog))
		exit(1);
	print_us(fleet, "whole check", start_us, 1);
	start_us = cpu_us();
	for (unsigned i = 0; i < ROUNDS; i++)
		cw_config_free(cw_catalog_resolve(catalog, cw_catalog_vm(catalog, "vm1")));
	print_us(fleet, "resolve", start_us, ROUNDS);
	start_us = cpu_us();
	saved = cw_ledger_save(fleet->ledger);
	print_us(fleet, "save", start_us, 1);
	data = g_bytes_get_data(saved, &length);
	print_bytes(fleet, "snapshot", length, 1);
	start_us = cpu_us();
	if (cw_ledger_load(loaded, data, length))
		exit(1);
	print_us(fleet, "load", start_us, 1);
	g_bytes_unref(saved);
	cw_ledger_free(loaded);
}

/* Measures one fleet size. */
static void measure(unsigned vms, unsigned ahead_count)
{
	static const char *const alone[] = {"book", "review", "activate"};
	static const char *const ahead[] = {"book, changes accepted ahead", "review, changes accepted ahead",
					    "activate, changes accepted ahead"};
	fleet_t fleet = {
		.vms = vms, .services = vms / VMS_PER_SERVICE, .ahead = ahead_count, .now_ms = 1000000};

	fleet.ledger = cw_ledger_new(KEEP_RECORDS);
	fill(&fleet);
	measure_life(&fleet, alone);
	measure_new_selectors(&fleet);
	measure_vms(&fleet, "label", 1);
	measure_finished(&fleet);
	accept_ahead(&fleet);
	measure_life(&fleet, ahead);
	measure_vms(&fleet, "label, changes accepted ahead", 2);
	measure_new_vms(&fleet);
	measure_whole(&fleet);
	cw_ledger_free(fleet.ledger);
}

/* Books and withdraws changes. */
static void withdraw_many(fleet_t *fleet, unsigned count)
{
	for (unsigned i = 0; i < count; i++) {
		Caraway__Command command = CARAWAY__COMMAND__INIT;
		Caraway__Withdraw body = CARAWAY__WITHDRAW__INIT;

		book(fleet, 0, parse_content(g_strdup(""), "[service s]\n"));
		body.number = fleet->number;
		body.operator_name = "reviewer";
		command.body_case = CARAWAY__COMMAND__BODY_WITHDRAW;
		command.withdraw = &body;
		apply(fleet, &command);
	}
}

/* Measures what a change that finished long ago leaves behind for good. */
static void measure_archive(void)
{
	fleet_t fleet = {.ledger = cw_ledger_new(KEEP_RECORDS)};
	size_t before;
	size_t snapshot_before;

	withdraw_many(&fleet, ARCHIVE_CHANGES);
	before = allocated();
	snapshot_before = snapshot_bytes(&fleet);
	withdraw_many(&fleet, ARCHIVE_CHANGES);
	print_bytes(&fleet, "memory per archived change", allocated() - before, ARCHIVE_CHANGES);
	print_bytes(&fleet, "snapshot per archived change", snapshot_bytes(&fleet) - snapshot_before,
		    ARCHIVE_CHANGES);
	cw_ledger_free(fleet.ledger);
}

/* Measures what a proxy holds of each change that is staged ahead. */
static void measure_staged(void)
{
	fleet_t fleet = {.services = 1};
	cw_feed_t *feed = cw_feed_new(1);
	size_t before = allocated();

	for (unsigned i = 1; i <= CHANGES_PER_DAY; i++) {
		Caraway__Content *content = small_content(&fleet, i);

		cw_feed_stage(feed, i, content);
		cw_message_free(content);
	}
	print_bytes(&fleet, "memory per change staged on a proxy", allocated() - before, CHANGES_PER_DAY);
	cw_feed_free(feed);
}

/* Measures the sizes given, or the default ones. */
int main(int argc, char **argv)
{
	unsigned ahead = CHANGES_PER_DAY;
	int first = 1;

	if (argc > 2 && !strcmp(argv[1], "-a")) {
		ahead = (unsigned)strtoul(argv[2], NULL, 10);
		first = 3;
	}
	for (int i = first; i < argc; i++)
		measure((unsigned)strtoul(argv[i], NULL, 10), ahead);
	for (size_t i = 0; first == argc && i < G_N_ELEMENTS(default_sizes); i++)
		measure(default_sizes[i], ahead);
	measure_archive();
	measure_staged();
	return 0;
}
