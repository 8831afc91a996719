/* Scripted runs of relays under failures, judged by an observer. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay_net.h"
#include "relay_observer.h"
#include "script.h"

enum { US_PER_MS = 1000, PARENT_SLACK_MS = 300 };

typedef struct {
	net_t *net;
	observer_t *observer;
	observer_version_t version; /* what the newest version holds */
	uint64_t change;
} run_t;

/* Reads one "key=value" of a net. */
static bool read_option(net_options_t *options, const char *text)
{
	const struct {
		const char *key;
		uint32_t *value;
	} keys[] = {
		{"proxies", &options->proxies},	  {"zones", &options->zones},
		{"controls", &options->controls}, {"double", &options->double_percent},
		{"late", &options->late_percent}, {"freshness", &options->freshness_ms},
		{"children", &options->children}, {"heads", &options->heads},
		{"keep", &options->keep_records},
	};
	char **parts = g_strsplit(text, "=", 2);
	bool known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		if (strcmp(parts[0], keys[i].key) != 0)
			continue;
		*keys[i].value = (uint32_t)atoi(parts[1]);
		known = true;
	}
	if (!strcmp(parts[0], "seed")) {
		options->seed = strtoull(parts[1], NULL, 10);
		known = true;
	} else if (!strcmp(text, "no-floor")) {
		options->no_floor = known = true;
	}
	g_strfreev(parts);
	return known;
}

/* net KEY=VALUE ... */
static void run_net(run_t *run, int argc, char **argv, GString *out)
{
	net_options_t options = net_defaults();
	net_watch_t watch;
	int64_t bound_ms = options.freshness_ms + PARENT_SLACK_MS;

	for (int i = 1; i < argc; i++)
		if (!read_option(&options, argv[i]))
			g_string_append_printf(out, "no such option: %s\n", argv[i]);
	run->observer = observer_new(bound_ms * US_PER_MS);
	for (uint32_t i = 0; i <= options.proxies; i++)
		observer_add_version(run->observer, &run->version);
	watch = observer_watch(run->observer);
	run->net = net_new(&options, &watch);
}

/* Stages the next change: it adds or removes one item, and sets another to its number. */
static void stage(run_t *run)
{
	uint64_t number = ++run->change;
	size_t item = 1 + number * 5 % (OBSERVER_ITEMS - 1);
	bool removed = run->version.items[item] > 0;
	char name[2][4] = {"s0", "r0"};
	char other[2][4] = {"s0", "r0"};
	Caraway__Service services[2] = {CARAWAY__SERVICE__INIT, CARAWAY__SERVICE__INIT};
	Caraway__Route routes[2] = {CARAWAY__ROUTE__INIT, CARAWAY__ROUTE__INIT};
	Caraway__Content content = CARAWAY__CONTENT__INIT;

	other[0][1] = other[1][1] = (char)('0' + item);
	for (int i = 0; i < 2; i++) {
		services[i].name = i ? other[0] : name[0];
		routes[i].name = i ? other[1] : name[1];
		services[i].removed = routes[i].removed = i && removed;
		if (i && removed)
			continue;
		services[i].timeout_ms = (uint32_t)number;
		routes[i].path = i ? "/other" : "/first";
		routes[i].service = services[i].name;
	}
	content.title = "test";
	content.n_services = content.n_routes = 2;
	content.services = (Caraway__Service *[]){&services[0], &services[1]};
	content.routes = (Caraway__Route *[]){&routes[0], &routes[1]};
	net_stage(run->net, number, &content);
	run->version.items[0] = number;
	run->version.items[item] = removed ? 0 : number;
}

/* Activates the change staged last. */
static void activate(run_t *run)
{
	observer_add_version(run->observer, &run->version);
	net_activate(run->net, run->change);
}

/* change [COUNT] */
static void run_change(run_t *run, int argc, char **argv)
{
	for (int i = argc > 1 ? atoi(argv[1]) : 1; i > 0; i--) {
		stage(run);
		activate(run);
	}
}

/* Returns true when a word of a script stands for a node: its name, its zone, "proxies" or "controls". */
static bool is_meant(const net_node_t *node, const char *word)
{
	if (!strcmp(word, "proxies"))
		return !node->control;
	if (!strcmp(word, "controls"))
		return node->control;
	return !strcmp(word, node->name) || (*node->zone && !strcmp(word, node->zone));
}

