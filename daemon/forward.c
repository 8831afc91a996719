/* The sending side of calls: sends attempts to the endpoints of a route until the outcome is known. */
#include "forward_internal.h"

#include "account_counts.h"
#include "accounts.h"
#include "call_counters.h"
#include "clock.h"
#include "headers.h"
#include "histogram.h"
#include "log.h"

enum {
	MAX_CALL_DEPTH = 32, /* nested calls, each made while serving the one before: stops routing loops */
	ENDPOINT_STATS_KEEP_MS = 10 * 60 * 1000, /* after the last result of an endpoint */
	ENDPOINT_STATS_EXPIRY_INTERVAL_MS = 60 * 1000,
	HTTP_UNAVAILABLE = 503,
	HTTP_SERVER_ERROR = 500
};

static void start_granted_call(void *data, void *cookie);
static void refuse_waiting_call(void *data, void *cookie, cw_reason_t reason, uint32_t retry_after_ms);

/* Creates the sending side of a proxy. */
forward_t *forward_new(const proxy_settings_t *settings, uint64_t incarnation,
		       published_view_t *published_view, link_clients_t *clients,
		       const forward_callbacks_t *callbacks)
{
	forward_t *forward = g_new0(forward_t, 1);
	const allotments_callbacks_t allotments_callbacks = {
		.granted = start_granted_call, .refused = refuse_waiting_call, .data = forward};

	forward->settings = settings;
	forward->incarnation = incarnation;
	forward->origin = cw_call_origin(settings->vm, incarnation);
	forward->published_view = published_view;
	forward->rollouts = published_view_rollouts(published_view);
	forward->clients = clients;
	forward->callbacks = *callbacks;
	forward->allotments =
		allotments_new(settings, incarnation, published_view, clients, &allotments_callbacks);
	forward->pick = cw_pick_new(settings->zone, incarnation);
	cw_pick_set_cost_aware(forward->pick, settings->cost_aware);
	forward->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	forward->calls = g_ptr_array_new();
	forward->by_sequence = g_hash_table_new(g_int64_hash, g_int64_equal);
	forward->next_tick_ms = INT64_MAX;
	forward->random = g_rand_new();
	forward->prior_wait = cw_prior_wait_new();
	forward->started_ms = clock_now_ms();
	return forward;
}

/* Removes and frees a call; attempts without a reply are reported with the given result. */
static void remove_call(forward_t *forward, forward_call_t *call, cw_pick_result_t result)
{
	forward_call_t *last;

	for (uint32_t i = 0; i < call->attempt_count; i++) {
		forward_end_attempt(forward, &call->attempts[i], result, NULL);
		g_hash_table_remove(forward->by_sequence, &call->attempts[i].sequence);
	}
	g_ptr_array_remove_index_fast(forward->calls, call->index);
	if (call->index < forward->calls->len) {
		last = g_ptr_array_index(forward->calls, call->index);
		last->index = call->index;
	}
	if (call->awaits_token)
		allotments_cancel(forward->allotments, call->account->id, call);
	*call->handle = NULL;
	endpoints_clear(&call->endpoints);
	cw_message_free(call->request);
	cw_message_free(call->error_reply);
	g_free(call);
}

/* Frees the sending side; calls in flight are dropped. */
void forward_free(forward_t *forward)
{
	while (forward->calls->len)
		remove_call(forward, g_ptr_array_index(forward->calls, 0), CW_PICK_REVOKED);
	g_ptr_array_free(forward->calls, TRUE);
	g_hash_table_destroy(forward->by_sequence);
	g_hash_table_destroy(forward->budgets);
	allotments_free(forward->allotments);
	cw_pick_free(forward->pick);
	g_rand_free(forward->random);
	cw_prior_wait_free(forward->prior_wait);
	g_free(forward);
}

/* Returns the request id that the caller set in a header, or NULL. */
static const char *request_id(const forward_t *forward, const Caraway__CallRequest *request)
{
	for (size_t i = 0; i < request->n_headers; i++)
		if (!g_ascii_strcasecmp(request->headers[i]->name, forward->settings->headers.request_id))
			return request->headers[i]->value;
	return NULL;
}

