/*
 * Runs the data plane of one proxy without a control plane, for tests and
 * benchmarks: its view is read from an INI file, and again when that changes.
 *
 *   [endpoint VM]                        [route NAME]
 *   zone, region, service, address       path, service
 *   incarnation, slots                   idempotence = by-method|always|never
 *   draining = true|false                timeout-ms
 *
 * Other sections are ignored.  Prints one JSON line with its addresses and incarnation.
 * SIGTERM is a planned stop.  SIGUSR1 prints the counters as a JSON line;
 * they are also printed on exit.
 */
#include <argp.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <urcu/urcu-memb.h>

#include "clock.h"
#include "counters.h"
#include "traffic.h"

enum { POLL_US = 10000, DRAIN_NOTICE_MS = 300 };

/* Values of the command line. */
typedef struct {
	proxy_settings_t proxy;
	uint64_t incarnation;
	const char *view_file;
	int drain_notice_ms; /* time to continue serving after SIGTERM */
} options_t;

static volatile sig_atomic_t stopping;
static volatile sig_atomic_t counters_requested;

/* Returns the string value of a key, "" when it is absent. */
static char *read_text(GKeyFile *file, const char *group, const char *key)
{
	char *text = g_key_file_get_string(file, group, key, NULL);

	return text ? text : g_strdup("");
}

/* Returns the string value of a key, allocated with malloc() for a message that frees it. */
static char *copy_text(GKeyFile *file, const char *group, const char *key)
{
	g_autofree char *text = read_text(file, group, key);

	return strdup(text);
}

/* Reads the endpoint of a section "endpoint VM". */
static Caraway__Endpoint *read_endpoint(GKeyFile *file, const char *group)
{
	Caraway__Endpoint *endpoint = malloc(sizeof(*endpoint));

	caraway__endpoint__init(endpoint);
	endpoint->vm = strdup(group + strlen("endpoint "));
	endpoint->zone = copy_text(file, group, "zone");
	endpoint->region = copy_text(file, group, "region");
	endpoint->service = copy_text(file, group, "service");
	endpoint->call_address = copy_text(file, group, "address");
	endpoint->incarnation = g_key_file_get_uint64(file, group, "incarnation", NULL);
	endpoint->slots = (uint32_t)g_key_file_get_uint64(file, group, "slots", NULL);
	if (g_key_file_get_boolean(file, group, "draining", NULL))
		endpoint->state = CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING;
	return endpoint;
}

/* Reads the route of a section "route NAME". */
static Caraway__Route *read_route(GKeyFile *file, const char *group)
{
	g_autofree char *idempotence_name = read_text(file, group, "idempotence");
	Caraway__Route *route = malloc(sizeof(*route));

	caraway__route__init(route);
	route->name = strdup(group + strlen("route "));
	route->path = copy_text(file, group, "path");
	route->service = copy_text(file, group, "service");
	route->timeout_ms = (uint32_t)g_key_file_get_uint64(file, group, "timeout-ms", NULL);
	if (!strcmp(idempotence_name, "always"))
		route->idempotence = CARAWAY__IDEMPOTENCE__ALWAYS;
	else if (!strcmp(idempotence_name, "never"))
		route->idempotence = CARAWAY__IDEMPOTENCE__NEVER;
	return route;
}

/* Reads the routes of a file into a content and its endpoints into an array. */
static void read_sections(GKeyFile *file, Caraway__Content *content, GPtrArray *endpoints)
{
	gsize count;
	g_auto(GStrv) groups = g_key_file_get_groups(file, &count);

	content->routes = cw_message_array(count);
	for (gsize i = 0; i < count; i++)
		if (g_str_has_prefix(groups[i], "endpoint "))
			g_ptr_array_add(endpoints, read_endpoint(file, groups[i]));
		else if (g_str_has_prefix(groups[i], "route "))
			content->routes[content->n_routes++] = read_route(file, groups[i]);
}

/* Reads a view from a file; returns NULL when the file cannot be read. */
static view_t *read_view(const char *name)
{
	g_autoptr(GKeyFile) file = g_key_file_new();
	g_autoptr(GPtrArray) endpoints = g_ptr_array_new_with_free_func(cw_message_free);
	Caraway__Content *content;
	Caraway__Vm vm = CARAWAY__VM__INIT;
	cw_catalog_t *catalog;
	view_t *view;

	if (!g_key_file_load_from_file(file, name, G_KEY_FILE_NONE, NULL))
		return NULL;
	content = malloc(sizeof(*content));
	caraway__content__init(content);
	read_sections(file, content, endpoints);
	catalog = cw_catalog_new();
	cw_catalog_apply(catalog, content, 1, 1);
	view = view_new(catalog, &vm, endpoints);
	cw_catalog_free(catalog);
	cw_message_free(content);
	return view;
}

/* Publishes the view when its file has changed; *published_text is the text of the published view. */
static void reload_view(const options_t *options, published_view_t *published_view, char **published_text)
{
	char *text = NULL;
	view_t *view;

	if (!g_file_get_contents(options->view_file, &text, NULL, NULL) ||
	    !g_strcmp0(text, *published_text)) {
		g_free(text);
		return;
	}
	view = read_view(options->view_file);
	if (view) {
		published_view_replace(published_view, view);
		g_free(*published_text);
		*published_text = text;
	} else {
		g_free(text);
	}
}

/* Prints the counters that are not 0 as a JSON line. */
static void print_counters(void)
{
	json_t *object = json_object();
	char *text;

	for (int i = 0; i < COUNTER_COUNT; i++)
		if (counter_value((counter_t)i))
			json_object_set_new(object, counter_name((counter_t)i),
					    json_integer((json_int_t)counter_value((counter_t)i)));
	text = json_dumps(object, JSON_COMPACT);
	puts(text);
	fflush(stdout);
	free(text);
	json_decref(object);
}

