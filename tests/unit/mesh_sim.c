/* See mesh_sim.h. */
#include "mesh_sim.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>

#include "mesh_internal.h"

enum {
	DRAIN_MS = 4000, /* simulated after the last request arrives */
	MS_PER_S = 1000,
	BITS_PER_BYTE = 8,
	BITS_PER_MS = 1000 /* of a link of 1 Mbit/s */
};

static const char *const zones[MESH_MAX_ZONES] = {"a", "b", "c", "d", "e", "f"};

mesh_event_t *mesh_schedule(mesh_sim_t *sim, mesh_event_type_t type, int64_t at_ms)
{
	mesh_event_t *event = g_new0(mesh_event_t, 1);
	int64_t slot_ms = CLAMP(at_ms, sim->now_ms + 1, sim->end_ms);

	event->type = type;
	if (!sim->due[slot_ms])
		sim->due[slot_ms] = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(sim->due[slot_ms], event);
	return event;
}

/* Occupies one end of a link from at_ms on; returns when the bytes have passed. */
static double occupy(double *until_ms, double at_ms, double took_ms)
{
	*until_ms = MAX(*until_ms, at_ms) + took_ms;
	return *until_ms;
}

int64_t mesh_transfer(mesh_sim_t *sim, int from, int to, double bytes)
{
	double mbps = sim->load->link_mbps;
	double took_ms = mbps > 0 ? bytes * BITS_PER_BYTE / (mbps * BITS_PER_MS) : 0;
	double sent_ms, received_ms;

	if (from == to)
		return sim->now_ms;
	sent_ms = occupy(&sim->proxies[from].sent_until_ms, (double)sim->now_ms, took_ms);
	received_ms = occupy(&sim->proxies[to].received_until_ms, sent_ms + MESH_HOP_MS, took_ms);
	return (int64_t)received_ms;
}

bool mesh_has_admission(const mesh_sim_t *sim)
{
	return sim->policy == MESH_PRODUCT || sim->policy == MESH_COST;
}

const mesh_kind_t *mesh_kind(const mesh_sim_t *sim, const mesh_request_t *request)
{
	return &sim->load->kinds[request->kind];
}

/* Adds one target of a service and its proxy. */
static void add_proxy(mesh_sim_t *sim, int service, int zone)
{
	const mesh_service_t *definition = &sim->load->services[service];
	const cw_admit_options_t options = {.slots = definition->slots,
					    .queue = sim->load->queue ? sim->load->queue : MESH_QUEUE,
					    .cost_aware = sim->policy == MESH_COST};
	int index = sim->targets_of_service[service]++;
	mesh_proxy_t *proxy = &sim->proxies[sim->proxy_count];

	proxy->vm = g_strdup_printf("vm-%d", sim->proxy_count++);
	proxy->zone = zone;
	proxy->service = service;
	proxy->index = index;
	proxy->speed = definition->speeds[index % definition->speed_count];
	proxy->admit = cw_admit_new(&options);
	cw_admit_mark_warm(proxy->admit, 0);
	g_queue_init(&proxy->fifo);
	proxy->pick = cw_pick_new(zones[zone], (uint64_t)sim->proxy_count);
	cw_pick_set_cost_aware(proxy->pick, sim->policy == MESH_COST);
	proxy->prior_wait = cw_prior_wait_new();
	for (int i = 0; i < sim->load->service_count; i++)
		cw_budget_init(&proxy->budgets[i], MESH_RETRY_PERCENT);
}

/* Adds the targets of a service. */
static void add_service(mesh_sim_t *sim, int service)
{
	const mesh_service_t *definition = &sim->load->services[service];

	sim->first_of_service[service] = sim->proxy_count;
	for (int zone = 0; zone < sim->load->zone_count; zone++)
		for (int i = 0; i < definition->targets[zone]; i++)
			add_proxy(sim, service, zone);
}

/* Returns the proxy that a caller of a zone sends to. */
static int draw_origin(const mesh_sim_t *sim, int zone)
{
	int count = 0;
	int chosen = -1;

	for (int i = 0; i < sim->proxy_count; i++)
		if (sim->proxies[i].zone == zone &&
		    gsl_rng_uniform_int(sim->arrivals, (unsigned long)++count) == 0)
			chosen = i;
	return chosen;
}