/* Logs a call that ended without an answer of a target, with its last attempt. */
static void log_failure(const forward_t *forward, const forward_call_t *call,
			const forward_outcome_t *outcome)
{
	const forward_attempt_t *last = call->attempt_count ? &call->attempts[call->attempt_count - 1] : NULL;

	log_info("call-failed", LOG_STR("request", request_id(forward, call->request)),
		 LOG_STR("route", call->endpoints.route->name), LOG_STR("service", call->endpoints.service),
		 LOG_STR("account", call->account ? call->account->name : NULL),
		 LOG_STR("outcome",
			 outcome->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN ? "not-run" : "unknown"),
		 LOG_STR("reason", cw_reason_name(outcome->reason)),
		 LOG_UINT("attempts", call->attempt_count),
		 LOG_STR("last_vm", last ? last->endpoint->vm : NULL),
		 LOG_UINT("version", call->endpoints.view->version), LOG_UINT("wait_ms", call->wait_ms),
		 LOG_UINT("service_ms", call->service_ms), LOG_UINT("load", call->receiver_load),
		 LOG_UINT("slots", call->receiver_slots), LOG_UINT("queued_ms", call->queued_ms),
		 LOG_INT("age_ms", clock_now_ms() - call->state.start_ms),
		 LOG_INT("left_ms", call->state.deadline_ms - clock_now_ms()),
		 LOG_UINT("retry_after_ms", outcome->retry_after_ms), LOG_END);
}

/* Completes a call: counts and logs its outcome and passes it to the owner. */
static void complete_call(forward_t *forward, forward_call_t *call, const forward_outcome_t *outcome)
{
	void *cookie = call->cookie;

	histogram_add(HISTOGRAM_CALL, clock_now_ms() - call->state.start_ms);
	account_counts_ended(call->account, outcome->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED
						    ? CW_REASON_NONE
						    : outcome->reason);
	if (outcome->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED)
		counter_add(COUNTER_CALL_ANSWERED, 1);
	else
		call_count_outcome(outcome->reason);
	if (outcome->outcome != CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED)
		log_failure(forward, call, outcome);
	remove_call(forward, call, CW_PICK_FAILED);
	forward->callbacks.done(forward->callbacks.data, cookie, outcome);
}

/* Returns the retry budget of a service, created on first use. */
static cw_budget_t *budget_for(forward_t *forward, const char *service)
{
	cw_budget_t *budget = g_hash_table_lookup(forward->budgets, service);

	if (budget)
		return budget;
	budget = g_new(cw_budget_t, 1);
	cw_budget_init(budget, forward->settings->retry_percent);
	g_hash_table_insert(forward->budgets, g_strdup(service), budget);
	return budget;
}

/* Returns after how many milliseconds the caller should retry. */
static uint32_t retry_after_ms_of(const forward_t *forward, const forward_call_t *call)
{
	int64_t now_ms = clock_now_ms();
	const cw_refused_call_t refused_call = {.wait_ms = call->wait_ms,
						.service_ms = call->service_ms,
						.useful_ms = call->useful_until_ms - now_ms,
						.left_ms = call->state.deadline_ms - now_ms};

	return cw_retry_after_ms(&refused_call, g_rand_double(forward->random));
}

/* Saves a target's error reply while another target is tried. */
static void save_error_reply(const forward_t *forward, forward_call_t *call, const Caraway__CallReply *reply)
{
	call->error_reply = cw_message_copy(&reply->base);
	log_info("error-retried", LOG_STR("request", request_id(forward, call->request)),
		 LOG_STR("route", call->endpoints.route->name), LOG_UINT("status", reply->status),
		 LOG_STR("vm", call->attempts[call->attempt_count - 1].endpoint->vm), LOG_END);
}

