/*
 * Benchmark of the distribution over relays, in a simulation with virtual time:
 * convergence time, bytes sent and received by the source (the control replicas)
 * and per proxy, for several fleet sizes, settings and baselines.  Prints one
 * JSON object per line.  Bytes are those of the packed messages, without the
 * headers of the transport.  The p99 of 40 changes is the slowest of them.
 *
 * Usage: bench_feed [LARGEST_FLEET], in proxies; the default is 400.
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
	SETTLE_S = 20, /* until the tree of relays is stable */
	QUIET_S = 20,  /* measured without changes */
	MEASURED_CHANGES = 40,
	CONVERGENCE_LIMIT_MS = 1500, /* a change must be in use at every proxy within this time */
	PATH_BYTES = 250,	     /* of a route */
	ROUTE_BYTES = 280	     /* approximate packed size of a route with its path */
};

/* Convergence of the proxies to one version. */
typedef struct {
	uint64_t version;
	size_t proxy_count;   /* proxies that use the version */
	int64_t last_used_us; /* when the last of them started to use it */
} convergence_t;

/* One run of the benchmark. */
typedef struct {
	const char *run;  /* printed as "run" */
	const char *mode; /* printed as "mode" */
	net_options_t options;
	net_t *net;
	convergence_t convergence;
	uint64_t last_change; /* number of the change staged last */
	bool stage_ahead;     /* stage each change before the measured time starts */
	size_t content_bytes; /* approximate size of each change; 0: one route */
} bench_t;

/* Resources used: totals since the start, or over a part of a run. */
typedef struct {
	int64_t time_us;	  /* virtual */
	uint64_t source_sent;	  /* bytes, in answers to children */
	uint64_t source_received; /* bytes, mostly reports */
	uint64_t source_messages;
	uint64_t proxies_sent;	   /* bytes, all proxies together */
	uint64_t proxies_received; /* bytes, all proxies together */
	uint64_t busiest_bytes;	   /* sent and received by the busiest proxy */
	double cpu_s;
} usage_t;

/* Counts a proxy that starts to use the awaited version. */
static void on_config_used(void *data, const net_node_t *node, const cw_config_t *config, int64_t now_us)
{
	convergence_t *convergence = data;

	(void)config;
	if (node->used_version != convergence->version)
		return;
	convergence->proxy_count++;
	convergence->last_used_us = now_us;
}

/* Returns the options that the runs have in common. */
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

/* Starts a simulation and runs it until the tree of relays is stable. */
static void start_simulation(bench_t *bench)
{
	net_callbacks_t callbacks = {.data = &bench->convergence, .config_used = on_config_used};

	bench->net = net_new(&bench->options, &callbacks);
	net_run(bench->net, (int64_t)SETTLE_S * US_PER_S);
}

/* Stages a change of about content_bytes: one service, and routes to make up the size. */
static void stage_change(bench_t *bench)
{
	size_t count = MAX(1, bench->content_bytes / ROUTE_BYTES);
	Caraway__Service service = CARAWAY__SERVICE__INIT;
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	g_autofree Caraway__Route *routes = g_new(Caraway__Route, count);
	g_autoptr(GPtrArray) pointers = g_ptr_array_new();
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);

	service.name = "sorompo";
	service.timeout_ms = (uint32_t)++bench->last_change;
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
	net_stage(bench->net, bench->last_change, &content);
}

/*
 * Returns the most bytes that one proxy has sent and received since the
 * baseline; with set_baseline, stores the totals of each node there and returns 0.
 */
static uint64_t busiest_proxy_bytes(const bench_t *bench, uint64_t *baseline, bool set_baseline)
{
	uint64_t max_bytes = 0;

	for (size_t i = 0; i < net_node_count(bench->net); i++) {
		const net_node_t *node = net_node(bench->net, i);
		uint64_t bytes = node->sent_bytes + node->received_bytes;

		if (set_baseline)
			baseline[i] = bytes;
		else if (!node->is_control_replica)
			max_bytes = MAX(max_bytes, bytes - baseline[i]);
	}
	return max_bytes;
}

/* Returns the resources used since the start of the simulation. */
static usage_t current_usage(const bench_t *bench)
{
	usage_t usage = {.time_us = net_now_us(bench->net), .cpu_s = (double)clock() / CLOCKS_PER_SEC};

	for (size_t i = 0; i < net_node_count(bench->net); i++) {
		const net_node_t *node = net_node(bench->net, i);

		if (node->is_control_replica) {
			usage.source_sent += node->sent_answer_bytes;
			usage.source_received += node->received_bytes;
			usage.source_messages += node->sent_messages;
		} else {
			usage.proxies_sent += node->sent_bytes;
			usage.proxies_received += node->received_bytes;
		}
	}
	return usage;
}