/* Returns the demand of a zone now, over its mean. */
static double demand(const mesh_sim_t *sim, int zone)
{
	const mesh_load_t *load = sim->load;
	double phase = (double)zone / load->zone_count;

	if (!load->swing_ms)
		return 1;
	return 1 + load->swing * sin(2 * M_PI * ((double)sim->now_ms / (double)load->swing_ms + phase));
}

/* Adds the requests of callers that arrive in this millisecond. */
static void add_requests(mesh_sim_t *sim)
{
	for (int kind = 0; kind < sim->load->kind_count; kind++) {
		for (int zone = 0; zone < sim->load->zone_count; zone++) {
			const mesh_kind_t *definition = &sim->load->kinds[kind];
			double mean = definition->per_s * sim->load->load * sim->load->zone_shares[zone] *
				      demand(sim, zone) / MS_PER_S;

			for (unsigned i = gsl_ran_poisson(sim->arrivals, mean); i > 0; i--)
				mesh_add_request(sim, kind, draw_origin(sim, zone), NULL,
						 sim->now_ms + definition->timeout_ms);
		}
	}
}

/* Handles the events of this millisecond. */
static void handle_events(mesh_sim_t *sim)
{
	GPtrArray *events = sim->due[sim->now_ms];

	for (guint i = 0; events && i < events->len; i++) {
		const mesh_event_t *event = events->pdata[i];

		switch (event->type) {
		case MESH_EV_ARRIVE:
		case MESH_EV_STEP:
		case MESH_EV_REVOKE:
		case MESH_EV_QUEUE:
			mesh_target_event(sim, event);
			break;
		default:
			mesh_origin_event(sim, event);
			break;
		}
	}
	if (events)
		g_ptr_array_unref(events);
	sim->due[sim->now_ms] = NULL;
}

/* Orders times. */
static gint compare_times(gconstpointer a, gconstpointer b)
{
	const int64_t *left = a, *right = b;

	return (*left > *right) - (*left < *right);
}

/* Returns the time within which a share of the answered requests of a kind were answered. */
static int64_t quantile_ms(const mesh_counts_t *counts, double share)
{
	if (!counts->took_ms->len)
		return 0;
	g_array_sort(counts->took_ms, compare_times);
	return g_array_index(counts->took_ms, int64_t, (guint)(share * (counts->took_ms->len - 1)));
}

/* Returns the smallest share of a zone's requests of a kind that were answered in time. */
static double worst_zone(const mesh_sim_t *sim, const mesh_counts_t *counts)
{
	double worst = 1;

	for (int i = 0; i < sim->load->zone_count; i++)
		worst = MIN(worst, (double)counts->zone_in_time[i] / MAX(counts->zone_total[i], 1));
	return worst;
}

/* Returns the running time of the busiest target of a service over that of the mean one. */
static double busiest_over_mean(const mesh_sim_t *sim, int service)
{
	int count = sim->targets_of_service[service];
	double sum = 0;
	double most = 0;

	for (int i = 0; i < count; i++) {
		double run_ms = sim->proxies[sim->first_of_service[service] + i].run_ms;

		sum += run_ms;
		most = MAX(most, run_ms);
	}
	return most * count / MAX(sum, 1);
}