/* Feeds an event to a call's state machine and carries out the resulting actions; may free the call. */
static void step_call(forward_t *forward, forward_call_t *call, cw_call_event_t event,
		      const Caraway__CallReply *reply)
{
	cw_budget_t *budget = budget_for(forward, call->endpoints.service);
	forward_outcome_t outcome = {.reply = reply};
	Caraway__CallReply *error_reply;

	for (;;) {
		cw_call_action_t action = cw_call_step(&call->state, budget, &event, clock_now_ms());

		if (call->state.out_of_budget)
			counter_add(COUNTER_RETRY_NO_BUDGET, 1);
		call->state.out_of_budget = false;
		switch (action.type) {
		case CW_CALL_AC_NONE:
			forward->next_tick_ms =
				MIN(forward->next_tick_ms, cw_call_next_tick_ms(&call->state));
			return;
		case CW_CALL_AC_TRY_ALL:
			endpoints_reset_tried(&call->endpoints);
			event = forward_start_attempt(forward, call);
			break;
		case CW_CALL_AC_TRY:
			if (action.retry)
				call_count_retry(action.reason);
			if (reply && action.reason == CW_REASON_TARGET_ERROR)
				save_error_reply(forward, call, reply);
			event = forward_start_attempt(forward, call);
			break;
		case CW_CALL_AC_REVOKE:
			forward_revoke(forward, call, action.sequence,
				       action.keep_queued ? FORWARD_REVOKE_UNLESS_QUEUED : FORWARD_REVOKE);
			event = (cw_call_event_t){.type = CW_CALL_EV_TICK};
			break;
		case CW_CALL_AC_ANSWER:
			outcome.outcome = CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED;
			complete_call(forward, call, &outcome);
			return;
		case CW_CALL_AC_ANSWER_ERROR:
			error_reply = g_steal_pointer(&call->error_reply);
			outcome = (forward_outcome_t){.outcome = CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED,
						      .reply = error_reply};
			complete_call(forward, call, &outcome);
			cw_message_free(error_reply);
			return;
		case CW_CALL_AC_REFUSE:
		case CW_CALL_AC_FAIL:
			outcome.outcome = action.type == CW_CALL_AC_REFUSE
						  ? CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN
						  : CARAWAY__CALL_OUTCOME__OUTCOME_UNKNOWN;
			outcome.reason = action.reason;
			outcome.retry_after_ms = retry_after_ms_of(forward, call);
			complete_call(forward, call, &outcome);
			return;
		}
	}
}

/* Begins a call that has waited for a token. */
static void start_granted_call(void *data, void *cookie)
{
	forward_call_t *call = cookie;

	call->awaits_token = false;
	step_call(data, call, (cw_call_event_t){.type = CW_CALL_EV_START}, NULL);
}

/* Refuses a call that has no token. */
static void refuse_waiting_call(void *data, void *cookie, cw_reason_t reason, uint32_t retry_after_ms)
{
	forward_t *forward = data;
	forward_call_t *call = cookie;
	const forward_outcome_t outcome = {
		.outcome = CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN,
		.reason = reason,
		.retry_after_ms = retry_after_ms ? retry_after_ms : retry_after_ms_of(forward, call)};

	call->awaits_token = false;
	complete_call(forward, call, &outcome);
}

/* Begins a call once its account has a token for it, or refuses it. */
static void admit_by_allotment(forward_t *forward, forward_call_t *call)
{
	uint32_t retry_after_ms = 0;

	if (!call->account || call->account->calls_per_s <= 0) {
		start_granted_call(forward, call);
		return;
	}
	switch (allotments_take(forward->allotments, call->account, call, &retry_after_ms)) {
	case CW_ALLOTMENT_TAKEN:
		start_granted_call(forward, call);
		break;
	case CW_ALLOTMENT_WAIT:
		call->awaits_token = true;
		forward->next_tick_ms = MIN(forward->next_tick_ms, call->state.deadline_ms);
		break;
	case CW_ALLOTMENT_REFUSED:
		refuse_waiting_call(forward, call, CW_REASON_OVER_ALLOTMENT, retry_after_ms);
		break;
	}
}