/* kill WORD, start WORD, damage WORD, announce WORD STATE */
static void run_nodes(const run_t *run, int argc, char **argv)
{
	for (size_t i = 0; i < net_node_count(run->net); i++) {
		net_node_t *node = net_node(run->net, i);

		if (argc < 2 || !is_meant(node, argv[1]))
			continue;
		if (!strcmp(argv[0], "kill"))
			net_kill(run->net, node);
		else if (!strcmp(argv[0], "start") && !node->relay)
			net_start(run->net, node);
		else if (!strcmp(argv[0], "damage"))
			node->damages = true;
		else if (!strcmp(argv[0], "lag"))
			node->lags = true;
		else if (!strcmp(argv[0], "drain"))
			net_announce(run->net, node, CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING);
	}
}

/* cut FROM TO: every pair that is meant */
static void run_cut(const run_t *run, char **argv)
{
	for (size_t i = 0; i < net_node_count(run->net); i++)
		for (size_t j = 0; j < net_node_count(run->net); j++)
			if (is_meant(net_node(run->net, i), argv[1]) &&
			    is_meant(net_node(run->net, j), argv[2]))
				net_cut(run->net, net_node(run->net, i), net_node(run->net, j));
}

/* Counts the proxies that run, that use a configuration, and that use the newest. */
static void run_status(const run_t *run, GString *out)
{
	uint64_t newest = cw_feed_version(net_leader(run->net)->feed);
	uint32_t running = 0;
	uint32_t using = 0;
	uint32_t current = 0;

	for (size_t i = 0; i < net_node_count(run->net); i++) {
		const net_node_t *node = net_node(run->net, i);

		running += !node->control && node->relay;
		using += !node->control && node->relay && node->used_version;
		current += !node->control && node->relay && node->used_version == newest;
	}
	g_string_append_printf(out, "running %u, with a configuration %u, with the newest %u\n", running,
			       using, current);
}

/* Prints what the observer saw. */
static void run_observer(const run_t *run, GString *out)
{
	const GPtrArray *violations = run->observer->violations;

	for (guint i = 0; i < violations->len && i < 3; i++)
		g_string_append_printf(out, "%s\n", (const char *)g_ptr_array_index(violations, i));
	g_string_append_printf(out, "violations: %u\n", violations->len);
}

/* counted NUMBER: whether any process has counted this */
static void run_counted(const run_t *run, const char *word, GString *out)
{
	static const char *const words[CW_RELAY_COUNTER_COUNT] = {
		"served",	"full",		  "stale",	   "stopping",	   "position",
		"not-ready",	"pull-crossed",	  "news-crossed",  "news-damaged", "news-position",
		"parent-stale", "parent-refused", "parent-silent", "parent-news",  "parent-foreign",
	};
	uint64_t total = 0;

	for (size_t i = 0; i < net_node_count(run->net); i++)
		for (size_t j = 0; j < CW_RELAY_COUNTER_COUNT; j++)
			if (!strcmp(word, words[j]))
				total += net_node(run->net, i)->counts[j];
	g_string_append_printf(out, "%s\n", total ? "yes" : "no");
}

/* Counts the children of the control replicas. */
static void run_children(const run_t *run, GString *out)
{
	size_t children = 0;

	for (size_t i = 0; i < net_node_count(run->net); i++)
		if (net_node(run->net, i)->control && net_node(run->net, i)->relay)
			children += cw_relay_child_count(net_node(run->net, i)->relay);
	g_string_append_printf(out, "%zu\n", children);
}

/* Returns true when the parents of a node lead back to it. */
static bool is_in_cycle(const run_t *run, const net_node_t *node)
{
	const net_node_t *up = node;

	for (size_t i = 0; i < net_node_count(run->net); i++) {
		if (up->control || !up->relay || !cw_relay_parent(up->relay))
			return false;
		up = net_find(run->net, cw_relay_parent(up->relay));
		if (up == node)
			return true;
	}
	return false;
}

/* Tells whether any proxy is now among its own ancestors. */
static void run_cycles(const run_t *run, GString *out)
{
	size_t count = 0;

	for (size_t i = 0; i < net_node_count(run->net); i++)
		count += is_in_cycle(run, net_node(run->net, i));
	g_string_append_printf(out, "%s\n", count ? "yes" : "no");
}

/* Counts the proxies whose parent is a proxy of another zone. */
static void run_foreign(const run_t *run, GString *out)
{
	size_t count = 0;

	for (size_t i = 0; i < net_node_count(run->net); i++) {
		const net_node_t *node = net_node(run->net, i);
		const char *parent = node->relay ? cw_relay_parent(node->relay) : NULL;

		if (parent && !node->control && !net_find(run->net, parent)->control)
			count += strcmp(net_find(run->net, parent)->zone, node->zone) != 0;
	}
	g_string_append_printf(out, "%zu\n", count);
}