/* Returns the resources used since an earlier total. */
static usage_t usage_since(const bench_t *bench, const usage_t *since)
{
	usage_t usage = current_usage(bench);

	usage.time_us -= since->time_us;
	usage.source_sent -= since->source_sent;
	usage.source_received -= since->source_received;
	usage.source_messages -= since->source_messages;
	usage.proxies_sent -= since->proxies_sent;
	usage.proxies_received -= since->proxies_received;
	usage.cpu_s -= since->cpu_s;
	return usage;
}

/* Comparison function for qsort(). */
static int compare_doubles(const void *a, const void *b)
{
	const double *left = a;
	const double *right = b;

	return *left < *right ? -1 : *left > *right;
}

/*
 * Activates one change at a random time and returns the time until the last
 * proxy used it, in ms; -1 if not every proxy used it within CONVERGENCE_LIMIT_MS.
 */
static double measure_change(bench_t *bench, GRand *random)
{
	int64_t start_us;

	if (bench->stage_ahead) {
		stage_change(bench);
		net_run(bench->net, US_PER_S);
	}
	net_run(bench->net, g_rand_int_range(random, 0, US_PER_S));
	/* Each registered proxy and each activated change made one version. */
	bench->convergence = (convergence_t){.version = bench->options.proxies + bench->last_change +
							(bench->stage_ahead ? 0 : 1)};
	start_us = net_now_us(bench->net);
	if (!bench->stage_ahead)
		stage_change(bench);
	net_activate(bench->net, bench->last_change);
	net_run(bench->net, (int64_t)CONVERGENCE_LIMIT_MS * US_PER_MS);
	if (bench->convergence.proxy_count != bench->options.proxies)
		return -1;
	return (double)(bench->convergence.last_used_us - start_us) / US_PER_MS;
}

/* Returns the number of proxies that pull from control replicas; sets the maximum depth and child count. */
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

/*
 * Prints the JSON line of a run.  Bytes per change leave out the traffic that
 * there is without changes; "unconverged" is 1 if any change did not converge.
 */
static void print_changes(const bench_t *bench, double *times, const usage_t *quiet, const usage_t *busy)
{
	double quiet_s = (double)quiet->time_us / US_PER_S;
	double busy_s = (double)busy->time_us / US_PER_S;
	double proxies = bench->options.proxies;
	double sent = (double)busy->source_sent - (double)quiet->source_sent / quiet_s * busy_s;
	double received = (double)busy->source_received - (double)quiet->source_received / quiet_s * busy_s;
	uint32_t depth;
	size_t children;
	size_t heads = tree_shape(bench, &depth, &children);

	qsort(times, MEASURED_CHANGES, sizeof(*times), compare_doubles);
	printf("{\"run\":\"%s\",\"mode\":\"%s\",\"proxies\":%u,\"zones\":%u,\"heads\":%zu,\"depth\":%u,\"children\":%zu,"
	       "\"unconverged\":%d,\"converge_median_ms\":%.2f,\"converge_p99_ms\":%.2f,"
	       "\"source_sent_bytes_per_change\":%.0f,\"source_received_bytes_per_change\":%.0f,"
	       "\"source_quiet_sent_bytes_s\":%.0f,"
	       "\"source_quiet_received_bytes_s\":%.0f,\"proxy_quiet_sent_bytes_s\":%.1f,"
	       "\"proxy_quiet_received_bytes_s\":%.1f,\"proxy_busy_sent_bytes_s\":%.1f,"
	       "\"busiest_proxy_quiet_bytes_s\":%.0f,\"busiest_proxy_busy_bytes_s\":%.0f,\"busy_changes_s\":%.2f,"
	       "\"cpu_us_per_process_s\":%.1f}\n",
	       bench->run, bench->mode, bench->options.proxies, bench->options.zones, heads, depth, children,
	       times[0] < 0, times[MEASURED_CHANGES / 2], times[MEASURED_CHANGES - 1],
	       sent / MEASURED_CHANGES, received / MEASURED_CHANGES, (double)quiet->source_sent / quiet_s,
	       (double)quiet->source_received / quiet_s, (double)quiet->proxies_sent / quiet_s / proxies,
	       (double)quiet->proxies_received / quiet_s / proxies,
	       (double)busy->proxies_sent / busy_s / proxies, (double)quiet->busiest_bytes / quiet_s,
	       (double)busy->busiest_bytes / busy_s, MEASURED_CHANGES / busy_s,
	       quiet->cpu_s * 1e6 / quiet_s / proxies);
	fflush(stdout);
}

