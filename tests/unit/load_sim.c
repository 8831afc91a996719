/* See load_sim.h. */
#include "load_sim.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>

#include "libcaraway.h"

enum {
	MAX_TARGETS = 32,
	MAX_PROXIES = 80,
	SLOTS = 12,
	QUEUE = 64,
	HOP_MS = 1,	  /* one-way network delay */
	MAX_ATTEMPTS = 3, /* of a proxy, each time that a request is sent to it */
	INITIAL_BURST_MS = 100,
	MAX_SENDS = 2,		    /* of a request by its caller: the first and one retry */
	MAX_RETRY_WAIT_DIVISOR = 3, /* callers wait at most 1/3 of their time left before a retry */
	DRAIN_MS = 3000,	    /* simulated after the last request arrives */
	ERROR_SERVICE_MS = 3,	    /* duration of a call that fails immediately */
	MS_PER_S = 1000
};

static const char *const zones[SIM_ZONES] = {"a", "b", "c", "d"};

typedef enum {
	REQUEST_WAITING, /* at its caller, which sends it at due_ms */
	REQUEST_QUEUED,	 /* at its target */
	REQUEST_RUNNING, /* at its target */
	REQUEST_ENDED
} request_state_t;

/* A caller's request with its retry. */
typedef struct {
	request_state_t state;
	int kind;
	int proxy;
	int64_t arrival_ms;
	int64_t deadline_ms;
	int64_t due_ms;		 /* when it is sent or its call ends */
	int sends;		 /* that were refused */
	int attempts;		 /* that were refused since the request was last sent */
	int64_t useful_until_ms; /* end of the latency objective, as estimated by its proxy */
	uint32_t excluded_mask;	 /* bitmask of the targets that refused it since it was last sent */
	int target;
	cw_call_id_t id;
	int64_t started_ms;
	bool fails;			/* the call ends with an error */
	cw_refused_call_t refused_call; /* sets the Retry-After time */
} request_t;

/* Numbers of requests of one kind, by outcome. */
typedef struct {
	unsigned total;
	unsigned in_time;
	unsigned late;
	unsigned unanswered; /* refused or not answered before the deadline */
	unsigned errors;
} request_counts_t;

/* State of one simulation. */
struct load_sim {
	const sim_workload_t *workload;
	bool baseline;
	cw_admit_t *admissions[MAX_TARGETS];
	GQueue fifos[MAX_TARGETS]; /* of the baseline: request_t * */
	int running[MAX_TARGETS];  /* calls, of the baseline */
	char *vms[MAX_TARGETS];
	cw_pick_t *pickers[MAX_PROXIES];
	cw_prior_wait_t *prior_waits[MAX_PROXIES];
	gsl_rng *random;
	GRand *arrival_random; /* separate generator: each simulation of a workload has the same arrivals */
	GPtrArray *requests;   /* in progress */
	GPtrArray *ended;
	GPtrArray *by_cookie; /* request_t * by cookie - 1 */
	uint64_t sequence;    /* of the last call */
	int64_t now_ms;
	unsigned next_target; /* of the round robin of the baseline */
	unsigned started;     /* calls */
	unsigned cross_zone;  /* started calls whose target is in another zone than their proxy */
	double busy_ms;	      /* running time of calls in all slots, while requests arrive */
	request_counts_t counts[SIM_MAX_KINDS];
};

/* Draws the service time of a call at a target from a log-normal distribution. */
static int64_t draw_service_ms(const load_sim_t *sim, const sim_call_kind_t *kind, int target)
{
	double cold_slowdown = sim->now_ms < sim->workload->cold_until_ms ? sim->workload->cold_slowdown : 1;
	double sigma = sqrt(log(1 + kind->spread * kind->spread));
	double time_ms = gsl_ran_lognormal(sim->random, log(kind->mean_ms) - sigma * sigma / 2, sigma);

	return MAX(1, (int64_t)(time_ms * cold_slowdown *
				sim->workload->slowdown[(target + target / SIM_ZONES) % SIM_ZONES]));
}

