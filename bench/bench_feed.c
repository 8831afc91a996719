/*
 * Measures distribution over relays on a network of virtual time: convergence
 * time, bytes at the source and per proxy, for several fleet sizes, settings
 * and baselines.  Prints one JSON object a line.  Bytes are those of the
 * packed messages; the transport's own headers come on top.
 *
 * Usage: bench_feed [LARGEST_FLEET], 400 when not given; the p99 of 40 changes is the slowest of them
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../tests/unit/relay_net.h"
#include "feed_contents.h"

enum {
	US_PER_MS = 1000,
	US_PER_S = 1000000,
	SETTLE_S = 20,
	QUIET_S = 20,
	CHANGES = 40,
	CHANGE_MS = 1500, /* between changes, about */
	PATH_BYTES = 250,
	ROUTE_BYTES = 280
};

/* When each proxy first used the version looked for. */
typedef struct {
	uint64_t version;
	size_t using;
	int64_t last_us;
} goal_t;

typedef struct {
	const char *run;
	const char *mode;
	net_options_t options;
	net_t *net;
	goal_t goal;
	uint64_t change;
	bool ahead;
	size_t content_bytes;
} bench_t;

/* What a part of a run cost. */
typedef struct {
	int64_t at_us;
	uint64_t source_sent;	  /* in answers to children */
	uint64_t source_received; /* reports above all */
	uint64_t source_messages;
	uint64_t proxies_sent;
	uint64_t proxies_received;
	uint64_t busiest; /* sent and received by one proxy */
	double cpu_s;
} cost_t;

/* Notes that a proxy uses the version looked for. */
static void on_use(void *data, const net_node_t *node, const cw_config_t *config, int64_t now_us)
{
	goal_t *goal = data;

	(void)config;
	if (node->used_version != goal->version)
		return;
	goal->using ++;
	goal->last_us = now_us;
}

/* Returns the options of most runs. */
static net_options_t bench_options(uint32_t proxies)
{
	net_options_t options = net_default_options();

	options.proxies = proxies;
	options.seed = 20;
	options.hold_ms = 1500;
	options.link_delay_us = 500;
	options.jitter_us = 200;
	return options;
}

/* Starts a net and lets its tree settle. */
static void bench_open(bench_t *bench)
{
	net_callbacks_t watch = {.data = &bench->goal, .config_used = on_use};

	bench->net = net_new(&bench->options, &watch);
	net_run(bench->net, (int64_t)SETTLE_S * US_PER_S);
}

/* Stages a change with content of about the size wanted: one service and as many routes as it takes. */
static void stage(bench_t *bench)
{
	size_t count = MAX(1, bench->content_bytes / ROUTE_BYTES);
	Caraway__Service service = CARAWAY__SERVICE__INIT;
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	g_autofree Caraway__Route *routes = g_new(Caraway__Route, count);
	g_autoptr(GPtrArray) pointers = g_ptr_array_new();
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);

	service.name = "sorompo";
	service.timeout_ms = (uint32_t)++bench->change;
	for (size_t i = 0; i < count; i++) {
		caraway__route__init(&routes[i]);
		routes[i].name = g_strdup_printf("route-%zu", i);
		routes[i].path = g_strdup_printf("/%0*zu", PATH_BYTES, i);
		routes[i].service = service.name;
		g_ptr_array_add(texts, routes[i].name);
		g_ptr_array_add(texts, routes[i].path);
		g_ptr_array_add(pointers, &routes[i]);
	}
	content.title = "barrier orders of the eastern pass";
	content.n_services = 1;
	content.services = (Caraway__Service *[]){&service};
	content.n_routes = count;
	content.routes = (Caraway__Route **)pointers->pdata;
	net_stage(bench->net, bench->change, &content);
}

/* Returns the most bytes that one proxy has sent and received, less those noted before; notes them when asked. */
static uint64_t busiest_proxy(const bench_t *bench, uint64_t *noted, bool note)
{
	uint64_t most = 0;

	for (size_t i = 0; i < net_node_count(bench->net); i++) {
		const net_node_t *node = net_node(bench->net, i);
		uint64_t bytes = node->sent_bytes + node->received_bytes;

		if (note)
			noted[i] = bytes;
		else if (!node->is_control_replica)
			most = MAX(most, bytes - noted[i]);
	}
	return most;
}

/* Sums what has been spent so far. */
static cost_t spent(const bench_t *bench)
{
	cost_t cost = {.at_us = net_now_us(bench->net), .cpu_s = (double)clock() / CLOCKS_PER_SEC};

	for (size_t i = 0; i < net_node_count(bench->net); i++) {
		const net_node_t *node = net_node(bench->net, i);

		if (node->is_control_replica) {
			cost.source_sent += node->sent_answer_bytes;
			cost.source_received += node->received_bytes;
			cost.source_messages += node->sent_messages;
		} else {
			cost.proxies_sent += node->sent_bytes;
			cost.proxies_received += node->received_bytes;
		}
	}
	return cost;
}