/* Refuses a call without making an attempt. */
static void refuse_without_attempt(forward_t *forward, Caraway__CallRequest *request, void *cookie,
				   const endpoints_t *endpoints)
{
	cw_reason_t reason = endpoints->refusal;
	forward_outcome_t outcome = {.outcome = CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, .reason = reason};
	int64_t now_ms = clock_now_ms();

	if (reason == CW_REASON_NO_CONFIG || reason == CW_REASON_CONFIG_STALE ||
	    reason == CW_REASON_KEYS_UNCONFIRMED)
		outcome.retry_after_ms = cw_retry_after_unconfigured_ms(now_ms - forward->started_ms,
									g_rand_double(forward->random));
	call_count_outcome(reason);
	log_info("call-refused", LOG_STR("request", request_id(forward, request)),
		 LOG_STR("path", request->path), LOG_STR("reason", cw_reason_name(reason)),
		 LOG_UINT("version", endpoints->view ? endpoints->view->version : 0),
		 LOG_INT("current_for_ms", endpoints->current_until_ms - now_ms),
		 LOG_INT("keys_for_ms", endpoints->keys_until_ms - now_ms), LOG_END);
	cw_message_free(request);
	forward->callbacks.done(forward->callbacks.data, cookie, &outcome);
}

/* Starts a call; one that has no route or is nested too deeply is refused at once. */
void forward_start_call(forward_t *forward, Caraway__CallRequest *request, const char *host,
			int64_t caller_timeout_ms, void *cookie, forward_call_t **handle)
{
	int64_t now_ms = clock_now_ms();
	const view_account_t *account = NULL;
	endpoints_t endpoints;
	forward_call_t *call;

	*handle = NULL;
	counter_add(COUNTER_CALL_TAKEN, 1);
	endpoints_lookup(&endpoints, forward->published_view, host, request->path,
			 g_rand_double(forward->random));
	if (request->depth > MAX_CALL_DEPTH)
		endpoints.refusal = CW_REASON_TOO_DEEP;
	else if (endpoints.refusal == CW_REASON_NONE)
		endpoints.refusal =
			accounts_identify(&endpoints, &forward->settings->headers, request, &account);
	if (endpoints.refusal != CW_REASON_NONE) {
		refuse_without_attempt(forward, request, cookie, &endpoints);
		endpoints_clear(&endpoints);
		return;
	}
	call = g_new0(forward_call_t, 1);
	call->request = request;
	call->endpoints = endpoints;
	call->account = account;
	account_counts_taken(account);
	call->priority = account && account->has_priority ? account->priority : endpoints.route->priority;
	call->has_own_endpoint =
		endpoints_mark_own(&call->endpoints, forward->settings->vm, forward->incarnation);
	call->cookie = cookie;
	call->handle = handle;
	call->index = forward->calls->len;
	*handle = call;
	g_ptr_array_add(forward->calls, call);
	request->idempotent = forward_is_idempotent(&endpoints, request->method);
	cw_call_init(&call->state, request->idempotent, !request->attempt, now_ms,
		     now_ms + forward_timeout_ms(forward, &endpoints, caller_timeout_ms));
	call->state.max_arrivals = endpoints.route->max_attempts;
	call->useful_until_ms = forward_useful_until_ms(forward, call, caller_timeout_ms, now_ms);
	admit_by_allotment(forward, call);
}

/* Cancels a call whose caller has disconnected; attempts are revoked, running ones aborted. */
void forward_cancel_call(forward_t *forward, forward_call_t *call)
{
	counter_add(COUNTER_CALL_CANCELLED, 1);
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (!call->attempts[i].ended)
			forward_revoke(forward, call, call->attempts[i].sequence, FORWARD_REVOKE_AND_STOP);
	remove_call(forward, call, CW_PICK_REVOKED);
}

