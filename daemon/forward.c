/* The sending side of calls: attempts at the endpoints of a route until the outcome is known. */
#include "forward_internal.h"

#include "call_counters.h"
#include "clock.h"
#include "headers.h"
#include "histogram.h"
#include "log.h"

enum {
	MAX_DEPTH = 32,
	PICK_KEEP_MS = 10 * 60 * 1000, /* what is known of an endpoint without calls is kept this long */
	PICK_EXPIRE_MS = 60 * 1000,
	HTTP_SHED = 503,
	HTTP_SERVER_ERROR = 500
};

/* Makes the sending side of a proxy. */
forward_t *forward_new(const proxy_settings_t *settings, uint64_t incarnation, view_slot_t *views,
		       link_clients_t *clients, const forward_hooks_t *hooks)
{
	forward_t *forward = g_new0(forward_t, 1);

	forward->settings = settings;
	forward->incarnation = incarnation;
	forward->origin = cw_call_origin(settings->vm, incarnation);
	forward->views = views;
	forward->clients = clients;
	forward->hooks = *hooks;
	forward->pick = cw_pick_new(settings->zone, incarnation);
	forward->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	forward->calls = g_ptr_array_new();
	forward->by_sequence = g_hash_table_new(g_int64_hash, g_int64_equal);
	forward->next_ms = INT64_MAX;
	forward->random = g_rand_new();
	forward->patience = cw_prior_wait_new();
	forward->began_ms = clock_now_ms();
	return forward;
}

/* Forgets a call; attempts without an answer end with the result given. */
static void remove_call(forward_t *forward, forward_call_t *call, cw_pick_result_t result)
{
	forward_call_t *last;

	for (uint32_t i = 0; i < call->sent_count; i++) {
		forward_end_attempt(forward, &call->sent[i], result, NULL);
		g_hash_table_remove(forward->by_sequence, &call->sent[i].sequence);
	}
	g_ptr_array_remove_index_fast(forward->calls, call->position);
	if (call->position < forward->calls->len) {
		last = g_ptr_array_index(forward->calls, call->position);
		last->position = call->position;
	}
	*call->handle = NULL;
	endpoints_clear(&call->endpoints);
	cw_message_free(call->request);
	cw_message_free(call->error);
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
	cw_pick_free(forward->pick);
	g_rand_free(forward->random);
	cw_prior_wait_free(forward->patience);
	g_free(forward);
}

/* Returns the caller's identifier of a request, or NULL. */
static const char *request_id(const forward_t *forward, const Caraway__CallRequest *request)
{
	for (size_t i = 0; i < request->n_headers; i++)
		if (!g_ascii_strcasecmp(request->headers[i]->name, forward->settings->headers.request_id))
			return request->headers[i]->value;
	return NULL;
}

/* Logs how a call ended without an answer of a target, and where it was tried last. */
static void log_failure(const forward_t *forward, const forward_call_t *call,
			const forward_outcome_t *outcome)
{
	const forward_sent_t *last = call->sent_count ? &call->sent[call->sent_count - 1] : NULL;

	log_info("call-failed", LOG_STR("request", request_id(forward, call->request)),
		 LOG_STR("route", call->endpoints.route->name), LOG_STR("service", call->endpoints.service),
		 LOG_STR("outcome",
			 outcome->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN ? "not-run" : "unknown"),
		 LOG_STR("reason", cw_reason_name(outcome->reason)), LOG_UINT("attempts", call->sent_count),
		 LOG_STR("last_vm", last ? last->endpoint->vm : NULL),
		 LOG_UINT("version", call->endpoints.view->version), LOG_UINT("wait_ms", call->wait_ms),
		 LOG_UINT("service_ms", call->service_ms), LOG_UINT("load", call->load),
		 LOG_UINT("slots", call->slots), LOG_INT("left_ms", call->core.deadline_ms - clock_now_ms()),
		 LOG_UINT("retry_after_ms", outcome->retry_after_ms), LOG_END);
}

