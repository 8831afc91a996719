/*
 * Benchmark of the ledger and the catalog at several fleet sizes.  Prints JSON
 * lines: processor time per operation in microseconds, and bytes per entry.
 *
 * A fleet of n VMs has n / 5 services with two routes each, spread over 40
 * selectors: one that selects every VM, 5 regions, 12 availability zones, 10
 * tracks and 12 teams.  Usage: bench_ledger [-a CHANGES] [VMS]...; -a sets the
 * number of changes accepted ahead of their due time, by default 5,200, those
 * of one day.
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
	OPERATIONS = 100,   /* timed together */
	KEEP_RECORDS = 1000 /* of the feed */
};

/* Fleet sizes in VMs. */
static const unsigned default_sizes[] = {500, 1000, 2000, 4000, 8700};

/* A fleet that is measured, and its ledger. */
typedef struct {
	unsigned vms;
	unsigned services;
	unsigned ahead_count; /* changes to accept ahead of their due time */
	cw_ledger_t *ledger;
	uint64_t last_number; /* of the change booked last */
	int64_t now_ms;
} fleet_t;

/* Returns the processor time that the process has used, in microseconds. */
static double cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Returns the number of bytes currently allocated on the heap. */
static size_t allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Prints the processor time per operation since start_us. */
static void print_us(const fleet_t *fleet, const char *what, double start_us, size_t count)
{
	printf("{\"bench\": \"ledger\", \"vms\": %u, \"what\": \"%s\", \"count\": %zu, \"cpu_us\": %.1f}\n",
	       fleet->vms, what, count, (cpu_us() - start_us) / (double)count);
}

/* Prints the number of bytes per entry. */
static void print_bytes(const fleet_t *fleet, const char *what, size_t bytes, size_t entries)
{
	printf("{\"bench\": \"ledger\", \"vms\": %u, \"what\": \"%s\", \"count\": %zu, \"bytes\": %.1f}\n",
	       fleet->vms, what, entries, (double)bytes / (double)entries);
}

/* Returns the text of selector number i, below SELECTORS; the caller frees it. */
static char *make_selector(unsigned i)
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

/* Applies a command to the ledger; exits if it fails. */
static void apply_command(const fleet_t *fleet, Caraway__Command *command)
{
	command->proposed_ms = fleet->now_ms;
	if (!cw_ledger_apply(fleet->ledger, command, NULL))
		return;
	fprintf(stderr, "bench_ledger: %s\n", cw_last_error_message());
	exit(1);
}

/* Registers VM number i; its zone, region and service follow from the number. */
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
	apply_command(fleet, &command);
	g_free(vm.name);
	g_free(vm.zone);
	g_free(vm.region);
	g_free(vm.service);
}

/* Sets the labels "track" and "team" of VM number i. */
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
	apply_command(fleet, &command);
	g_free(labels[0].value);
	g_free(labels[1].value);
	g_free(body.vm);
}

/* Appends the sections of a service and its routes to the text of a change file. */
static void append_service(GString *text, unsigned service, unsigned timeout_ms)
{
	g_string_append_printf(text, "[service service%u]\ntimeout-ms=%u\n", service, timeout_ms);
	for (unsigned i = 0; i < ROUTES_PER_SERVICE; i++)
		g_string_append_printf(text, "[route route%u-%u]\npath=/%u/%u\nservice=service%u\n", service,
				       i, service, i, service);
}

/* Parses a change file made of a selector and sections; frees the selector. */
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

/* Returns the content of a change that sets all services of one selector. */
static Caraway__Content *initial_content(const fleet_t *fleet, unsigned selector)
{
	GString *text = g_string_new(NULL);
	Caraway__Content *content;

	for (unsigned i = selector; i < fleet->services; i += SELECTORS)
		append_service(text, i, 1000);
	content = parse_content(make_selector(selector), text->str);
	g_string_free(text, TRUE);
	return content;
}

/* Returns the content of a change that sets one service again, with another timeout, and its routes. */
static Caraway__Content *one_service_content(const fleet_t *fleet, unsigned service)
{
	GString *text = g_string_new(NULL);
	Caraway__Content *content;

	service %= fleet->services;
	append_service(text, service, 1 + (unsigned)fleet->last_number % 1000);
	content = parse_content(make_selector(service % SELECTORS), text->str);
	g_string_free(text, TRUE);
	return content;
}

/* Books a change under the next number and frees its content. */
static void book_change(fleet_t *fleet, int64_t due_ms, Caraway__Content *content)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Book body = CARAWAY__BOOK__INIT;

	body.number = ++fleet->last_number;
	body.operator_name = "booker";
	body.due_ms = due_ms;
	body.content = content;
	command.body_case = CARAWAY__COMMAND__BODY_BOOK;
	command.book = &body;
	apply_command(fleet, &command);
	cw_message_free(content);
}

/* Reviews, and so accepts, a booked change. */
static void review_change(const fleet_t *fleet, uint64_t number)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Review body = CARAWAY__REVIEW__INIT;

	body.number = number;
	body.operator_name = "reviewer";
	command.body_case = CARAWAY__COMMAND__BODY_REVIEW;
	command.review = &body;
	apply_command(fleet, &command);
}