/* Maps a reply to the result that is reported to the load balancer. */
static cw_pick_result_t attempt_result(const Caraway__CallReply *reply, cw_reason_t reason)
{
	if (reply->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED) {
		if (reply->status == HTTP_UNAVAILABLE)
			return CW_PICK_TARGET_OVERLOADED;
		return reply->status >= HTTP_SERVER_ERROR ? CW_PICK_ERROR : CW_PICK_ANSWERED;
	}
	switch (reason) {
	case CW_REASON_DRAINING:
	case CW_REASON_INCARNATION:
		return CW_PICK_UNAVAILABLE;
	case CW_REASON_QUEUE_FULL:
	case CW_REASON_CROWDED:
	case CW_REASON_TARGET_FULL:
	case CW_REASON_DEADLINE:
	case CW_REASON_RECORDS_FULL:
		return CW_PICK_REFUSED;
	case CW_REASON_REVOKED:
		return CW_PICK_REVOKED;
	default:
		return CW_PICK_FAILED;
	}
}

/* Finds the call and attempt that a reply belongs to; counts a reply without one and returns NULL. */
static forward_call_t *match_reply(forward_t *forward, const Caraway__CallId *id, const char *address,
				   forward_attempt_t **attempt)
{
	forward_call_t *call;

	if (!id || id->origin != forward->origin) {
		counter_add(COUNTER_REPLY_MISMATCHED, 1);
		return NULL;
	}
	call = g_hash_table_lookup(forward->by_sequence, &id->sequence);
	if (!call) {
		counter_add(COUNTER_REPLY_LATE, 1);
		return NULL;
	}
	*attempt = forward_find_attempt(call, id->sequence);
	if (address ? !g_str_equal(address, (*attempt)->endpoint->address) : !(*attempt)->endpoint->own) {
		counter_add(COUNTER_REPLY_MISMATCHED, 1);
		return NULL;
	}
	return call;
}

/* Records the load of the receiver with the shortest queueing delay among those that did not answer. */
static void record_least_wait(forward_call_t *call, const Caraway__CallReply *reply)
{
	if (call->wait_ms && call->wait_ms <= reply->wait_ms)
		return;
	call->wait_ms = reply->wait_ms;
	call->service_ms = reply->service_ms;
	call->receiver_load = reply->in_use;
	call->receiver_slots = reply->slots;
}

/* Handles the reply to a call request. */
static void handle_reply(forward_t *forward, const Caraway__CallReply *reply, const char *address)
{
	cw_reason_t reason = cw_reason_parse(reply->reason);
	cw_call_event_t event = {.reason = reason};
	forward_attempt_t *attempt;
	forward_call_t *call = match_reply(forward, reply->id, address, &attempt);

	if (!call)
		return;
	event.sequence = reply->id->sequence;
	event.arrived = reply->arrived;
	if (reply->outcome != CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED && reply->wait_ms)
		record_least_wait(call, reply);
	switch (reply->outcome) {
	case CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED:
		event.type = CW_CALL_EV_ANSWERED;
		break;
	case CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN:
		event.type = CW_CALL_EV_NOT_RUN;
		break;
	default:
		event.type = CW_CALL_EV_UNKNOWN;
		break;
	}
	forward_end_attempt(forward, attempt, attempt_result(reply, reason), reply);
	event.error = event.type == CW_CALL_EV_ANSWERED && reply->status == HTTP_SERVER_ERROR &&
		      endpoints_is_error_outlier(&call->endpoints, forward->pick, attempt->endpoint,
						 clock_now_ms());
	step_call(forward, call, event, reply);
}

/* Handles the reply to a revocation. */
static void handle_revoke_reply(forward_t *forward, const Caraway__RevokeReply *reply, const char *address)
{
	cw_call_event_t event = {
		.type = CW_CALL_EV_REVOKED, .never_started = reply->never_started, .kept = reply->kept};
	forward_attempt_t *attempt;
	forward_call_t *call = match_reply(forward, reply->id, address, &attempt);

	if (!call)
		return;
	event.sequence = reply->id->sequence;
	call->queued_ms = reply->queued_ms;
	if (reply->never_started)
		forward_end_attempt(forward, attempt, CW_PICK_REFUSED, NULL);
	step_call(forward, call, event, NULL);
}