/* Returns the call kind of a request. */
static const sim_call_kind_t *call_kind(const load_sim_t *sim, const request_t *request)
{
	return &sim->workload->kinds[request->kind];
}

/* Ends a request without an answer. */
static void fail_request(load_sim_t *sim, request_t *request)
{
	request->state = REQUEST_ENDED;
	sim->counts[request->kind].unanswered++;
}

/* Refuses a request: the caller retries after the Retry-After time, or gives up. */
static void retry_or_fail(load_sim_t *sim, request_t *request)
{
	int64_t left_ms = request->deadline_ms - sim->now_ms;

	if (++request->sends >= MAX_SENDS || left_ms <= 0) {
		fail_request(sim, request);
		return;
	}
	request->state = REQUEST_WAITING;
	request->refused_call.left_ms = left_ms;
	request->due_ms =
		sim->now_ms + MIN(cw_retry_after_ms(&request->refused_call, gsl_rng_uniform(sim->random)),
				  left_ms / MAX_RETRY_WAIT_DIVISOR);
	request->refused_call = (cw_refused_call_t){0};
	request->attempts = 0;
	request->excluded_mask = 0;
}

/* Starts a call at its target. */
static void start_call(load_sim_t *sim, request_t *request)
{
	request->state = REQUEST_RUNNING;
	request->started_ms = sim->now_ms;
	request->due_ms = sim->now_ms + draw_service_ms(sim, call_kind(sim, request), request->target);
	request->fails = sim->now_ms < sim->workload->error_until_ms;
	if (request->fails)
		request->due_ms = sim->now_ms + ERROR_SERVICE_MS;
	sim->started++;
	sim->cross_zone += request->target % SIM_ZONES != request->proxy % SIM_ZONES;
}

/* Reports the result of an attempt and the load of its target to the endpoint selection of the proxy. */
static void report_result(load_sim_t *sim, const request_t *request, cw_pick_result_t result)
{
	const cw_admit_t *admit = sim->admissions[request->target];
	const cw_pick_load_t load = {
		.in_use = cw_admit_load(admit),
		.slots = SLOTS,
		.route = (uint64_t)request->kind + 1,
		.service_ms = (uint32_t)cw_admit_service_ms(admit, (uint64_t)request->kind + 1),
		.priority = call_kind(sim, request)->priority,
		.wait_ms = cw_admit_wait_ms(admit, call_kind(sim, request)->priority, sim->now_ms)};

	cw_pick_ended(sim->pickers[request->proxy], sim->vms[request->target], 1, result, &load, sim->now_ms);
}

static void send_attempt(load_sim_t *sim, request_t *request);

/*
 * Handles the refusal of an attempt: tries another target, or refuses the request.  The Retry-After
 * time depends on the target with the shortest wait of those that refused.
 */
static void handle_refusal(load_sim_t *sim, request_t *request)
{
	const cw_admit_t *admit = sim->admissions[request->target];
	uint32_t wait_ms = cw_admit_wait_ms(admit, call_kind(sim, request)->priority, sim->now_ms);

	report_result(sim, request, CW_PICK_REFUSED);
	if (!request->refused_call.wait_ms || wait_ms < request->refused_call.wait_ms) {
		request->refused_call.wait_ms = wait_ms;
		request->refused_call.service_ms =
			(uint32_t)cw_admit_service_ms(admit, (uint64_t)request->kind + 1);
	}
	request->refused_call.useful_ms = request->useful_until_ms - sim->now_ms;
	request->excluded_mask |= 1u << request->target;
	if (++request->attempts < MAX_ATTEMPTS)
		send_attempt(sim, request);
	else
		retry_or_fail(sim, request);
}

