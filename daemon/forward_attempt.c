/* Attempts of calls: choosing an endpoint, sending the request, revoking it. */
#include "clock.h"
#include "counters.h"
#include "forward_internal.h"

/* Returns the time that an attempt took besides that at its receiver: links and proxies; 0 if not known. */
static uint32_t overhead_ms(const forward_attempt_t *attempt, const Caraway__CallReply *reply)
{
	int64_t elapsed_ms = clock_now_ms() - attempt->sent_ms;

	return reply->held_ms ? (uint32_t)MAX(elapsed_ms - ((int64_t)reply->held_ms - 1), 0) : 0;
}

/* Counts an attempt that a target has run, or that failed without an answer, for the roll-out of its service. */
static void count_for_rollout(forward_t *forward, const forward_attempt_t *attempt, cw_pick_result_t result)
{
	int64_t now_ms = clock_now_ms();
	rollout_answer_t answer = {.rollout = attempt->rollout,
				   .version = attempt->version,
				   .route = attempt->route,
				   .vm = attempt->endpoint->vm,
				   .latency_ms = (uint32_t)MAX(now_ms - attempt->sent_ms, 0)};

	switch (result) {
	case CW_PICK_ERROR:
	case CW_PICK_FAILED:
		answer.failure = true;
		break;
	case CW_PICK_ANSWERED:
		break;
	default:
		/* Refused, revoked or not reached: it tells nothing of the version. */
		return;
	}
	rollouts_answered(forward->rollouts, &answer, now_ms);
}

/* Reports the result of an attempt to the load balancer, at most once. */
void forward_end_attempt(forward_t *forward, forward_attempt_t *attempt, cw_pick_result_t result,
			 const Caraway__CallReply *reply)
{
	cw_pick_load_t load = {0};

	if (attempt->ended)
		return;
	attempt->ended = true;
	if (attempt->rollout)
		count_for_rollout(forward, attempt, result);
	if (reply)
		load = (cw_pick_load_t){.in_use = reply->in_use,
					.slots = reply->slots,
					.route = attempt->route,
					.priority = attempt->priority,
					.service_ms = reply->service_ms,
					.short_call = reply->short_call,
					.wait_ms = reply->wait_ms,
					.work_ms = reply->work_ms,
					.speed_percent = reply->speed_percent,
					.overhead_ms = overhead_ms(attempt, reply)};
	cw_pick_ended(forward->pick, attempt->endpoint->vm, attempt->endpoint->incarnation, result, &load,
		      clock_now_ms());
}

/* Sends a message to an endpoint, which may be this proxy; fails as link_clients_send() does. */
static cw_status_t send_to(forward_t *forward, const endpoint_t *endpoint, Caraway__Message *message)
{
	if (!endpoint->own)
		return link_clients_send(forward->clients, endpoint->address, message);
	forward->callbacks.send_local(forward->callbacks.data, cw_message_copy(&message->base));
	return CW_OK;
}

/* Sends a call's request to an endpoint under a new sequence. */
static cw_status_t send_request(forward_t *forward, forward_call_t *call, const endpoint_t *endpoint,
				uint64_t sequence)
{
	int64_t now_ms = clock_now_ms();
	int64_t left_ms = cw_call_receiver_deadline_ms(&call->state) - now_ms;
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__CallId id = CARAWAY__CALL_ID__INIT;
	Caraway__CallRequest request = *call->request;

	id.origin = forward->origin;
	id.sequence = sequence;
	request.id = &id;
	request.receiver = endpoint->incarnation;
	request.left_ms = (uint32_t)MAX(left_ms, 0);
	request.run_on_ms = cw_call_run_on_ms(&call->state);
	request.sent_ms = now_ms;
	request.useful_ms = (int32_t)(call->useful_until_ms - now_ms);
	request.route = call->endpoints.route->id;
	request.priority = call->priority;
	request.account = call->account ? call->account->id : 0;
	request.service = (char *)call->endpoints.service;
	request.attempt = call->request->attempt + call->state.attempt_count;
	message.body_case = CARAWAY__MESSAGE__BODY_CALL_REQUEST;
	message.call_request = &request;
	return send_to(forward, endpoint, &message);
}

/*
 * Chooses an endpoint among those that the roll-out of the service, if there is one, leaves.  When no new target
 * takes the call, the old ones do.
 */