/* Activates an accepted change. */
static void activate_change(const fleet_t *fleet, uint64_t number)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Activate body = CARAWAY__ACTIVATE__INIT;

	body.number = number;
	command.body_case = CARAWAY__COMMAND__BODY_ACTIVATE;
	command.activate = &body;
	apply_command(fleet, &command);
}

/* Books, reviews and activates a change. */
static void put_in_force(fleet_t *fleet, Caraway__Content *content)
{
	book_change(fleet, 0, content);
	review_change(fleet, fleet->last_number);
	activate_change(fleet, fleet->last_number);
}

/* Registers and labels the VMs and sets all services; measures time per registration and the memory. */
static void set_up_fleet(fleet_t *fleet)
{
	size_t before = allocated_bytes();
	double start_us = cpu_us();

	for (unsigned i = 0; i < fleet->vms; i++)
		register_vm(fleet, i);
	print_us(fleet, "register", start_us, fleet->vms);
	for (unsigned i = 0; i < fleet->vms; i++)
		label_vm(fleet, i, i / ZONES, i / ZONES / TRACKS);
	print_bytes(fleet, "memory per VM", allocated_bytes() - before, fleet->vms);
	before = allocated_bytes();
	for (unsigned i = 0; i < SELECTORS; i++)
		put_in_force(fleet, initial_content(fleet, i));
	print_bytes(fleet, "memory per section, with its change", allocated_bytes() - before,
		    (size_t)fleet->services * (1 + ROUTES_PER_SERVICE));
}

/* Measures booking, reviewing and activating small changes; names[] are printed for the three steps. */
static void measure_steps(fleet_t *fleet, const char *const names[3])
{
	double start_us = cpu_us();
	uint64_t first = fleet->last_number + 1;

	for (unsigned i = 0; i < OPERATIONS; i++)
		book_change(fleet, 0, one_service_content(fleet, i * 7));
	print_us(fleet, names[0], start_us, OPERATIONS);
	start_us = cpu_us();
	for (unsigned i = 0; i < OPERATIONS; i++)
		review_change(fleet, first + i);
	print_us(fleet, names[1], start_us, OPERATIONS);
	start_us = cpu_us();
	for (unsigned i = 0; i < OPERATIONS; i++)
		activate_change(fleet, first + i);
	print_us(fleet, names[2], start_us, OPERATIONS);
}

/*
 * Measures changes with new selectors.  Each leaves a layer for its selector in
 * the catalog, so further changes, outside the measured time, remove the section again.
 */
static void measure_new_selectors(fleet_t *fleet)
{
	double start_us = cpu_us();

	for (unsigned i = 0; i < OPERATIONS / 10; i++)
		put_in_force(fleet, parse_content(g_strdup_printf("vm=vm%u", i), "[service extra]\n"));
	print_us(fleet, "change with a new selector", start_us, OPERATIONS / 10);
	for (unsigned i = 0; i < OPERATIONS / 10; i++)
		put_in_force(fleet,
			     parse_content(g_strdup_printf("vm=vm%u", i), "[service extra]\nremove=true\n"));
}

/* Accepts changes ahead of their due time; measures time and memory. */
static void measure_ahead(fleet_t *fleet)
{
	size_t before = allocated_bytes();
	double start_us = cpu_us();

	for (unsigned i = 0; i < fleet->ahead_count; i++) {
		book_change(fleet, fleet->now_ms + 1000 + i, one_service_content(fleet, i * 13));
		review_change(fleet, fleet->last_number);
	}
	print_us(fleet, "book and review ahead", start_us, fleet->ahead_count);
	print_bytes(fleet, "memory per accepted change", allocated_bytes() - before, fleet->ahead_count);
}

/* Returns the size of a snapshot of the ledger in bytes. */
static size_t snapshot_size(const fleet_t *fleet)
{
	GBytes *saved = cw_ledger_save(fleet->ledger);
	size_t length = g_bytes_get_size(saved);

	g_bytes_unref(saved);
	return length;
}

/*
 * Measures the memory and snapshot bytes that a finished change leaves in the
 * ledger.  A day's changes finish first, since only a limited number of the
 * latest finished changes keep their content.
 */
static void measure_finished_changes(fleet_t *fleet)
{
	size_t before;
	size_t snapshot_before;

	for (unsigned i = 0; i < CHANGES_PER_DAY; i++)
		put_in_force(fleet, one_service_content(fleet, i * 11));
	before = allocated_bytes();
	snapshot_before = snapshot_size(fleet);
	for (unsigned i = 0; i < CHANGES_PER_DAY; i++)
		put_in_force(fleet, one_service_content(fleet, i * 11));
	print_bytes(fleet, "memory per finished change", allocated_bytes() - before, CHANGES_PER_DAY);
	print_bytes(fleet, "snapshot per finished change", snapshot_size(fleet) - snapshot_before,
		    CHANGES_PER_DAY);
}

