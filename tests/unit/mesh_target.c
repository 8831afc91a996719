/* Receivers and targets of a simulated mesh: admission, runs, and the calls that runs make. */
#include <gsl/gsl_randist.h>
#include <math.h>

#include "mesh_internal.h"

enum { SPELL_MS = 600, SPELL_PHASE_MS = 137 };

/* Slow spells: their share of the time, and how many times longer work takes in them. */
static const double spell_share = 0.15;
static const double spell_factor = 2.5;

cw_pick_load_t mesh_report_load(const mesh_sim_t *sim, int target, int kind)
{
	const cw_admit_t *admit = sim->proxies[target].admit;
	uint64_t route = (uint64_t)kind + 1;
	uint32_t priority = sim->load->kinds[kind].priority;

	return (cw_pick_load_t){.in_use = cw_admit_load(admit),
				.slots = cw_admit_slots(admit),
				.route = route,
				.priority = priority,
				.service_ms = (uint32_t)cw_admit_service_ms(admit, route),
				.short_call = cw_admit_is_short(admit, route),
				.wait_ms = cw_admit_wait_ms(admit, priority, sim->now_ms),
				.work_ms = cw_admit_work_ms(admit, sim->now_ms) + 1,
				.speed_percent = cw_admit_speed_percent(admit)};
}

/* Schedules the reply to an attempt. */
static void reply(mesh_sim_t *sim, mesh_attempt_t *attempt, mesh_event_type_t type, cw_reason_t reason,
		  bool arrived)
{
	double bytes = type == MESH_EV_ANSWERED
			       ? MESH_HEADER_BYTES + mesh_kind(sim, attempt->request)->response_bytes
			       : MESH_REFUSAL_BYTES;
	mesh_event_t *event = mesh_schedule(
		sim, type, mesh_transfer(sim, attempt->target, attempt->request->origin, bytes));

	attempt->state = MESH_ATTEMPT_ENDED;
	attempt->generation++;
	event->attempt = attempt;
	event->reason = reason;
	event->flag = arrived;
	event->held_ms = sim->now_ms - attempt->arrived_ms;
	event->load = mesh_report_load(sim, attempt->target, attempt->request->kind);
}

/* Schedules the next step of a run, at its time limit at the latest. */
static void schedule_step(mesh_sim_t *sim, mesh_attempt_t *attempt, int64_t work_ms)
{
	int64_t at_ms = MIN(sim->now_ms + MAX(work_ms, 1), MAX(attempt->run_until_ms, sim->now_ms + 1));
	mesh_event_t *event = mesh_schedule(sim, MESH_EV_STEP, at_ms);

	event->attempt = attempt;
	event->generation = ++attempt->generation;
}

/* Returns whether a target is in a slow spell. */
static bool in_spell(const mesh_sim_t *sim, int target, int64_t now_ms)
{
	const mesh_proxy_t *proxy = &sim->proxies[target];
	/* The frames of targets begin at different times. */
	int64_t frame = (now_ms + target * SPELL_PHASE_MS) / SPELL_MS;

	return sim->load->services[proxy->service].spells &&
	       g_str_hash(proxy->vm) * 2654435761U + (uint32_t)frame * 2246822519U * (uint32_t)(target + 1) <
		       (uint32_t)(spell_share * UINT32_MAX);
}

/* Returns the time that work takes which a target begins now. */
static int64_t time_of_work_ms(const mesh_sim_t *sim, int target, int64_t work_ms)
{
	double left_ms = (double)work_ms;
	int64_t took_ms = 0;

	if (!sim->load->services[sim->proxies[target].service].spells)
		return work_ms;
	for (; left_ms > 0; took_ms++)
		left_ms -= in_spell(sim, target, sim->now_ms + took_ms) ? 1 / spell_factor : 1;
	return took_ms;
}

/* Draws the work of a call at a target from a log-normal distribution. */
static double draw_work_ms(const mesh_sim_t *sim, const mesh_attempt_t *attempt)
{
	const mesh_kind_t *kind = mesh_kind(sim, attempt->request);
	double sigma = sqrt(log(1 + kind->spread * kind->spread));
	bool heavy = sim->load->heavy_share > 0 && gsl_rng_uniform(sim->random) < sim->load->heavy_share;

	return gsl_ran_lognormal(sim->random, log(kind->mean_ms) - sigma * sigma / 2, sigma) *
	       sim->proxies[attempt->target].speed * (heavy ? sim->load->heavy_factor : 1);
}

