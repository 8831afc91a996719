/* Origins of a simulated mesh: callers, the calls of targets, attempts and retries. */
#include "mesh_internal.h"

enum {
	DEFAULT_SENDS = 2,	   /* of a caller's request: the first and one retry */
	MAX_RETRY_WAIT_DIVISOR = 3 /* callers wait at most 1/3 of their time left before a retry */
};

static const char *const zones[MESH_MAX_ZONES] = {"a", "b", "c", "d", "e", "f"};

/* Returns the bytes of a request, with its body. */
static double request_bytes(const mesh_sim_t *sim, const mesh_request_t *request)
{
	return MESH_HEADER_BYTES + mesh_kind(sim, request)->request_bytes;
}

/* Schedules the sending of a request to its origin, after a wait of the caller. */
static void schedule_send(mesh_sim_t *sim, mesh_request_t *request, int64_t wait_ms)
{
	mesh_schedule(sim, MESH_EV_SEND, sim->now_ms + wait_ms + MESH_HOP_MS)->request = request;
}

void mesh_add_request(mesh_sim_t *sim, int kind, int origin, mesh_attempt_t *parent, int64_t deadline_ms)
{
	mesh_request_t *request = g_new0(mesh_request_t, 1);

	request->kind = kind;
	request->origin = origin;
	request->parent = parent;
	request->first_ms = sim->now_ms;
	request->deadline_ms = deadline_ms;
	g_ptr_array_add(sim->requests, request);
	if (!parent) {
		sim->counts[kind].total++;
		sim->counts[kind].zone_total[sim->proxies[origin].zone]++;
	}
	schedule_send(sim, request, 0);
}

/* Returns within which time of its first sending a request of a kind is answered in time. */
static int64_t objective_ms(const mesh_kind_t *kind)
{
	return kind->target_ms ? kind->target_ms : kind->timeout_ms;
}

/* Returns the end of a request's latency objective, as the origin estimates it. */
static int64_t estimate_useful_until_ms(const mesh_sim_t *sim, const mesh_request_t *request)
{
	const mesh_kind_t *kind = mesh_kind(sim, request);

	if (!kind->target_ms)
		return request->deadline_ms;
	return sim->now_ms + kind->target_ms -
	       cw_prior_wait_estimate_ms(sim->proxies[request->origin].prior_wait,
					 (uint64_t)request->kind + 1, request->deadline_ms - sim->now_ms);
}

/* Ends a request with an answer. */
static void end_answered(mesh_sim_t *sim, mesh_request_t *request)
{
	mesh_counts_t *counts = &sim->counts[request->kind];
	int64_t took_ms = sim->now_ms + MESH_HOP_MS - request->first_ms;

	request->open = false;
	if (request->parent)
		mesh_call_ended(sim, request->parent, true);
	if (request->parent)
		return;
	g_array_append_val(counts->took_ms, took_ms);
	if (took_ms <= objective_ms(mesh_kind(sim, request))) {
		counts->in_time++;
		counts->zone_in_time[sim->proxies[request->origin].zone]++;
	} else {
		counts->late++;
	}
}

/* Returns how often a caller sends a request of a kind, at most. */
static unsigned max_sends(const mesh_kind_t *kind)
{
	return kind->sends ? kind->sends : DEFAULT_SENDS;
}

/* Ends a send without an answer: the caller sends it again after a wait, or gives up. */
static void end_failed(mesh_sim_t *sim, mesh_request_t *request, bool not_run, int64_t wait_ms)
{
	mesh_counts_t *counts = &sim->counts[request->kind];
	int64_t left_ms = request->deadline_ms - sim->now_ms;

	request->open = false;
	if (request->came_back && not_run)
		sim->refused_again++;
	request->came_back = false;
	if (request->parent)
		mesh_call_ended(sim, request->parent, false);
	else if (request->sends < max_sends(mesh_kind(sim, request)) && left_ms > 0 &&
		 (not_run || mesh_kind(sim, request)->idempotent)) {
		sim->came_back += not_run;
		request->came_back = not_run;
		schedule_send(sim, request, MIN(wait_ms, left_ms / MAX_RETRY_WAIT_DIVISOR));
	} else {
		(*(not_run ? &counts->refused : &counts->failed))++;
	}
}

