/*
 * Benchmark of complete configurations.  Prints a JSON line for each number of routes and each stage of a
 * replacement: its processor time, for the configuration itself and for one that changes a single route of it.
 *
 * Usage: bench_release [ROUTES...], by default 1680 and 10000.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../platform/codec.h"

enum { SERVICES = 3, DEFAULT_ROUTES = 1680, LARGE_ROUTES = 9990, CHANGES = 20 };

/* The stages of a replacement on the leader; followers have STAGE_UNPACK, STAGE_APPLY and STAGE_SAVE alone. */
typedef enum {
	STAGE_DECODE,	  /* the body: JSON to message, checked, with its digest */
	STAGE_DIFFERENCE, /* from the release in force */
	STAGE_PACK,
	STAGE_UNPACK,
	STAGE_APPLY,
	STAGE_ENCODE, /* the body of a reading */
	STAGE_SAVE,   /* a snapshot of the ledger */
	STAGE_COUNT
} stage_t;

static const char *const stage_names[STAGE_COUNT] = {"decode", "difference", "pack", "unpack",
						     "apply",  "encode",     "save"};

/* Returns the processor time of this process in milliseconds. */
static double cpu_ms(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

/* Appends a service in the platform's format. */
static void append_service(GString *body, unsigned number)
{
	g_string_append_printf(
		body,
		"{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"service-%u\"},"
		"\"spec\":{\"health_path\":\"/health\",\"max_connections\":100,\"tls\":false}},",
		number);
}

/* Appends a route in the platform's format. */
static void append_route(GString *body, unsigned number, unsigned priority)
{
	g_string_append_printf(body,
			       "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-%06u\"},\"spec\":{"
			       "\"host\":\"a%u.example\",\"path_prefix\":\"/p%u/\",\"kind\":\"safe\","
			       "\"timeout_s\":1,\"target_latency_s\":0.4,\"priority\":%u,\"max_attempts\":2,"
			       "\"service\":\"service-%u\"}},",
			       number, number, number, priority, number % SERVICES);
}

/* Returns the body of a release; its number also changes the priority of the first route. */
static GByteArray *body_new(unsigned release, unsigned routes)
{
	GString *body = g_string_new(NULL);
	gsize length;

	g_string_printf(body, "{\"version\":\"%08x\",\"base_version\":\"%08x\",\"resources\":[", release,
			release - 1);
	for (unsigned i = 0; i < SERVICES; i++)
		append_service(body, i);
	for (unsigned i = 0; i < routes; i++)
		append_route(body, i, i ? 1 : release);
	g_string_truncate(body, body->len - 1);
	g_string_append(body, "]}");
	length = body->len;
	return g_byte_array_new_take((guint8 *)g_string_free(body, FALSE), length);
}

/* Adds the time since *start_ms to a stage and sets *start_ms to now. */
static void add_stage(double *stages, stage_t stage, double *start_ms)
{
	double now_ms = cpu_ms();

	stages[stage] += now_ms - *start_ms;
	*start_ms = now_ms;
}

/* What is kept from one replacement to the next. */
typedef struct {
	release_reader_cache_t *reader;
	release_writer_cache_t *writer;
} caches_t;

/* Decodes a body; ends the program when that fails. */
static control_replacement_t *decode(const GByteArray *body, release_reader_cache_t *cache)
{
	release_reader_t *reader = release_reader_new(g_memdup2(body->data, body->len), body->len, cache);
	control_replacement_t *replacement;
	size_t budget = SIZE_MAX;

	while (!release_reader_continue(reader, &budget))
		;
	if (release_reader_finish(reader, &replacement) != CW_OK)
		g_error("%s", cw_last_error_message());
	return replacement;
}

/* Returns the body of a reading. */
static char *encode(cw_ledger_t *ledger, release_writer_cache_t *cache)
{
	release_writer_t *writer = release_writer_new(cw_ledger_release_in_force(ledger),
						      cw_ledger_release_config(ledger), cache);
	size_t budget = SIZE_MAX;

	while (!release_writer_continue(writer, &budget))
		;
	return release_writer_finish(writer);
}

/* Puts a body in force in the ledger by the stages of a replacement, and adds their times. */
static void replace(cw_ledger_t *ledger, const GByteArray *body, const caches_t *caches, double *stages)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Replace fields = CARAWAY__REPLACE__INIT;
	double start_ms = cpu_ms();
	control_replacement_t *replacement = decode(body, caches->reader);
	cw_difference_t *difference;
	Caraway__Command *unpacked;
	GBytes *packed;
	gsize length;
	const uint8_t *data;

	add_stage(stages, STAGE_DECODE, &start_ms);
	difference = cw_ledger_release_difference(ledger, replacement->content);
	fields.content = difference->content;
	add_stage(stages, STAGE_DIFFERENCE, &start_ms);
	fields.operator_name = (char *)"operator";
	fields.approval = (char *)"standing";
	fields.release = replacement->release;
	fields.base_release = replacement->base_release;
	fields.digest = replacement->digest;
	command.body_case = CARAWAY__COMMAND__BODY_REPLACE;
	command.replace = &fields;
	packed = cw_message_pack(&command.base);
	add_stage(stages, STAGE_PACK, &start_ms);
	data = g_bytes_get_data(packed, &length);
	unpacked = caraway__command__unpack(NULL, length, data);
	add_stage(stages, STAGE_UNPACK, &start_ms);
	if (cw_ledger_apply(ledger, unpacked, NULL) != CW_OK)
		g_error("%s", cw_last_error_message());
	add_stage(stages, STAGE_APPLY, &start_ms);
	g_free(encode(ledger, caches->writer));
	add_stage(stages, STAGE_ENCODE, &start_ms);
	g_bytes_unref(cw_ledger_save(ledger));
	add_stage(stages, STAGE_SAVE, &start_ms);
	cw_difference_free(difference);
	cw_message_free(unpacked);
	g_bytes_unref(packed);
	control_replacement_free(replacement);
}