/* Submits a call to the admission of the chosen target. */
static void submit_call(load_sim_t *sim, request_t *request)
{
	const sim_call_kind_t *kind = call_kind(sim, request);
	cw_reason_t reason;
	cw_admit_call_t call = {.route = (uint64_t)request->kind + 1,
				.priority = kind->priority,
				.deadline_ms = request->deadline_ms - HOP_MS,
				.useful_until_ms = request->useful_until_ms - HOP_MS};

	g_ptr_array_add(sim->by_cookie, request);
	call.cookie = sim->by_cookie->len;
	call.id = request->id = (cw_call_id_t){.origin = 1, .sequence = ++sim->sequence};
	switch (cw_admit_arrive(sim->admissions[request->target], &call, sim->now_ms, &reason)) {
	case CW_ADMIT_START:
		start_call(sim, request);
		break;
	case CW_ADMIT_QUEUE:
		request->state = REQUEST_QUEUED;
		break;
	default:
		handle_refusal(sim, request);
		break;
	}
}

/* Sends an attempt to a selected target, or to the next one in round robin in the baseline. */
static void send_attempt(load_sim_t *sim, request_t *request)
{
	const cw_pick_call_t pick_call = {.route = (uint64_t)request->kind + 1,
					  .priority = call_kind(sim, request)->priority,
					  .useful_ms = request->useful_until_ms - sim->now_ms,
					  .left_ms = request->deadline_ms - sim->now_ms,
					  .refusals = (uint32_t)request->attempts};
	cw_candidate_t candidates[MAX_TARGETS];

	if (sim->baseline) {
		request->target = (int)(sim->next_target++ % (unsigned)sim->workload->targets);
		request->state = REQUEST_QUEUED;
		g_queue_push_tail(&sim->fifos[request->target], request);
		return;
	}
	for (int i = 0; i < sim->workload->targets; i++)
		candidates[i] = (cw_candidate_t){.vm = sim->vms[i],
						 .zone = zones[i % SIM_ZONES],
						 .incarnation = 1,
						 .slots = SLOTS,
						 .excluded = request->excluded_mask >> i & 1};
	request->target = cw_pick_choose(sim->pickers[request->proxy], candidates,
					 (size_t)sim->workload->targets, &pick_call, sim->now_ms);
	if (request->target < 0) {
		retry_or_fail(sim, request);
		return;
	}
	cw_pick_sent(sim->pickers[request->proxy], sim->vms[request->target], 1, (uint64_t)request->kind + 1);
	submit_call(sim, request);
}

/* Returns the result of a call that is reported to admission control. */
static cw_admit_result_t admit_result(const load_sim_t *sim, const request_t *request)
{
	if (sim->now_ms >= request->deadline_ms)
		return CW_ADMIT_FAILED;
	return request->fails ? CW_ADMIT_ERROR : CW_ADMIT_ANSWERED;
}

/* Ends a call at its target and counts the outcome of its request. */
static void finish_call(load_sim_t *sim, request_t *request)
{
	request_counts_t *counts = &sim->counts[request->kind];
	int64_t elapsed_ms = sim->now_ms + HOP_MS - request->arrival_ms;

	if (sim->baseline) {
		sim->running[request->target]--;
	} else {
		cw_admit_done(sim->admissions[request->target], &request->id, (uint64_t)request->kind + 1,
			      admit_result(sim, request), request->started_ms, sim->now_ms);
		report_result(sim, request, request->fails ? CW_PICK_ERROR : CW_PICK_ANSWERED);
	}
	request->state = REQUEST_ENDED;
	if (request->fails)
		counts->errors++;
	else if (elapsed_ms <= call_kind(sim, request)->target_ms)
		counts->in_time++;
	else if (sim->now_ms < request->deadline_ms)
		counts->late++;
	else
		counts->unanswered++;
}

/* Starts or refuses queued calls of a target. */
static void serve_queue(load_sim_t *sim, int target)
{
	cw_admit_verdict_t verdict;
	cw_reason_t reason;
	uint64_t cookie;

	while (cw_admit_next(sim->admissions[target], sim->now_ms, &cookie, &verdict, &reason)) {
		request_t *request = sim->by_cookie->pdata[cookie - 1];

		if (verdict == CW_ADMIT_START)
			start_call(sim, request);
		else
			handle_refusal(sim, request);
	}
}