/* Returns the time after which the caller of a refused call is told to retry. */
static int64_t retry_after_ms(const mesh_sim_t *sim, mesh_request_t *request)
{
	request->refused_call.useful_ms = request->useful_until_ms - sim->now_ms;
	request->refused_call.left_ms = request->deadline_ms - sim->now_ms;
	return cw_retry_after_ms(&request->refused_call, gsl_rng_uniform(sim->random));
}

/* Returns the target with the fewest outstanding calls of an origin among all or two random ones. */
static int fewest_outstanding(mesh_sim_t *sim, const mesh_proxy_t *origin, int first, int count, bool two)
{
	int tries = two ? 2 : count;
	int start = (int)gsl_rng_uniform_int(sim->random, (unsigned long)count);
	int best = first + start;

	for (int i = 1; i < tries; i++) {
		int offset = two ? (int)gsl_rng_uniform_int(sim->random, (unsigned long)count) : i;
		int other = first + (start + offset) % count;

		if (origin->outstanding[other] < origin->outstanding[best])
			best = other;
	}
	return best;
}

/* Returns the target that a policy without admission control chooses. */
static int choose_simply(mesh_sim_t *sim, mesh_request_t *request, int first, int count)
{
	mesh_proxy_t *origin = &sim->proxies[request->origin];
	int service = mesh_kind(sim, request)->service;

	switch (sim->policy) {
	case MESH_ROUND_ROBIN:
		return first + (int)((origin->next[service]++ + (uint32_t)request->origin) % (uint32_t)count);
	case MESH_LEAST_OUTSTANDING:
		return fewest_outstanding(sim, origin, first, count, false);
	case MESH_TWO_CHOICES:
		return fewest_outstanding(sim, origin, first, count, true);
	default:
		return first + (int)gsl_rng_uniform_int(sim->random, (unsigned long)count);
	}
}

/* Returns the index of the proxy that the next attempt goes to, or a negative value of cw_pick_choose(). */
static int choose_target(mesh_sim_t *sim, mesh_request_t *request)
{
	const mesh_kind_t *kind = mesh_kind(sim, request);
	const mesh_proxy_t *origin = &sim->proxies[request->origin];
	const cw_pick_load_t own_load = mesh_report_load(sim, request->origin, request->kind);
	const cw_pick_call_t call = {.route = (uint64_t)request->kind + 1,
				     .priority = kind->priority,
				     .own_load = origin->service == kind->service ? &own_load : NULL,
				     .useful_ms = request->useful_until_ms - sim->now_ms,
				     .left_ms = request->state.deadline_ms - sim->now_ms,
				     .refusals = request->state.crowded_refusals};
	int first = sim->first_of_service[kind->service];
	int count = sim->targets_of_service[kind->service];
	cw_candidate_t candidates[MESH_MAX_TARGETS];
	int position;

	if (!mesh_has_admission(sim))
		return choose_simply(sim, request, first, count);
	for (int i = 0; i < count; i++)
		candidates[i] = (cw_candidate_t){.vm = sim->proxies[first + i].vm,
						 .zone = zones[sim->proxies[first + i].zone],
						 .incarnation = 1,
						 .slots = sim->load->services[kind->service].slots,
						 .own = first + i == request->origin,
						 .excluded = request->tried[i]};
	position = cw_pick_choose(sim->proxies[request->origin].pick, candidates, (size_t)count, &call,
				  sim->now_ms);
	if (position < 0)
		return position;
	request->tried[position] = 1;
	return first + position;
}