/* Prints the outcomes if LOAD_VERBOSE is set. */
static void print_summary(const mesh_sim_t *sim, const char *name)
{
	static const char *const policies[MESH_POLICY_COUNT] = {"product",     "cost-aware",   "no admission",
								"round robin", "least outst.", "two choices"};

	if (!g_getenv("LOAD_VERBOSE"))
		return;
	printf("%-24s %-12s value %.3f wasted %.2f\n", name, policies[sim->policy], mesh_sim_value_share(sim),
	       mesh_sim_wasted_share(sim));
	for (int i = 0; i < sim->load->kind_count; i++) {
		const mesh_counts_t *counts = &sim->counts[i];

		if (counts->total)
			printf("    %-18s %6u: in time %.3f late %.3f refused %.3f failed %.3f "
			       "worst zone %.3f p50 %" G_GINT64_FORMAT " p99 %" G_GINT64_FORMAT "\n",
			       sim->load->kinds[i].name, counts->total,
			       (double)counts->in_time / counts->total, (double)counts->late / counts->total,
			       (double)counts->refused / counts->total,
			       (double)counts->failed / counts->total, worst_zone(sim, counts),
			       quantile_ms(counts, 0.5), quantile_ms(counts, 0.99));
	}
	for (int i = 0; i < CW_REASON_COUNT; i++)
		if (sim->ended[i])
			printf("    %s %u", cw_reason_name((cw_reason_t)i), sim->ended[i]);
	printf("\n    busiest target over mean:");
	for (int i = 0; i < sim->load->service_count; i++)
		printf(" %.2f", busiest_over_mean(sim, i));
	printf("; came back %u, refused again %.3f\n", sim->came_back, mesh_sim_refused_again_share(sim));
}

mesh_sim_t *mesh_sim_run(const mesh_load_t *load, mesh_policy_t policy, const char *name)
{
	mesh_sim_t *sim = g_new0(mesh_sim_t, 1);

	sim->load = load;
	sim->policy = policy;
	sim->end_ms = load->duration_ms + DRAIN_MS;
	sim->due = g_new0(GPtrArray *, sim->end_ms + 1);
	sim->requests = g_ptr_array_new_with_free_func(g_free);
	sim->attempts = g_ptr_array_new_with_free_func(g_free);
	sim->random = gsl_rng_alloc(gsl_rng_mt19937);
	sim->arrivals = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(sim->random, 7);
	gsl_rng_set(sim->arrivals, 11);
	for (int i = 0; i < MESH_MAX_KINDS; i++)
		sim->counts[i].took_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < load->service_count; i++)
		add_service(sim, i);
	for (; sim->now_ms < sim->end_ms; sim->now_ms++) {
		if (sim->now_ms < load->duration_ms)
			add_requests(sim);
		handle_events(sim);
	}
	print_summary(sim, name);
	return sim;
}

double mesh_sim_value_share(const mesh_sim_t *sim)
{
	double earned = 0;
	double possible = 0;

	for (int i = 0; i < sim->load->kind_count; i++) {
		const mesh_kind_t *kind = &sim->load->kinds[i];

		earned += kind->value * sim->counts[i].in_time + kind->late_value * sim->counts[i].late;
		possible += kind->value * sim->counts[i].total;
	}
	return earned / possible;
}

double mesh_sim_in_time_share(const mesh_sim_t *sim, int kind)
{
	return (double)sim->counts[kind].in_time / MAX(sim->counts[kind].total, 1);
}

double mesh_sim_answered_share(const mesh_sim_t *sim, int kind)
{
	const mesh_counts_t *counts = &sim->counts[kind];

	return (double)(counts->in_time + counts->late) / MAX(counts->total, 1);
}

double mesh_sim_refused_again_share(const mesh_sim_t *sim)
{
	return (double)sim->refused_again / MAX(sim->came_back, 1);
}

double mesh_sim_wasted_share(const mesh_sim_t *sim)
{
	return sim->wasted_ms / MAX(sim->run_ms, 1);
}

void mesh_sim_free(mesh_sim_t *sim)
{
	for (int64_t i = 0; i <= sim->end_ms; i++)
		if (sim->due[i])
			g_ptr_array_unref(sim->due[i]);
	g_free(sim->due);
	for (int i = 0; i < MESH_MAX_KINDS; i++)
		g_array_unref(sim->counts[i].took_ms);
	for (int i = 0; i < sim->proxy_count; i++) {
		cw_admit_free(sim->proxies[i].admit);
		cw_pick_free(sim->proxies[i].pick);
		cw_prior_wait_free(sim->proxies[i].prior_wait);
		g_queue_clear(&sim->proxies[i].fifo);
		g_free(sim->proxies[i].vm);
	}
	g_ptr_array_unref(sim->requests);
	g_ptr_array_unref(sim->attempts);
	gsl_rng_free(sim->random);
	gsl_rng_free(sim->arrivals);
	g_free(sim);
}