/* Measures a time without changes, then a series of changes, and prints the result. */
static void run_changes(bench_t *bench)
{
	GRand *random = g_rand_new_with_seed(7);
	g_autofree uint64_t *baseline = NULL;
	double times[MEASURED_CHANGES];
	usage_t since;
	usage_t quiet;
	usage_t busy;

	start_simulation(bench);
	baseline = g_new0(uint64_t, net_node_count(bench->net));
	since = current_usage(bench);
	busiest_proxy_bytes(bench, baseline, true);
	net_run(bench->net, (int64_t)QUIET_S * US_PER_S);
	quiet = usage_since(bench, &since);
	quiet.busiest_bytes = busiest_proxy_bytes(bench, baseline, false);
	since = current_usage(bench);
	busiest_proxy_bytes(bench, baseline, true);
	for (int i = 0; i < MEASURED_CHANGES; i++)
		times[i] = measure_change(bench, random);
	busy = usage_since(bench, &since);
	busy.busiest_bytes = busiest_proxy_bytes(bench, baseline, false);
	print_changes(bench, times, &quiet, &busy);
	net_free(bench->net);
	g_rand_free(random);
}

/* Compares distribution over relays with direct pulls from the source at several fleet sizes. */
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

/*
 * Compares large content that is staged before its due time with content staged
 * when due.  The simulated links have unlimited bandwidth.
 */
static void bench_staging(void)
{
	bench_t ahead = {
		.run = "staging", .mode = "ahead", .options = bench_options(100), .stage_ahead = true};
	bench_t due = {.run = "staging", .mode = "when-due", .options = bench_options(100)};

	ahead.content_bytes = due.content_bytes = 20000;
	run_changes(&ahead);
	run_changes(&due);
}

/* Compares settings for short convergence time with settings for few bytes. */
static void bench_settings(void)
{
	bench_t low_latency = {.run = "settings", .mode = "hagoor", .options = bench_options(100)};
	bench_t low_traffic = {.run = "settings", .mode = "adey", .options = bench_options(100)};

	low_latency.options.batch_ms = 20;
	low_latency.options.stamp_ms = 500;
	low_latency.options.freshness_ms = 2000;
	low_latency.options.hold_ms = 750;
	low_traffic.options.batch_ms = 1000;
	low_traffic.options.stamp_ms = 5000;
	low_traffic.options.freshness_ms = 20000;
	low_traffic.options.hold_ms = 7500;
	low_traffic.options.report_ms = 30000;
	low_traffic.options.lease_ms = 90000;
	low_traffic.options.max_children = 6;
	run_changes(&low_latency);
	run_changes(&low_traffic);
}

/* Runs until every proxy uses the awaited version; returns the time in ms, -1 if the limit passes first. */
static double run_until_current(bench_t *bench, int64_t limit_us)
{
	int64_t start_us = net_now_us(bench->net);

	while (net_now_us(bench->net) - start_us < limit_us) {
		size_t current = 0;

		net_run(bench->net, US_PER_MS);
		for (size_t i = 0; i < net_node_count(bench->net); i++)
			current += net_node(bench->net, i)->used_version == bench->convergence.version;
		if (current == bench->options.proxies)
			return (double)(net_now_us(bench->net) - start_us) / US_PER_MS;
	}
	return -1;
}

/* Kills all proxies of a zone or of the fleet, activates changes, and restarts the proxies at once. */
static void bench_storm(uint32_t proxies, bool whole_fleet)
{
	bench_t bench = {.run = "storm", .options = bench_options(proxies)};
	double recovery_ms;
	usage_t since;
	usage_t usage;
	size_t started = 0;

	start_simulation(&bench);
	for (size_t i = 0; i < net_node_count(bench.net); i++)
		if (!net_node(bench.net, i)->is_control_replica &&
		    (whole_fleet || !strcmp(net_node(bench.net, i)->zone, "eger")))
			net_kill(bench.net, net_node(bench.net, i));
	for (int i = 0; i < 300; i++) {
		stage_change(&bench);
		net_activate(bench.net, bench.last_change);
	}
	net_run(bench.net, (int64_t)SETTLE_S * US_PER_S);
	since = current_usage(&bench);
	for (size_t i = 0; i < net_node_count(bench.net); i++) {
		if (net_node(bench.net, i)->relay)
			continue;
		net_start(bench.net, net_node(bench.net, i));
		started++;
	}
	bench.convergence.version = proxies + bench.last_change;
	recovery_ms = run_until_current(&bench, 60LL * US_PER_S);
	usage = usage_since(&bench, &since);
	printf("{\"run\":\"storm\",\"mode\":\"%s\",\"proxies\":%u,\"started\":%zu,\"changes_missed\":300,"
	       "\"all_current_ms\":%.0f,\"source_bytes\":%" G_GUINT64_FORMAT
	       ",\"source_messages\":%" G_GUINT64_FORMAT ",\"received_bytes_per_proxy\":%.0f}\n",
	       whole_fleet ? "fleet" : "zone", proxies, started, recovery_ms, usage.source_sent,
	       usage.source_messages, (double)usage.proxies_received / (double)started);
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
	bench_feed_selectors();
	bench_feed_members();
	return EXIT_SUCCESS;
}