/* Returns a node at random: a control replica or a proxy. */
static net_node_t *any_node(const run_t *run, GRand *random, bool control)
{
	net_node_t *node;

	do
		node = net_node(run->net,
				(size_t)g_rand_int_range(random, 0, (gint32)net_node_count(run->net)));
	while (node->control != control);
	return node;
}

/* Cuts the links of a node, one way or both, from the control replicas or from all. */
static void cut_at_random(const run_t *run, GRand *random, const net_node_t *node)
{
	const net_node_t *other = g_rand_boolean(random) ? any_node(run, random, true) : NULL;

	net_cut(run->net, node, other);
	if (g_rand_boolean(random))
		net_cut(run->net, other, node);
}

/* Kills or starts processes at random, some of them of a whole zone. */
static void restart_at_random(const run_t *run, GRand *random, bool start)
{
	char *zone = any_node(run, random, false)->zone;
	char *name = any_node(run, random, false)->name;
	char *argv[] = {start ? "start" : "kill", g_rand_int_range(random, 0, 4) ? name : zone};

	if (start)
		argv[1] = "proxies";
	run_nodes(run, 2, argv);
}

/* Brings about one fault, or ends some. */
static void one_fault(run_t *run, GRand *random)
{
	switch (g_rand_int_range(random, 0, 9)) {
	case 0:
	case 1:
	case 2:
		restart_at_random(run, random, false);
		break;
	case 3:
		restart_at_random(run, random, true);
		break;
	case 4:
		cut_at_random(run, random, any_node(run, random, false));
		break;
	case 5:
		cut_at_random(run, random, any_node(run, random, true));
		break;
	case 6:
		net_heal(run->net);
		break;
	case 7:
		net_elect(run->net, any_node(run, random, true), g_rand_boolean(random));
		break;
	default:
		any_node(run, random, false)->damages ^= true;
		break;
	}
}

/* chaos SEED ROUNDS: faults and changes at random, then none, and time to recover */
static void run_chaos(run_t *run, char **argv)
{
	GRand *random = g_rand_new_with_seed((guint32)atoi(argv[1]));
	char *all[] = {"start", "proxies"};

	for (int i = 0; i < atoi(argv[2]); i++) {
		one_fault(run, random);
		for (int changes = g_rand_int_range(random, 0, 4); changes > 0; changes--) {
			stage(run);
			activate(run);
		}
		net_run(run->net, (int64_t)g_rand_int_range(random, 1, 1500) * US_PER_MS);
	}
	net_heal(run->net);
	for (size_t i = 0; i < net_node_count(run->net); i++)
		net_node(run->net, i)->damages = false;
	run_nodes(run, 2, all);
	net_elect(run->net, net_node(run->net, 0), true);
	g_rand_free(random);
}

/* Carries out one command of a script. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "net"))
		run_net(run, argc, argv, out);
	else if (!strcmp(argv[0], "run"))
		net_run(run->net, (int64_t)atoi(argv[1]) * US_PER_MS);
	else if (!strcmp(argv[0], "change"))
		run_change(run, argc, argv);
	else if (!strcmp(argv[0], "stage"))
		stage(run);
	else if (!strcmp(argv[0], "activate"))
		activate(run);
	else if (!strcmp(argv[0], "elect"))
		net_elect(run->net, net_find(run->net, argv[1]), argc < 3);
	else if (!strcmp(argv[0], "cut"))
		run_cut(run, argv);
	else if (!strcmp(argv[0], "heal"))
		net_heal(run->net);
	else if (!strcmp(argv[0], "status"))
		run_status(run, out);
	else if (!strcmp(argv[0], "observer"))
		run_observer(run, out);
	else if (!strcmp(argv[0], "counted"))
		run_counted(run, argv[1], out);
	else if (!strcmp(argv[0], "foreign"))
		run_foreign(run, out);
	else if (!strcmp(argv[0], "chaos"))
		run_chaos(run, argv);
	else if (!strcmp(argv[0], "cycles"))
		run_cycles(run, out);
	else if (!strcmp(argv[0], "children"))
		run_children(run, out);
	else
		run_nodes(run, argc, argv);
}

START_TEST(test_script)
{
	run_t run = {0};

	script_check("tests/relay", _i, run_command, &run);
	net_free(run.net);
	observer_free(run.observer);
}
END_TEST

int main(void)
{
	return script_main("tests/relay", test_script, 60);
}