/* Measures setting labels, and registrations of VMs that are registered already. */
static void measure_vm_updates(fleet_t *fleet, const char *what, unsigned offset)
{
	double start_us = cpu_us();

	for (unsigned i = 0; i < OPERATIONS; i++)
		label_vm(fleet, i, i + offset, i + 2 * offset);
	print_us(fleet, what, start_us, OPERATIONS);
	start_us = cpu_us();
	for (unsigned i = 0; i < OPERATIONS; i++)
		register_vm(fleet, i);
	print_us(fleet, "register again", start_us, OPERATIONS);
}

/* Measures the registration of as many further VMs. */
static void measure_registrations(fleet_t *fleet)
{
	double start_us = cpu_us();

	for (unsigned i = 0; i < fleet->vms; i++)
		register_vm(fleet, fleet->vms + i);
	print_us(fleet, "register new, changes accepted ahead", start_us, fleet->vms);
}

/* Measures the check of the whole catalog, resolving the configuration of one VM, and saving and loading. */
static void measure_check_and_save(fleet_t *fleet)
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
	for (unsigned i = 0; i < OPERATIONS; i++)
		cw_config_free(cw_catalog_resolve(catalog, cw_catalog_vm(catalog, "vm1")));
	print_us(fleet, "resolve", start_us, OPERATIONS);
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

/* Runs all measurements of one fleet size. */
static void measure_fleet(unsigned vms, unsigned ahead_count)
{
	static const char *const step_names[] = {"book", "review", "activate"};
	static const char *const ahead_names[] = {"book, changes accepted ahead",
						  "review, changes accepted ahead",
						  "activate, changes accepted ahead"};
	fleet_t fleet = {
		.vms = vms, .services = vms / VMS_PER_SERVICE, .ahead_count = ahead_count, .now_ms = 1000000};

	fleet.ledger = cw_ledger_new(KEEP_RECORDS);
	set_up_fleet(&fleet);
	measure_steps(&fleet, step_names);
	measure_new_selectors(&fleet);
	measure_vm_updates(&fleet, "label", 1);
	measure_finished_changes(&fleet);
	measure_ahead(&fleet);
	measure_steps(&fleet, ahead_names);
	measure_vm_updates(&fleet, "label, changes accepted ahead", 2);
	measure_registrations(&fleet);
	measure_check_and_save(&fleet);
	cw_ledger_free(fleet.ledger);
}

/* Books changes and withdraws each at once. */
static void withdraw_changes(fleet_t *fleet, unsigned count)
{
	for (unsigned i = 0; i < count; i++) {
		Caraway__Command command = CARAWAY__COMMAND__INIT;
		Caraway__Withdraw body = CARAWAY__WITHDRAW__INIT;

		book_change(fleet, 0, parse_content(g_strdup(""), "[service s]\n"));
		body.number = fleet->last_number;
		body.operator_name = "reviewer";
		command.body_case = CARAWAY__COMMAND__BODY_WITHDRAW;
		command.withdraw = &body;
		apply_command(fleet, &command);
	}
}

/* Measures the memory and snapshot bytes that an archived change takes; these are never freed. */
static void measure_archived_changes(void)
{
	fleet_t fleet = {.ledger = cw_ledger_new(KEEP_RECORDS)};
	size_t before;
	size_t snapshot_before;

	withdraw_changes(&fleet, ARCHIVE_CHANGES);
	before = allocated_bytes();
	snapshot_before = snapshot_size(&fleet);
	withdraw_changes(&fleet, ARCHIVE_CHANGES);
	print_bytes(&fleet, "memory per archived change", allocated_bytes() - before, ARCHIVE_CHANGES);
	print_bytes(&fleet, "snapshot per archived change", snapshot_size(&fleet) - snapshot_before,
		    ARCHIVE_CHANGES);
	cw_ledger_free(fleet.ledger);
}

/* Measures the memory that a proxy needs for each change staged ahead of its due time. */
static void measure_staged_changes(void)
{
	fleet_t fleet = {.services = 1};
	cw_feed_t *feed = cw_feed_new(1);
	size_t before = allocated_bytes();

	for (unsigned i = 1; i <= CHANGES_PER_DAY; i++) {
		Caraway__Content *content = one_service_content(&fleet, i);

		cw_feed_stage(feed, i, content);
		cw_message_free(content);
	}
	print_bytes(&fleet, "memory per change staged on a proxy", allocated_bytes() - before,
		    CHANGES_PER_DAY);
	cw_feed_free(feed);
}

/* Measures the fleet sizes given, or the default ones, then the archive and staged changes. */
int main(int argc, char **argv)
{
	unsigned ahead = CHANGES_PER_DAY;
	int first = 1;

	if (argc > 2 && !strcmp(argv[1], "-a")) {
		ahead = (unsigned)strtoul(argv[2], NULL, 10);
		first = 3;
	}
	for (int i = first; i < argc; i++)
		measure_fleet((unsigned)strtoul(argv[i], NULL, 10), ahead);
	for (size_t i = 0; first == argc && i < G_N_ELEMENTS(default_sizes); i++)
		measure_fleet(default_sizes[i], ahead);
	measure_archived_changes();
	measure_staged_changes();
	return 0;
}