/* Returns what was spent since an earlier time. */
static cost_t spent_since(const bench_t *bench, const cost_t *since)
{
	cost_t cost = spent(bench);

	cost.at_us -= since->at_us;
	cost.source_sent -= since->source_sent;
	cost.source_received -= since->source_received;
	cost.source_messages -= since->source_messages;
	cost.proxies_sent -= since->proxies_sent;
	cost.proxies_received -= since->proxies_received;
	cost.cpu_s -= since->cpu_s;
	return cost;
}

/* Orders times. */
static int compare_times(const void *a, const void *b)
{
	const double *left = a;
	const double *right = b;

	return *left < *right ? -1 : *left > *right;
}

/* Puts one change in force and returns the time until the last proxy used it, in ms; -1 when some did not. */
static double one_change(bench_t *bench, GRand *random)
{
	int64_t begin_us;

	if (bench->ahead) {
		stage(bench);
		net_run(bench->net, US_PER_S);
	}
	net_run(bench->net, g_rand_int_range(random, 0, US_PER_S));
	bench->goal = (goal_t){.version = bench->options.proxies + bench->change + (bench->ahead ? 0 : 1)};
	begin_us = net_now_us(bench->net);
	if (!bench->ahead)
		stage(bench);
	net_activate(bench->net, bench->change);
	net_run(bench->net, (int64_t)CHANGE_MS * US_PER_MS);
	if (bench->goal.using != bench->options.proxies)
		return -1;
	return (double)(bench->goal.last_us - begin_us) / US_PER_MS;
}

/* Returns how many proxies pull from control replicas, and the greatest depth and number of children of proxies. */
static size_t tree_shape(const bench_t *bench, uint32_t *depth, size_t *children)
{
	size_t heads = 0;

	*depth = 0;
	*children = 0;
	for (size_t i = 0; i < net_node_count(bench->net); i++) {
		const net_node_t *node = net_node(bench->net, i);

		if (node->is_control_replica)
			continue;
		*depth = MAX(*depth, cw_relay_depth(node->relay));
		*children = MAX(*children, cw_relay_child_count(node->relay));
		heads += cw_relay_depth(node->relay) == 1;
	}
	return heads;
}

/* Prints the result of a run of changes. */
static void print_changes(const bench_t *bench, double *times, const cost_t *quiet, const cost_t *busy)
{
	double quiet_s = (double)quiet->at_us / US_PER_S;
	double busy_s = (double)busy->at_us / US_PER_S;
	double proxies = bench->options.proxies;
	double down = (double)busy->source_sent - (double)quiet->source_sent / quiet_s * busy_s;
	double up = (double)busy->source_received - (double)quiet->source_received / quiet_s * busy_s;
	uint32_t depth;
	size_t children;
	size_t heads = tree_shape(bench, &depth, &children);

	qsort(times, CHANGES, sizeof(*times), compare_times);
	printf("{\"run\":\"%s\",\"mode\":\"%s\",\"proxies\":%u,\"zones\":%u,\"heads\":%zu,\"depth\":%u,\"children\":%zu,"
	       "\"unconverged\":%d,\"converge_median_ms\":%.2f,\"converge_p99_ms\":%.2f,"
	       "\"source_sent_bytes_per_change\":%.0f,\"source_received_bytes_per_change\":%.0f,"
	       "\"source_quiet_sent_bytes_s\":%.0f,"
	       "\"source_quiet_received_bytes_s\":%.0f,\"proxy_quiet_sent_bytes_s\":%.1f,"
	       "\"proxy_quiet_received_bytes_s\":%.1f,\"proxy_busy_sent_bytes_s\":%.1f,"
	       "\"busiest_proxy_quiet_bytes_s\":%.0f,\"busiest_proxy_busy_bytes_s\":%.0f,\"busy_changes_s\":%.2f,"
	       "\"cpu_us_per_process_s\":%.1f}\n",
	       bench->run, bench->mode, bench->options.proxies, bench->options.zones, heads, depth, children,
	       times[0] < 0, times[CHANGES / 2], times[CHANGES - 1], down / CHANGES, up / CHANGES,
	       (double)quiet->source_sent / quiet_s, (double)quiet->source_received / quiet_s,
	       (double)quiet->proxies_sent / quiet_s / proxies,
	       (double)quiet->proxies_received / quiet_s / proxies,
	       (double)busy->proxies_sent / busy_s / proxies, (double)quiet->busiest / quiet_s,
	       (double)busy->busiest / busy_s, CHANGES / busy_s, quiet->cpu_s * 1e6 / quiet_s / proxies);
	fflush(stdout);
}

/* Runs changes on a net and prints what they took. */
static void run_changes(bench_t *bench)
{
	GRand *random = g_rand_new_with_seed(7);
	g_autofree uint64_t *noted = NULL;
	double times[CHANGES];
	cost_t since;
	cost_t quiet;
	cost_t busy;

	bench_open(bench);
	noted = g_new0(uint64_t, net_node_count(bench->net));
	since = spent(bench);
	busiest_proxy(bench, noted, true);
	net_run(bench->net, (int64_t)QUIET_S * US_PER_S);
	quiet = spent_since(bench, &since);
	quiet.busiest = busiest_proxy(bench, noted, false);
	since = spent(bench);
	busiest_proxy(bench, noted, true);
	for (int i = 0; i < CHANGES; i++)
		times[i] = one_change(bench, random);
	busy = spent_since(bench, &since);
	busy.busiest = busiest_proxy(bench, noted, false);
	print_changes(bench, times, &quiet, &busy);
	net_free(bench->net);
	g_rand_free(random);
}