/* Prints the times of the stages, each a mean over a number of replacements. */
static void print_stages(const char *what, unsigned routes, const double *stages, unsigned count)
{
	printf("{\"routes\": %u, \"replacement\": \"%s\"", routes, what);
	for (int stage = 0; stage < STAGE_COUNT; stage++)
		printf(", \"%s_ms\": %.3f", stage_names[stage], stages[stage] / count);
	printf("}\n");
}

/* Measures a configuration with a number of routes, then changes of one route of it. */
static void measure(unsigned routes)
{
	const caches_t caches = {release_reader_cache_new(), release_writer_cache_new()};
	cw_ledger_t *ledger = cw_ledger_new(1000);
	double first[STAGE_COUNT] = {0};
	double change[STAGE_COUNT] = {0};
	Caraway__Vm vm = CARAWAY__VM__INIT;

	vm.name = (char *)"vm-1";
	vm.zone = (char *)"zone";
	vm.region = (char *)"region";
	vm.service = (char *)"service-0";
	cw_feed_set_vm(cw_ledger_feed(ledger), &vm);
	for (unsigned release = 1; release <= 1 + CHANGES; release++) {
		g_autoptr(GByteArray) body = body_new(release, routes);

		replace(ledger, body, &caches, release == 1 ? first : change);
	}
	print_stages("complete", routes, first, 1);
	print_stages("one route", routes, change, CHANGES);
	cw_ledger_free(ledger);
	release_reader_cache_free(caches.reader);
	release_writer_cache_free(caches.writer);
}

/* Runs the benchmark. */
int main(int argc, char **argv)
{
	if (argc < 2) {
		measure(DEFAULT_ROUTES);
		measure(LARGE_ROUTES);
	}
	for (int i = 1; i < argc; i++)
		measure((unsigned)strtoul(argv[i], NULL, 10));
	return 0;
}