/* Sends one attempt; returns the resulting event of the call. */
static cw_call_event_t start_attempt(mesh_sim_t *sim, mesh_request_t *request)
{
	mesh_proxy_t *origin = &sim->proxies[request->origin];
	int target = choose_target(sim, request);
	mesh_attempt_t *attempt;

	if (target < 0)
		return (cw_call_event_t){.type = CW_CALL_EV_NO_ENDPOINT,
					 .reason = target == CW_PICK_CROWDED ? CW_REASON_CROWDED
									     : CW_REASON_NONE};
	attempt = g_new0(mesh_attempt_t, 1);
	attempt->request = request;
	attempt->position = sim->attempts->len;
	attempt->send = request->sends;
	attempt->target = target;
	attempt->sent_ms = sim->now_ms;
	attempt->id = (cw_call_id_t){.origin = (uint64_t)request->origin + 1, .sequence = ++origin->sequence};
	attempt->start_by_ms = cw_call_receiver_deadline_ms(&request->state);
	attempt->run_until_ms = attempt->start_by_ms + cw_call_run_on_ms(&request->state);
	attempt->useful_until_ms = request->useful_until_ms;
	g_ptr_array_add(sim->attempts, attempt);
	origin->outstanding[target]++;
	cw_pick_sent(origin->pick, sim->proxies[target].vm, 1, (uint64_t)request->kind + 1);
	mesh_schedule(sim, MESH_EV_ARRIVE,
		      mesh_transfer(sim, request->origin, target, request_bytes(sim, request)))
		->attempt = attempt;
	return (cw_call_event_t){.type = CW_CALL_EV_SENT, .sequence = attempt->id.sequence};
}

/* Returns the attempt of a request with a sequence. */
static mesh_attempt_t *find_attempt(const mesh_sim_t *sim, const mesh_request_t *request, uint64_t sequence)
{
	for (guint i = sim->attempts->len; i-- > 0;) {
		mesh_attempt_t *attempt = sim->attempts->pdata[i];

		if (attempt->request == request && attempt->id.sequence == sequence)
			return attempt;
	}
	return NULL;
}

/* Feeds an event to the state machine of a call and carries out the actions. */
static void step_call(mesh_sim_t *sim, mesh_request_t *request, cw_call_event_t event)
{
	cw_budget_t *budget = &sim->proxies[request->origin].budgets[mesh_kind(sim, request)->service];
	mesh_attempt_t *attempt;
	mesh_event_t *next;

	for (;;) {
		cw_call_action_t action = cw_call_step(&request->state, budget, &event, sim->now_ms);

		switch (action.type) {
		case CW_CALL_AC_NONE:
			next = mesh_schedule(sim, MESH_EV_TICK, cw_call_next_tick_ms(&request->state));
			next->request = request;
			next->generation = request->sends;
			return;
		case CW_CALL_AC_TRY_ALL:
			memset(request->tried, 0, sizeof(request->tried));
			/* fall through */
		case CW_CALL_AC_TRY:
			event = start_attempt(sim, request);
			break;
		case CW_CALL_AC_REVOKE:
			attempt = find_attempt(sim, request, action.sequence);
			next = mesh_schedule(
				sim, MESH_EV_REVOKE,
				mesh_transfer(sim, request->origin, attempt->target, MESH_REFUSAL_BYTES));
			next->attempt = attempt;
			next->flag = action.keep_queued;
			event = (cw_call_event_t){.type = CW_CALL_EV_TICK};
			break;
		case CW_CALL_AC_ANSWER:
			end_answered(sim, request);
			return;
		case CW_CALL_AC_ANSWER_ERROR:
			end_failed(sim, request, false, 0);
			return;
		case CW_CALL_AC_REFUSE:
			sim->ended[action.reason]++;
			end_failed(sim, request, true, retry_after_ms(sim, request));
			return;
		case CW_CALL_AC_FAIL:
			sim->ended[action.reason]++;
			end_failed(sim, request, false, 0);
			return;
		}
	}
}