/* Handles a reply to a message of this proxy. */
void forward_handle_message(forward_t *forward, const Caraway__Message *message, const char *address)
{
	if (message->body_case == CARAWAY__MESSAGE__BODY_CALL_REPLY)
		handle_reply(forward, message->call_reply, address);
	else if (message->body_case == CARAWAY__MESSAGE__BODY_REVOKE_REPLY)
		handle_revoke_reply(forward, message->revoke_reply, address);
	else if (message->body_case == CARAWAY__MESSAGE__BODY_ALLOTMENT_GRANT)
		allotments_handle_grant(forward->allotments, message->allotment_grant, address);
	else
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
}

/* Returns the answer to another proxy's request for tokens of client accounts. */
Caraway__Message *forward_answer_allotment(forward_t *forward, const Caraway__AllotmentRequest *request,
					   uint64_t origin)
{
	return allotments_answer(forward->allotments, request, origin);
}

/* Returns whether a call in flight has an attempt at an address. */
static bool address_in_use(const void *data, const char *address)
{
	const forward_t *forward = data;

	for (guint i = 0; i < forward->calls->len; i++) {
		const forward_call_t *call = g_ptr_array_index(forward->calls, i);

		for (uint32_t j = 0; j < call->attempt_count; j++)
			if (g_str_equal(call->attempts[j].endpoint->address, address))
				return true;
	}
	return false;
}

/*
 * Runs the expired timers of calls and finds the next one to expire.  A step may
 * remove other calls too: completing one closes the connection of a caller that has
 * left, which cancels its other calls.  The calls not visited yet stay below the
 * index, as removal only moves the last call to a lower one.
 */
static void tick_calls(forward_t *forward, int64_t now_ms)
{
	forward->next_tick_ms = INT64_MAX;
	for (guint i = forward->calls->len; i > 0; i = MIN(i - 1, forward->calls->len)) {
		forward_call_t *call = g_ptr_array_index(forward->calls, i - 1);
		int64_t due_ms = cw_call_next_tick_ms(&call->state);

		if (due_ms <= now_ms && call->awaits_token)
			refuse_waiting_call(forward, call, CW_REASON_DEADLINE, 0);
		else if (due_ms <= now_ms)
			step_call(forward, call, (cw_call_event_t){.type = CW_CALL_EV_TICK}, NULL);
		else
			forward->next_tick_ms = MIN(forward->next_tick_ms, due_ms);
	}
}

/* Applies the published view if it is new: updates connections and notifies the owner. */
static void apply_new_view(forward_t *forward)
{
	const view_t *view = endpoints_poll_view(&forward->seen_serial, forward->published_view);

	if (!view)
		return;
	endpoint_links_update(view, forward->incarnation, forward->clients, address_in_use, forward);
	forward->has_routes = view->route_count > 0;
	allotments_set_view(forward->allotments, view);
	forward->callbacks.view_changed(forward->callbacks.data, view);
	view_unref(view);
}

/* Applies a new view and runs expired timers. */
void forward_run(forward_t *forward)
{
	int64_t now_ms = clock_now_ms();

	apply_new_view(forward);
	rollouts_run(forward->rollouts, now_ms);
	allotments_run(forward->allotments);
	if (now_ms >= forward->next_tick_ms)
		tick_calls(forward, now_ms);
	if (now_ms >= forward->next_expiry_ms) {
		cw_pick_expire(forward->pick, now_ms - ENDPOINT_STATS_KEEP_MS);
		forward->next_expiry_ms = now_ms + ENDPOINT_STATS_EXPIRY_INTERVAL_MS;
	}
}

/* Returns by when forward_run() must be called next; INT64_MAX for no deadline. */
int64_t forward_next_tick_ms(const forward_t *forward)
{
	return MIN(forward->next_tick_ms, allotments_next_tick_ms(forward->allotments));
}

/* Returns the number of calls without an outcome yet. */
uint32_t forward_in_flight(const forward_t *forward)
{
	return forward->calls->len;
}

/* Returns whether this proxy has a configuration with routes. */
bool forward_has_routes(const forward_t *forward)
{
	return forward->has_routes;
}