/* Ends a call and tells its owner. */
static void complete(forward_t *forward, forward_call_t *call, const forward_outcome_t *outcome)
{
	void *cookie = call->cookie;

	histogram_add(HISTOGRAM_CALL, clock_now_ms() - call->core.start_ms);
	if (outcome->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED)
		counter_add(COUNTER_CALL_ANSWERED, 1);
	else
		call_count_outcome(outcome->reason);
	if (outcome->outcome != CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED)
		log_failure(forward, call, outcome);
	remove_call(forward, call, CW_PICK_FAILED);
	forward->hooks.done(forward->hooks.data, cookie, outcome);
}

/* Returns the retry budget of a service. */
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

/* Returns when the caller may best come back, in milliseconds. */
static uint32_t retry_after_ms(const forward_t *forward, const forward_call_t *call)
{
	int64_t now_ms = clock_now_ms();
	const cw_refused_call_t retry = {.wait_ms = call->wait_ms,
					 .service_ms = call->service_ms,
					 .useful_ms = call->useful_until_ms - now_ms,
					 .left_ms = call->core.deadline_ms - now_ms};

	return cw_retry_after_ms(&retry, g_rand_double(forward->random));
}

/* Keeps a target's error while another target is tried. */
static void keep_error(const forward_t *forward, forward_call_t *call, const Caraway__CallReply *reply)
{
	call->error = cw_message_copy(&reply->base);
	log_info("error-retried", LOG_STR("request", request_id(forward, call->request)),
		 LOG_STR("route", call->endpoints.route->name), LOG_UINT("status", reply->status),
		 LOG_STR("vm", call->sent[call->sent_count - 1].endpoint->vm), LOG_END);
}

/* Steps a call and carries out the actions that follow; the call may be gone afterwards. */
static void step(forward_t *forward, forward_call_t *call, cw_call_event_t event,
		 const Caraway__CallReply *reply)
{
	cw_budget_t *budget = budget_for(forward, call->endpoints.service);
	forward_outcome_t outcome = {.reply = reply};
	Caraway__CallReply *error;

	for (;;) {
		cw_call_action_t action = cw_call_step(&call->core, budget, &event, clock_now_ms());

		if (call->core.out_of_budget)
			counter_add(COUNTER_RETRY_NO_BUDGET, 1);
		call->core.out_of_budget = false;
		switch (action.type) {
		case CW_CALL_AC_NONE:
			forward->next_ms = MIN(forward->next_ms, cw_call_next_tick_ms(&call->core));
			return;
		case CW_CALL_AC_TRY_ALL:
			endpoints_forget_tried(&call->endpoints);
			event = forward_try(forward, call);
			break;
		case CW_CALL_AC_TRY:
			if (action.retry)
				call_count_retry(action.reason);
			if (reply && action.reason == CW_REASON_TARGET_ERROR)
				keep_error(forward, call, reply);
			event = forward_try(forward, call);
			break;
		case CW_CALL_AC_REVOKE:
			forward_revoke(forward, call, action.sequence, false);
			event = (cw_call_event_t){.type = CW_CALL_EV_TICK};
			break;
		case CW_CALL_AC_ANSWER:
			outcome.outcome = CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED;
			complete(forward, call, &outcome);
			return;
		case CW_CALL_AC_ANSWER_ERROR:
			error = g_steal_pointer(&call->error);
			outcome = (forward_outcome_t){.outcome = CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED,
						      .reply = error};
			complete(forward, call, &outcome);
			cw_message_free(error);
			return;
		case CW_CALL_AC_REFUSE:
		case CW_CALL_AC_FAIL:
			outcome.outcome = action.type == CW_CALL_AC_REFUSE
						  ? CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN
						  : CARAWAY__CALL_OUTCOME__OUTCOME_UNKNOWN;
			outcome.reason = action.reason;
			outcome.retry_after_ms = retry_after_ms(forward, call);
			complete(forward, call, &outcome);
			return;
		}
	}
}