/* Starts queued calls of a target of the baseline, first in, first out. */
static void serve_fifo(load_sim_t *sim, int target)
{
	while (sim->running[target] < SLOTS && sim->fifos[target].length) {
		request_t *request = g_queue_pop_head(&sim->fifos[target]);

		if (sim->now_ms >= request->deadline_ms) {
			fail_request(sim, request);
			continue;
		}
		sim->running[target]++;
		start_call(sim, request);
	}
}

/* Draws the timeout of a new request of a kind. */
static int64_t draw_timeout_ms(const load_sim_t *sim, int kind)
{
	double max_ms = (double)sim->workload->kinds[kind].timeout_ms;
	double min_share = sim->workload->min_timeout_share;

	if (min_share <= 0)
		return (int64_t)max_ms;
	return (int64_t)(max_ms * (min_share + (1 - min_share) * g_rand_double(sim->arrival_random)));
}

/* Adds a request that arrives now. */
static void add_request(load_sim_t *sim, int kind)
{
	request_t *request = g_new0(request_t, 1);

	request->kind = kind;
	request->proxy = g_rand_int_range(sim->arrival_random, 0, sim->workload->proxies);
	request->arrival_ms = request->due_ms = sim->now_ms;
	request->deadline_ms = sim->now_ms + draw_timeout_ms(sim, kind);
	g_ptr_array_add(sim->requests, request);
	sim->counts[kind].total++;
}

/* Adds the requests that arrive in this millisecond. */
static void add_requests(load_sim_t *sim)
{
	for (int kind = 0; kind < sim->workload->kind_count; kind++) {
		double expected = sim->workload->kinds[kind].per_s / MS_PER_S;
		int whole_requests = (int)expected;

		for (int i = 0; i < whole_requests; i++)
			add_request(sim, kind);
		if (g_rand_double(sim->arrival_random) < expected - whole_requests)
			add_request(sim, kind);
	}
	for (int i = 0; sim->now_ms < INITIAL_BURST_MS && i < sim->workload->initial_burst; i++)
		add_request(sim, 0);
}

/*
 * Sends a request to its proxy.  The proxy does not know when the request arrived: it estimates
 * the prior wait from the time left before the deadline.
 */
static void start_request(load_sim_t *sim, request_t *request)
{
	int64_t left_ms = request->deadline_ms - sim->now_ms;

	request->useful_until_ms = sim->now_ms + call_kind(sim, request)->target_ms -
				   cw_prior_wait_estimate_ms(sim->prior_waits[request->proxy],
							     (uint64_t)request->kind + 1, left_ms);
	send_attempt(sim, request);
}

/* Sends a waiting request or ends a running one, if its deadline or due_ms has come. */
static void advance_request(load_sim_t *sim, request_t *request)
{
	int64_t deadline_ms = request->deadline_ms;
	bool timed_out = request->state == REQUEST_RUNNING && sim->now_ms >= deadline_ms;

	if (request->state == REQUEST_WAITING && sim->now_ms >= deadline_ms)
		fail_request(sim, request);
	else if (request->state == REQUEST_WAITING && sim->now_ms >= request->due_ms)
		start_request(sim, request);
	else if (request->state == REQUEST_RUNNING && (timed_out || sim->now_ms >= request->due_ms))
		finish_call(sim, request);
}

/* Moves the ended requests to their own list; by_cookie still points to them. */
static void collect_ended(load_sim_t *sim)
{
	for (guint i = sim->requests->len; i-- > 0;) {
		request_t *request = sim->requests->pdata[i];

		if (request->state == REQUEST_ENDED) {
			g_ptr_array_remove_index_fast(sim->requests, i);
			g_ptr_array_add(sim->ended, request);
		}
	}
}

/* Simulates one millisecond. */
static void advance_ms(load_sim_t *sim)
{
	if (sim->now_ms < sim->workload->duration_ms)
		add_requests(sim);
	for (guint i = 0; i < sim->requests->len; i++) {
		request_t *request = sim->requests->pdata[i];

		sim->busy_ms += request->state == REQUEST_RUNNING && sim->now_ms < sim->workload->duration_ms;
		advance_request(sim, request);
	}
	for (int i = 0; i < sim->workload->targets; i++)
		if (sim->baseline)
			serve_fifo(sim, i);
		else
			serve_queue(sim, i);
	collect_ended(sim);
	sim->now_ms++;
}