/* Starts the call of a request that a caller or a target sends to its proxy. */
static void start_call(mesh_sim_t *sim, mesh_request_t *request)
{
	const mesh_kind_t *kind = mesh_kind(sim, request);
	int64_t left_ms = request->deadline_ms - sim->now_ms;

	if (left_ms <= 0) {
		end_failed(sim, request, true, 0);
		return;
	}
	request->sends++;
	request->open = true;
	request->refused_call = (cw_refused_call_t){0};
	memset(request->tried, 0, sizeof(request->tried));
	request->useful_until_ms = estimate_useful_until_ms(sim, request);
	cw_call_init(&request->state, kind->idempotent, true, sim->now_ms, request->deadline_ms);
	request->state.max_arrivals = 2;
	step_call(sim, request, (cw_call_event_t){.type = CW_CALL_EV_START});
}

/* Maps the reply of a receiver to the result for the endpoint selection. */
static cw_pick_result_t pick_result(const mesh_event_t *event)
{
	switch (event->type) {
	case MESH_EV_ANSWERED:
		return CW_PICK_ANSWERED;
	case MESH_EV_ERROR:
		return CW_PICK_ERROR;
	case MESH_EV_NOT_RUN:
		return CW_PICK_REFUSED;
	default:
		return CW_PICK_FAILED;
	}
}

/* Keeps the load of the receiver with the shortest wait, for Retry-After. */
static void record_least_wait(mesh_request_t *request, const cw_pick_load_t *load)
{
	if (!load->wait_ms ||
	    (request->refused_call.wait_ms && request->refused_call.wait_ms <= load->wait_ms))
		return;
	request->refused_call.wait_ms = load->wait_ms;
	request->refused_call.service_ms = load->service_ms;
}

/* Handles the reply to an attempt. */
static void handle_reply(mesh_sim_t *sim, const mesh_event_t *event)
{
	mesh_attempt_t *attempt = event->attempt;
	mesh_request_t *request = attempt->request;
	cw_pick_load_t load = event->load;
	cw_call_event_t call_event = {
		.sequence = attempt->id.sequence, .reason = event->reason, .arrived = event->flag};

	sim->proxies[request->origin].outstanding[attempt->target]--;
	load.overhead_ms = (uint32_t)(sim->now_ms - attempt->sent_ms - event->held_ms);
	cw_pick_ended(sim->proxies[request->origin].pick, sim->proxies[attempt->target].vm, 1,
		      pick_result(event), &load, sim->now_ms);
	if (!request->open || request->sends != attempt->send)
		return;
	if (event->type == MESH_EV_ERROR) {
		end_failed(sim, request, false, 0);
		return;
	}
	if (event->type != MESH_EV_ANSWERED)
		record_least_wait(request, &event->load);
	call_event.type = event->type == MESH_EV_ANSWERED  ? CW_CALL_EV_ANSWERED
			  : event->type == MESH_EV_NOT_RUN ? CW_CALL_EV_NOT_RUN
							   : CW_CALL_EV_UNKNOWN;
	step_call(sim, request, call_event);
}

/* Handles the reply to a revocation. */
static void handle_revoked(mesh_sim_t *sim, const mesh_event_t *event)
{
	mesh_attempt_t *attempt = event->attempt;
	mesh_request_t *request = attempt->request;

	if (event->flag)
		sim->proxies[request->origin].outstanding[attempt->target]--;
	if (event->flag)
		cw_pick_ended(sim->proxies[request->origin].pick, sim->proxies[attempt->target].vm, 1,
			      CW_PICK_REFUSED, &(cw_pick_load_t){0}, sim->now_ms);
	if (request->open && request->sends == attempt->send)
		step_call(sim, request,
			  (cw_call_event_t){.type = CW_CALL_EV_REVOKED,
					    .sequence = attempt->id.sequence,
					    .never_started = event->flag,
					    .kept = event->kept});
}

void mesh_origin_event(mesh_sim_t *sim, const mesh_event_t *event)
{
	switch (event->type) {
	case MESH_EV_SEND:
		start_call(sim, event->request);
		break;
	case MESH_EV_TICK:
		if (event->request->open && event->request->sends == event->generation)
			step_call(sim, event->request, (cw_call_event_t){.type = CW_CALL_EV_TICK});
		break;
	case MESH_EV_REVOKED:
		handle_revoked(sim, event);
		break;
	default:
		handle_reply(sim, event);
		break;
	}
}