/* Refuses a call before any attempt. */
static void refuse_early(forward_t *forward, Caraway__CallRequest *request, void *cookie, cw_reason_t reason)
{
	forward_outcome_t outcome = {.outcome = CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, .reason = reason};

	if (reason == CW_REASON_NO_CONFIG)
		outcome.retry_after_ms = cw_retry_after_unconfigured_ms(clock_now_ms() - forward->began_ms,
									g_rand_double(forward->random));
	call_count_outcome(reason);
	log_info("call-refused", LOG_STR("request", request_id(forward, request)),
		 LOG_STR("path", request->path), LOG_STR("reason", cw_reason_name(reason)), LOG_END);
	cw_message_free(request);
	forward->hooks.done(forward->hooks.data, cookie, &outcome);
}

/* Begins a call. */
void forward_begin(forward_t *forward, Caraway__CallRequest *request, const char *host, int64_t asked_ms,
		   void *cookie, forward_call_t **handle)
{
	int64_t now_ms = clock_now_ms();
	endpoints_t endpoints;
	forward_call_t *call;

	*handle = NULL;
	counter_add(COUNTER_CALL_TAKEN, 1);
	endpoints_read(&endpoints, forward->views, host, request->path, g_rand_double(forward->random));
	if (request->depth > MAX_DEPTH)
		endpoints.refusal = CW_REASON_TOO_DEEP;
	if (endpoints.refusal != CW_REASON_NONE) {
		refuse_early(forward, request, cookie, endpoints.refusal);
		endpoints_clear(&endpoints);
		return;
	}
	call = g_new0(forward_call_t, 1);
	call->request = request;
	call->endpoints = endpoints;
	call->cookie = cookie;
	call->handle = handle;
	call->position = forward->calls->len;
	*handle = call;
	g_ptr_array_add(forward->calls, call);
	request->idempotent = forward_is_idempotent(&endpoints, request->method);
	cw_call_init(&call->core, request->idempotent, !request->attempt, now_ms,
		     now_ms + forward_time_for(forward, &endpoints, asked_ms));
	call->core.max_arrivals = endpoints.route->max_attempts;
	call->useful_until_ms = forward_useful_until_ms(forward, call, asked_ms, now_ms);
	step(forward, call, (cw_call_event_t){.type = CW_CALL_EV_START}, NULL);
}

/* Ends a call whose caller has gone: what has not started never will. */
void forward_cancel(forward_t *forward, forward_call_t *call)
{
	counter_add(COUNTER_CALL_CANCELLED, 1);
	for (uint32_t i = 0; i < call->sent_count; i++)
		if (!call->sent[i].ended)
			forward_revoke(forward, call, call->sent[i].sequence, true);
	remove_call(forward, call, CW_PICK_REVOKED);
}