/* Starts a call at its target. */
static void start_run(mesh_sim_t *sim, mesh_attempt_t *attempt)
{
	mesh_proxy_t *proxy = &sim->proxies[attempt->target];
	const mesh_kind_t *kind = mesh_kind(sim, attempt->request);
	double work_ms = draw_work_ms(sim, attempt);
	bool makes_call = kind->calls != MESH_NO_KIND && gsl_rng_uniform(sim->random) < kind->call_share;

	attempt->state = MESH_ATTEMPT_RUNNING;
	attempt->started_ms = sim->now_ms;
	proxy->running++;
	attempt->calls_left = makes_call ? kind->call_times : 0;
	attempt->rest_ms = makes_call ? MAX(1, (int64_t)(work_ms / 2)) : 0;
	schedule_step(sim, attempt,
		      time_of_work_ms(sim, attempt->target, (int64_t)(makes_call ? work_ms / 2 : work_ms)));
}

/* Starts or refuses queued calls, and schedules when to look at the queue again. */
static void serve_queue(mesh_sim_t *sim, int target)
{
	mesh_proxy_t *proxy = &sim->proxies[target];
	cw_admit_verdict_t verdict;
	cw_reason_t reason;
	uint64_t cookie;
	int64_t check_ms;

	while (!mesh_has_admission(sim) && proxy->fifo.length &&
	       proxy->running < cw_admit_slots(proxy->admit)) {
		mesh_attempt_t *attempt = g_queue_pop_head(&proxy->fifo);

		if (attempt->state == MESH_ATTEMPT_QUEUED)
			start_run(sim, attempt);
	}
	if (!mesh_has_admission(sim))
		return;
	while (cw_admit_next(proxy->admit, sim->now_ms, &cookie, &verdict, &reason)) {
		mesh_attempt_t *attempt = sim->attempts->pdata[cookie - 1];

		if (verdict == CW_ADMIT_START)
			start_run(sim, attempt);
		else
			reply(sim, attempt, MESH_EV_NOT_RUN, reason, false);
	}
	check_ms = cw_admit_next_check_ms(proxy->admit);
	if (check_ms < sim->end_ms)
		mesh_schedule(sim, MESH_EV_QUEUE, check_ms)->proxy = target;
}

/* Ends a run: frees the slot, replies and starts the next call. */
static void end_run(mesh_sim_t *sim, mesh_attempt_t *attempt, cw_admit_result_t result)
{
	mesh_proxy_t *proxy = &sim->proxies[attempt->target];
	const mesh_request_t *request = attempt->request;
	bool awaited = request->open && request->sends == attempt->send;
	double took_ms = (double)(sim->now_ms - attempt->started_ms);

	proxy->running--;
	sim->run_ms += took_ms;
	proxy->run_ms += took_ms;
	if (result != CW_ADMIT_ANSWERED || !awaited)
		sim->wasted_ms += took_ms;
	if (mesh_has_admission(sim))
		cw_admit_done(proxy->admit, &attempt->id, (uint64_t)request->kind + 1, result,
			      attempt->started_ms, sim->now_ms);
	switch (result) {
	case CW_ADMIT_ANSWERED:
		reply(sim, attempt, MESH_EV_ANSWERED, CW_REASON_NONE, true);
		break;
	case CW_ADMIT_ERROR:
		reply(sim, attempt, MESH_EV_ERROR, CW_REASON_NONE, true);
		break;
	default:
		reply(sim, attempt, MESH_EV_UNKNOWN, CW_REASON_NO_ANSWER, true);
		break;
	}
	serve_queue(sim, attempt->target);
}

/* Makes the call of a run that is halfway through its work. */
static void make_call(mesh_sim_t *sim, mesh_attempt_t *attempt)
{
	int kind = mesh_kind(sim, attempt->request)->calls;
	int64_t deadline_ms = MIN(attempt->run_until_ms, sim->now_ms + sim->load->kinds[kind].timeout_ms);

	attempt->generation++;
	attempt->calls_left--;
	mesh_add_request(sim, kind, attempt->target, attempt, deadline_ms);
}