static endpoint_t *choose_endpoint(forward_t *forward, forward_call_t *call, const cw_pick_call_t *pick_call,
				   rollout_choice_t *choice, cw_reason_t *reason)
{
	int64_t now_ms = clock_now_ms();
	endpoint_t *endpoint;

	*choice = rollouts_choose(forward->rollouts, call->endpoints.service, now_ms);
	endpoints_restrict(&call->endpoints, forward->rollouts, choice);
	endpoint = endpoints_choose(&call->endpoints, forward->pick, pick_call, now_ms, reason);
	if (endpoint || choice->use != CW_ROLLOUT_USE_NEW)
		return endpoint;
	choice->use = CW_ROLLOUT_USE_OLD;
	endpoints_restrict(&call->endpoints, forward->rollouts, choice);
	return endpoints_choose(&call->endpoints, forward->pick, pick_call, now_ms, reason);
}

/* Chooses an endpoint and sends one attempt; returns the resulting event. */
cw_call_event_t forward_start_attempt(forward_t *forward, forward_call_t *call)
{
	int64_t now_ms = clock_now_ms();
	cw_pick_load_t own_load;
	bool own_takes_calls = call->has_own_endpoint &&
			       forward->callbacks.own_load(forward->callbacks.data, call->endpoints.route->id,
							   call->priority, &own_load);
	const cw_pick_call_t pick_call = {.route = call->endpoints.route->id,
					  .priority = call->priority,
					  .own_load = own_takes_calls ? &own_load : NULL,
					  .useful_ms = call->useful_until_ms - now_ms,
					  .left_ms = call->state.deadline_ms - now_ms,
					  .refusals = call->state.crowded_refusals};
	cw_reason_t reason;
	rollout_choice_t choice;
	const endpoint_t *endpoint = choose_endpoint(forward, call, &pick_call, &choice, &reason);
	uint64_t sequence = forward->last_sequence + 1;
	forward_attempt_t *attempt;

	if (!endpoint)
		return (cw_call_event_t){.type = CW_CALL_EV_NO_ENDPOINT, .reason = reason};
	if (send_request(forward, call, endpoint, sequence) != CW_OK)
		return (cw_call_event_t){.type = CW_CALL_EV_SEND_FAILED};
	forward->last_sequence = sequence;
	attempt = &call->attempts[call->attempt_count++];
	*attempt = (forward_attempt_t){.sequence = sequence,
				       .sent_ms = now_ms,
				       .endpoint = endpoint,
				       .rollout = choice.rollout,
				       .version = endpoint->is_new ? CW_ROLLOUT_NEW : CW_ROLLOUT_OLD,
				       .route = pick_call.route,
				       .priority = pick_call.priority};
	g_hash_table_insert(forward->by_sequence, &attempt->sequence, call);
	if (choice.rollout && endpoint->is_new)
		rollouts_sent_to_new(forward->rollouts, choice.rollout);
	cw_pick_sent(forward->pick, endpoint->vm, endpoint->incarnation, pick_call.route);
	return (cw_call_event_t){.type = CW_CALL_EV_SENT, .sequence = sequence};
}

/* Finds an attempt of a call by its sequence. */
forward_attempt_t *forward_find_attempt(forward_call_t *call, uint64_t sequence)
{
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (call->attempts[i].sequence == sequence)
			return &call->attempts[i];
	return NULL;
}

/* Revokes an attempt at its receiver. */
void forward_revoke(forward_t *forward, forward_call_t *call, uint64_t sequence, forward_revoke_kind_t kind)
{
	const forward_attempt_t *attempt = forward_find_attempt(call, sequence);
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__Revoke revoke = CARAWAY__REVOKE__INIT;
	Caraway__CallId id = CARAWAY__CALL_ID__INIT;

	id.origin = forward->origin;
	id.sequence = sequence;
	revoke.id = &id;
	revoke.receiver = attempt->endpoint->incarnation;
	revoke.stop = kind == FORWARD_REVOKE_AND_STOP;
	revoke.keep_queued = kind == FORWARD_REVOKE_UNLESS_QUEUED;
	message.body_case = CARAWAY__MESSAGE__BODY_REVOKE;
	message.revoke = &revoke;
	counter_add(COUNTER_REVOKE_SENT, 1);
	send_to(forward, attempt->endpoint, &message);
}