double load_sim_value_share(const load_sim_t *sim)
{
	double earned = 0;
	double possible = 0;

	for (int i = 0; i < sim->workload->kind_count; i++) {
		const sim_call_kind_t *kind = &sim->workload->kinds[i];

		earned += kind->value * sim->counts[i].in_time + kind->late_value * sim->counts[i].late;
		possible += kind->value * sim->counts[i].total;
	}
	return earned / possible;
}

/* Prints the outcomes if LOAD_VERBOSE is set. */
static void print_summary(const load_sim_t *sim, const char *name)
{
	if (!g_getenv("LOAD_VERBOSE"))
		return;
	printf("%-22s %-8s value %.3f cross-zone %.2f busy %.2f", name,
	       sim->baseline ? "baseline" : "product", load_sim_value_share(sim),
	       (double)sim->cross_zone / sim->started,
	       sim->busy_ms / ((double)sim->workload->duration_ms * sim->workload->targets * SLOTS));
	for (int i = 0; i < sim->workload->kind_count; i++)
		printf("  %s %u: %.3f in time %.3f late %.3f unanswered", sim->workload->kinds[i].name,
		       sim->counts[i].total, (double)sim->counts[i].in_time / sim->counts[i].total,
		       (double)sim->counts[i].late / sim->counts[i].total,
		       (double)sim->counts[i].unanswered / sim->counts[i].total);
	printf("\n");
}

load_sim_t *load_sim_run(const sim_workload_t *workload, bool baseline, const char *name)
{
	load_sim_t *sim = g_new0(load_sim_t, 1);
	const cw_admit_options_t options = {.slots = SLOTS, .queue = QUEUE, .ramp_ms = 0};

	sim->workload = workload;
	sim->baseline = baseline;
	sim->random = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(sim->random, 7);
	sim->arrival_random = g_rand_new_with_seed(11);
	sim->requests = g_ptr_array_new();
	sim->ended = g_ptr_array_new_with_free_func(g_free);
	sim->by_cookie = g_ptr_array_new();
	for (int i = 0; i < workload->targets; i++) {
		sim->vms[i] = g_strdup_printf("vm-%d", i);
		sim->admissions[i] = cw_admit_new(&options);
		cw_admit_mark_warm(sim->admissions[i], 0);
		g_queue_init(&sim->fifos[i]);
	}
	for (int i = 0; i < workload->proxies; i++) {
		sim->pickers[i] = cw_pick_new(zones[i % SIM_ZONES], (uint64_t)i + 1);
		sim->prior_waits[i] = cw_prior_wait_new();
	}
	while (sim->now_ms < workload->duration_ms + DRAIN_MS)
		advance_ms(sim);
	print_summary(sim, name);
	return sim;
}

void load_sim_free(load_sim_t *sim)
{
	g_ptr_array_set_free_func(sim->requests, g_free);
	g_ptr_array_free(sim->requests, TRUE);
	g_ptr_array_free(sim->ended, TRUE);
	g_ptr_array_free(sim->by_cookie, TRUE);
	for (int i = 0; i < sim->workload->targets; i++) {
		cw_admit_free(sim->admissions[i]);
		g_queue_clear(&sim->fifos[i]);
		g_free(sim->vms[i]);
	}
	for (int i = 0; i < sim->workload->proxies; i++) {
		cw_pick_free(sim->pickers[i]);
		cw_prior_wait_free(sim->prior_waits[i]);
	}
	gsl_rng_free(sim->random);
	g_rand_free(sim->arrival_random);
	g_free(sim);
}

double load_sim_in_time_share(const load_sim_t *sim, int kind)
{
	return (double)sim->counts[kind].in_time / sim->counts[kind].total;
}