void mesh_call_ended(mesh_sim_t *sim, mesh_attempt_t *attempt, bool answered)
{
	int64_t rest_ms = attempt->rest_ms;

	if (attempt->state != MESH_ATTEMPT_RUNNING)
		return;
	if (!answered) {
		end_run(sim, attempt, CW_ADMIT_ERROR);
		return;
	}
	if (!attempt->calls_left)
		attempt->rest_ms = 0;
	schedule_step(sim, attempt, attempt->calls_left ? 0 : time_of_work_ms(sim, attempt->target, rest_ms));
}

/* Continues a run: makes its call, or ends it. */
static void step_run(mesh_sim_t *sim, mesh_attempt_t *attempt)
{
	if (attempt->state != MESH_ATTEMPT_RUNNING)
		return;
	if (sim->now_ms >= attempt->run_until_ms)
		end_run(sim, attempt, CW_ADMIT_FAILED);
	else if (attempt->rest_ms)
		make_call(sim, attempt);
	else
		end_run(sim, attempt, CW_ADMIT_ANSWERED);
}

/* Handles an attempt that reaches its receiver. */
static void handle_arrival(mesh_sim_t *sim, mesh_attempt_t *attempt)
{
	mesh_proxy_t *proxy = &sim->proxies[attempt->target];
	const cw_admit_call_t call = {.id = attempt->id,
				      .cookie = attempt->position + 1,
				      .route = (uint64_t)attempt->request->kind + 1,
				      .priority = mesh_kind(sim, attempt->request)->priority,
				      .deadline_ms = attempt->start_by_ms,
				      .useful_until_ms = attempt->useful_until_ms};
	cw_reason_t reason;

	if (attempt->state != MESH_ATTEMPT_SENT)
		return;
	attempt->arrived_ms = sim->now_ms;
	if (!mesh_has_admission(sim) && sim->policy != MESH_NO_ADMISSION &&
	    proxy->fifo.length >= (sim->load->queue ? sim->load->queue : MESH_QUEUE)) {
		reply(sim, attempt, MESH_EV_NOT_RUN, CW_REASON_TARGET_FULL, true);
		return;
	}
	if (!mesh_has_admission(sim)) {
		attempt->state = MESH_ATTEMPT_QUEUED;
		g_queue_push_tail(&proxy->fifo, attempt);
		serve_queue(sim, attempt->target);
		return;
	}
	switch (cw_admit_arrive(proxy->admit, &call, sim->now_ms, &reason)) {
	case CW_ADMIT_START:
		start_run(sim, attempt);
		break;
	case CW_ADMIT_QUEUE:
		attempt->state = MESH_ATTEMPT_QUEUED;
		break;
	case CW_ADMIT_REFUSE:
		reply(sim, attempt, MESH_EV_NOT_RUN, reason, false);
		break;
	case CW_ADMIT_IGNORE:
		break;
	}
	serve_queue(sim, attempt->target);
}

/* Handles a revocation that reaches its receiver. */
static void handle_revoke(mesh_sim_t *sim, mesh_attempt_t *attempt, bool keep_queued)
{
	cw_admit_t *admit = sim->proxies[attempt->target].admit;
	mesh_event_t *event = mesh_schedule(
		sim, MESH_EV_REVOKED,
		mesh_transfer(sim, attempt->target, attempt->request->origin, MESH_REFUSAL_BYTES));
	uint64_t cookie;

	event->attempt = attempt;
	if (!mesh_has_admission(sim))
		event->flag = attempt->state == MESH_ATTEMPT_QUEUED;
	else if (keep_queued && cw_admit_is_expected(admit, &attempt->id, sim->now_ms))
		event->kept = true;
	else
		event->flag = cw_admit_revoke(admit, &attempt->id, sim->now_ms, &cookie);
	if (event->flag)
		attempt->state = MESH_ATTEMPT_ENDED;
}

void mesh_target_event(mesh_sim_t *sim, const mesh_event_t *event)
{
	switch (event->type) {
	case MESH_EV_ARRIVE:
		handle_arrival(sim, event->attempt);
		break;
	case MESH_EV_STEP:
		if (event->generation == event->attempt->generation)
			step_run(sim, event->attempt);
		break;
	case MESH_EV_REVOKE:
		handle_revoke(sim, event->attempt, event->flag);
		break;
	default:
		serve_queue(sim, event->proxy);
		break;
	}
}