/* Fleet sizes, over relays and directly from the source. */
static void bench_fleets(uint32_t largest)
{
	static const uint32_t fleets[] = {12, 48, 100, 200, 400, 1000};

	for (size_t i = 0; i < G_N_ELEMENTS(fleets) && fleets[i] <= largest; i++) {
		bench_t relay = {.run = "fleet", .mode = "relay", .options = bench_options(fleets[i])};
		bench_t direct = {.run = "fleet", .mode = "direct", .options = bench_options(fleets[i])};

		run_changes(&relay);
		direct.options.direct = true;
		run_changes(&direct);
	}
}

/* Large content staged ahead of its due time, and sent when due; links have no bound in bytes a second here. */
static void bench_staging(void)
{
	bench_t ahead = {.run = "staging", .mode = "ahead", .options = bench_options(100), .ahead = true};
	bench_t due = {.run = "staging", .mode = "when-due", .options = bench_options(100)};

	ahead.content_bytes = due.content_bytes = 20000;
	run_changes(&ahead);
	run_changes(&due);
}

/* The trade between time and bytes, by settings. */
static void bench_settings(void)
{
	bench_t time_first = {.run = "settings", .mode = "hagoor", .options = bench_options(100)};
	bench_t bytes_first = {.run = "settings", .mode = "adey", .options = bench_options(100)};

	time_first.options.batch_ms = 20;
	time_first.options.stamp_ms = 500;
	time_first.options.freshness_ms = 2000;
	time_first.options.hold_ms = 750;
	bytes_first.options.batch_ms = 1000;
	bytes_first.options.stamp_ms = 5000;
	bytes_first.options.freshness_ms = 20000;
	bytes_first.options.hold_ms = 7500;
	bytes_first.options.report_ms = 30000;
	bytes_first.options.lease_ms = 90000;
	bytes_first.options.max_children = 6;
	run_changes(&time_first);
	run_changes(&bytes_first);
}

/* Runs until every proxy uses a version; returns the time in ms. */
static double until_current(bench_t *bench, int64_t limit_us)
{
	int64_t begin_us = net_now_us(bench->net);

	while (net_now_us(bench->net) - begin_us < limit_us) {
		size_t current = 0;

		net_run(bench->net, US_PER_MS);
		for (size_t i = 0; i < net_node_count(bench->net); i++)
			current += net_node(bench->net, i)->used_version == bench->goal.version;
		if (current == bench->options.proxies)
			return (double)(net_now_us(bench->net) - begin_us) / US_PER_MS;
	}
	return -1;
}

/* A whole zone, or the whole fleet, dies, changes pass, and all come back at once. */
static void bench_storm(uint32_t proxies, bool whole_fleet)
{
	bench_t bench = {.run = "storm", .options = bench_options(proxies)};
	double took_ms;
	cost_t since;
	cost_t cost;
	size_t started = 0;

	bench_open(&bench);
	for (size_t i = 0; i < net_node_count(bench.net); i++)
		if (!net_node(bench.net, i)->is_control_replica &&
		    (whole_fleet || !strcmp(net_node(bench.net, i)->zone, "eger")))
			net_kill(bench.net, net_node(bench.net, i));
	for (int i = 0; i < 300; i++) {
		stage(&bench);
		net_activate(bench.net, bench.change);
	}
	net_run(bench.net, (int64_t)SETTLE_S * US_PER_S);
	since = spent(&bench);
	for (size_t i = 0; i < net_node_count(bench.net); i++) {
		if (net_node(bench.net, i)->relay)
			continue;
		net_start(bench.net, net_node(bench.net, i));
		started++;
	}
	bench.goal.version = proxies + bench.change;
	took_ms = until_current(&bench, 60LL * US_PER_S);
	cost = spent_since(&bench, &since);
	printf("{\"run\":\"storm\",\"mode\":\"%s\",\"proxies\":%u,\"started\":%zu,\"changes_missed\":300,"
	       "\"all_current_ms\":%.0f,\"source_bytes\":%" G_GUINT64_FORMAT
	       ",\"source_messages\":%" G_GUINT64_FORMAT ",\"received_bytes_per_proxy\":%.0f}\n",
	       whole_fleet ? "fleet" : "zone", proxies, started, took_ms, cost.source_sent,
	       cost.source_messages, (double)cost.proxies_received / (double)started);
	fflush(stdout);
	net_free(bench.net);
}

int main(int argc, char **argv)
{
	uint32_t largest = argc > 1 ? (uint32_t)atoi(argv[1]) : 400;

	bench_fleets(largest);
	bench_staging();
	bench_settings();
	bench_storm(MIN(largest, 400), false);
	bench_storm(MIN(largest, 400), true);
	feed_bench_selectors();
	feed_bench_members();
	return EXIT_SUCCESS;
}