/* Requests a planned stop on SIGTERM. */
static void on_term(int number)
{
	(void)number;
	stopping = 1;
}

/* Requests the counters on SIGUSR1. */
static void on_usr1(int number)
{
	(void)number;
	counters_requested = 1;
}

static const struct argp_option option_list[] = {
	{"vm", 'm', "NAME", 0, "VM of this proxy", 0},
	{"zone", 'z', "NAME", 0, "availability zone", 0},
	{"service", 's', "NAME", 0, "service of the target beside this proxy", 0},
	{"listen", 'l', "HOST:PORT", 0, "address for callers", 0},
	{"call-listen", 'c', "HOST:PORT", 0, "address for other proxies", 0},
	{"target", 't', "HOST:PORT", 0, "address of the target", 0},
	{"slots", 'n', "N", 0, "calls that the target runs at the same time", 0},
	{"queue", 'q', "N", 0, "maximum number of queued calls", 0},
	{"connections", 'x', "N", 0, "maximum number of connections from callers", 0},
	{"timeout-ms", 'o', "N", 0, "timeout of a call for which neither caller nor route sets one", 0},
	{"retry-percent", 'r', "N", 0, "retry budget, as a percentage of calls", 0},
	{"incarnation", 'i', "N", 0, "incarnation of this process; derived from the time by default", 0},
	{"view", 'v', "FILE", 0, "file with the view", 0},
	{"drain-notice-ms", 'd', "N", 0, "time to continue serving after SIGTERM", 0},
	{0},
};

/* Parses one option. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 'm':
		options->proxy.vm = value;
		return 0;
	case 'z':
		options->proxy.zone = value;
		return 0;
	case 's':
		options->proxy.service = value;
		return 0;
	case 'l':
		options->proxy.listen = value;
		return 0;
	case 'c':
		options->proxy.call_listen = value;
		return 0;
	case 't':
		options->proxy.target = value;
		return 0;
	case 'n':
		options->proxy.slots = (uint32_t)atoi(value);
		return 0;
	case 'q':
		options->proxy.queue = (uint32_t)atoi(value);
		return 0;
	case 'x':
		options->proxy.connections = (uint32_t)atoi(value);
		return 0;
	case 'o':
		options->proxy.timeout_ms = (uint32_t)atoi(value);
		return 0;
	case 'r':
		options->proxy.retry_percent = (uint32_t)atoi(value);
		return 0;
	case 'i':
		options->incarnation = g_ascii_strtoull(value, NULL, 10);
		return 0;
	case 'v':
		options->view_file = value;
		return 0;
	case 'd':
		options->drain_notice_ms = atoi(value);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/*
 * Refuses new calls to the target and tells callers to use another proxy, serves
 * them for the notice time and stops.
 */
static void stop_traffic(traffic_t *traffic, const options_t *options)
{
	int64_t now_ms;

	traffic_drain_callers(traffic);
	traffic_drain_target(traffic);
	usleep((useconds_t)options->drain_notice_ms * 1000);
	now_ms = clock_now_ms();
	traffic_stop(traffic, now_ms + options->proxy.grace_ms / 2, now_ms + options->proxy.grace_ms);
}

/* Serves until SIGTERM, reloads the view when its file changes and prints counters on SIGUSR1. */
int main(int argc, char **argv)
{
	options_t options = {.proxy = {.vm = "vm",
				       .zone = "zone",
				       .region = "",
				       .service = "s",
				       .listen = "127.0.0.1:0",
				       .call_listen = "127.0.0.1:0",
				       .target = "127.0.0.1:1",
				       .slots = 12,
				       .queue = 24,
				       .connections = 120,
				       .timeout_ms = 1000,
				       .grace_ms = 12000,
				       .target_listen = "",
				       .headers = {.deadline = "Caraway-Deadline-Ms",
						   .request_id = "X-Request-Id",
						   .caller_service = "",
						   .expected_target = "",
						   .not_executed = "",
						   .target_id = ""},
				       .retry_percent = 20},
			     .incarnation = clock_incarnation(),
			     .drain_notice_ms = DRAIN_NOTICE_MS};
	const struct argp argp = {
		.options = option_list, .parser = parse_option, .doc = "Runs the data plane of a proxy"};
	struct sigaction term = {.sa_handler = on_term}, usr1 = {.sa_handler = on_usr1};
	link_context_t *context = link_context_new();
	published_view_t *published_view = published_view_new();
	char *published_text = NULL;
	traffic_t *traffic;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	sigaction(SIGTERM, &term, NULL);
	sigaction(SIGUSR1, &usr1, NULL);
	signal(SIGPIPE, SIG_IGN);
	urcu_memb_register_thread();
	if (traffic_start(context, &options.proxy, options.incarnation, published_view, NULL, &traffic) !=
	    CW_OK) {
		fprintf(stderr, "%s\n", cw_last_error_message());
		return EXIT_FAILURE;
	}
	/* A caller may send a call as soon as it has read the addresses, so the view is published first. */
	reload_view(&options, published_view, &published_text);
	printf("{\"http\":\"%s\",\"call\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT "}\n",
	       traffic_http_address(traffic), traffic_call_address(traffic), (guint64)options.incarnation);
	fflush(stdout);
	while (!stopping) {
		reload_view(&options, published_view, &published_text);
		if (counters_requested) {
			counters_requested = 0;
			print_counters();
		}
		usleep(POLL_US);
	}
	stop_traffic(traffic, &options);
	print_counters();
	published_view_free(published_view);
	link_context_free(context);
	urcu_memb_unregister_thread();
	g_free(published_text);
	return EXIT_SUCCESS;
}