/* Returns what a reply tells the chooser. */
static cw_pick_result_t pick_result(const Caraway__CallReply *reply, cw_reason_t reason)
{
	if (reply->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED) {
		if (reply->status == HTTP_SHED)
			return CW_PICK_SHED;
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

/* Returns the call and attempt that a reply belongs to; NULL, and a count, when there is none. */
static forward_call_t *match(forward_t *forward, const Caraway__CallId *id, const char *address,
			     forward_sent_t **sent)
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
	*sent = forward_find_sent(call, id->sequence);
	if (address ? !g_str_equal(address, (*sent)->endpoint->address)
		    : !forward_is_local(forward, (*sent)->endpoint)) {
		counter_add(COUNTER_REPLY_MISMATCHED, 1);
		return NULL;
	}
	return call;
}

/* Keeps the least wait among the receivers that refused a call. */
static void note_refusal(forward_call_t *call, const Caraway__CallReply *reply)
{
	if (call->wait_ms && call->wait_ms <= reply->wait_ms)
		return;
	call->wait_ms = reply->wait_ms;
	call->service_ms = reply->service_ms;
	call->load = reply->in_use;
	call->slots = reply->slots;
}

/* Takes in the reply to a request. */
static void take_reply(forward_t *forward, const Caraway__CallReply *reply, const char *address)
{
	cw_reason_t reason = cw_reason_parse(reply->reason);
	cw_call_event_t event = {.reason = reason};
	forward_sent_t *sent;
	forward_call_t *call = match(forward, reply->id, address, &sent);

	if (!call)
		return;
	event.sequence = reply->id->sequence;
	event.arrived = reply->arrived;
	if (reply->outcome != CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED && reply->wait_ms)
		note_refusal(call, reply);
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
	forward_end_attempt(forward, sent, pick_result(reply, reason), reply);
	event.error = event.type == CW_CALL_EV_ANSWERED && reply->status == HTTP_SERVER_ERROR &&
		      endpoints_fails_more(&call->endpoints, forward->pick, sent->endpoint, clock_now_ms());
	step(forward, call, event, reply);
}

/* Takes in the answer to a revocation. */
static void take_revoke_reply(forward_t *forward, const Caraway__RevokeReply *reply, const char *address)
{
	cw_call_event_t event = {.type = CW_CALL_EV_REVOKED, .never_started = reply->never_started};
	forward_sent_t *sent;
	forward_call_t *call = match(forward, reply->id, address, &sent);

	if (!call)
		return;
	event.sequence = reply->id->sequence;
	if (reply->never_started)
		forward_end_attempt(forward, sent, CW_PICK_REFUSED, NULL);
	step(forward, call, event, NULL);
}

/* Takes in a message that answers one of this proxy. */
void forward_receive(forward_t *forward, const Caraway__Message *message, const char *address)
{
	if (message->body_case == CARAWAY__MESSAGE__BODY_CALL_REPLY)
		take_reply(forward, message->call_reply, address);
	else if (message->body_case == CARAWAY__MESSAGE__BODY_REVOKE_REPLY)
		take_revoke_reply(forward, message->revoke_reply, address);
	else
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
}

/* Returns whether a call in flight went to an address. */
static bool address_in_use(const void *data, const char *address)
{
	const forward_t *forward = data;

	for (guint i = 0; i < forward->calls->len; i++) {
		const forward_call_t *call = g_ptr_array_index(forward->calls, i);

		for (uint32_t j = 0; j < call->sent_count; j++)
			if (g_str_equal(call->sent[j].endpoint->address, address))
				return true;
	}
	return false;
}

/* Ticks the calls whose time has come and finds when the next one does. */
static void tick_calls(forward_t *forward, int64_t now_ms)
{
	forward->next_ms = INT64_MAX;
	for (guint i = forward->calls->len; i-- > 0;) {
		forward_call_t *call = g_ptr_array_index(forward->calls, i);
		int64_t due_ms = cw_call_next_tick_ms(&call->core);

		if (due_ms <= now_ms)
			step(forward, call, (cw_call_event_t){.type = CW_CALL_EV_TICK}, NULL);
		else
			forward->next_ms = MIN(forward->next_ms, due_ms);
	}
}

/* Follows a new view, if there is one. */
static void follow_view(forward_t *forward)
{
	const view_t *view = endpoints_new_view(&forward->seen_serial, forward->views);

	if (!view)
		return;
	endpoint_links_follow(view, forward->incarnation, forward->clients, address_in_use, forward);
	forward->has_routes = view->route_count > 0;
	forward->hooks.view(forward->hooks.data, view);
	view_release(view);
}

/* Does what is due and follows a new view. */
void forward_run(forward_t *forward)
{
	int64_t now_ms = clock_now_ms();

	follow_view(forward);
	if (now_ms >= forward->next_ms)
		tick_calls(forward, now_ms);
	if (now_ms >= forward->pick_expire_ms) {
		cw_pick_expire(forward->pick, now_ms - PICK_KEEP_MS);
		forward->pick_expire_ms = now_ms + PICK_EXPIRE_MS;
	}
}

/* Returns when forward_run() is wanted at the latest. */
int64_t forward_deadline_ms(const forward_t *forward)
{
	return forward->next_ms;
}

/* Returns how many calls have no outcome yet. */
uint32_t forward_in_flight(const forward_t *forward)
{
	return forward->calls->len;
}

/* Returns whether a configuration with routes is held. */
bool forward_has_routes(const forward_t *forward)
{
	return forward->has_routes;
}
