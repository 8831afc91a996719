/* Attempts of calls: the endpoint chosen, the request sent, the withdrawal. */
#include "clock.h"
#include "counters.h"
#include "forward_internal.h"

enum { SPARE_AFTER = 2 /* receivers without room in time, until one with a free slot is looked for */ };

/* Tells the chooser how an attempt ended, once. */
void forward_end_attempt(forward_t *forward, forward_sent_t *sent, cw_pick_result_t result,
			 const Caraway__CallReply *reply)
{
	cw_pick_load_t load = {0};

	if (sent->ended)
		return;
	sent->ended = true;
	if (reply)
		load = (cw_pick_load_t){.in_use = reply->in_use,
					.slots = reply->slots,
					.route = sent->route,
					.service_ms = reply->service_ms,
					.wait_ms = reply->wait_ms};
	cw_pick_ended(forward->pick, sent->endpoint->vm, sent->endpoint->incarnation, result, &load,
		      clock_now_ms());
}

/* Returns whether an endpoint is this proxy itself. */
bool forward_is_local(const forward_t *forward, const endpoint_t *endpoint)
{
	return endpoint->incarnation == forward->incarnation &&
	       g_str_equal(endpoint->vm, forward->settings->vm);
}

/* Sends a message to an endpoint; CW_ERR_IO when it was handed to nobody. */
static cw_status_t send_to(forward_t *forward, const endpoint_t *endpoint, Caraway__Message *message)
{
	if (!forward_is_local(forward, endpoint))
		return link_clients_send(forward->clients, endpoint->address, message);
	forward->hooks.local(forward->hooks.data, cw_message_copy(&message->base));
	return CW_OK;
}

/* Sends a call's request to an endpoint under a new sequence. */
static cw_status_t send_request(forward_t *forward, forward_call_t *call, const endpoint_t *endpoint,
				uint64_t sequence)
{
	int64_t now_ms = clock_now_ms();
	int64_t left_ms = cw_call_receiver_deadline_ms(&call->core) - now_ms;
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__CallId id = CARAWAY__CALL_ID__INIT;
	Caraway__CallRequest request = *call->request;

	id.origin = forward->origin;
	id.sequence = sequence;
	request.id = &id;
	request.receiver = endpoint->incarnation;
	request.left_ms = (uint32_t)MAX(left_ms, 0);
	request.run_on_ms = cw_call_run_on_ms(&call->core);
	request.sent_ms = now_ms;
	request.useful_ms = (int32_t)(call->useful_until_ms - now_ms);
	request.route = call->endpoints.route->id;
	request.priority = call->endpoints.route->priority;
	request.service = (char *)call->endpoints.service;
	request.attempt = call->request->attempt + call->core.attempt_count;
	message.body_case = CARAWAY__MESSAGE__BODY_CALL_REQUEST;
	message.call_request = &request;
	return send_to(forward, endpoint, &message);
}

/* Makes one attempt; returns the event that tells how it went. */
cw_call_event_t forward_try(forward_t *forward, forward_call_t *call)
{
	int64_t now_ms = clock_now_ms();
	const cw_pick_call_t want = {.route = call->endpoints.route->id,
				     .slack_ms = call->useful_until_ms - now_ms,
				     .left_ms = call->core.deadline_ms - now_ms,
				     .least_loaded = call->core.crowded_refusals >= SPARE_AFTER};
	const endpoint_t *endpoint = endpoints_choose(&call->endpoints, forward->pick, &want, now_ms);
	uint64_t sequence = forward->last_sequence + 1;
	forward_sent_t *sent;

	if (!endpoint)
		return (cw_call_event_t){.type = CW_CALL_EV_NO_ENDPOINT};
	if (send_request(forward, call, endpoint, sequence) != CW_OK)
		return (cw_call_event_t){.type = CW_CALL_EV_SEND_FAILED};
	forward->last_sequence = sequence;
	sent = &call->sent[call->sent_count++];
	*sent = (forward_sent_t){.sequence = sequence, .endpoint = endpoint, .route = want.route};
	g_hash_table_insert(forward->by_sequence, &sent->sequence, call);
	cw_pick_sent(forward->pick, endpoint->vm, endpoint->incarnation);
	return (cw_call_event_t){.type = CW_CALL_EV_SENT, .sequence = sequence};
}

/* Returns where an attempt of a call went. */
forward_sent_t *forward_find_sent(forward_call_t *call, uint64_t sequence)
{
	for (uint32_t i = 0; i < call->sent_count; i++)
		if (call->sent[i].sequence == sequence)
			return &call->sent[i];
	return NULL;
}

/* Asks the receiver of an attempt to withdraw it, and to stop it when its answer is wanted no more. */
void forward_revoke(forward_t *forward, forward_call_t *call, uint64_t sequence, bool stop)
{
	const forward_sent_t *sent = forward_find_sent(call, sequence);
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__Revoke revoke = CARAWAY__REVOKE__INIT;
	Caraway__CallId id = CARAWAY__CALL_ID__INIT;

	id.origin = forward->origin;
	id.sequence = sequence;
	revoke.id = &id;
	revoke.receiver = sent->endpoint->incarnation;
	revoke.stop = stop;
	message.body_case = CARAWAY__MESSAGE__BODY_REVOKE;
	message.revoke = &revoke;
	counter_add(COUNTER_REVOKE_SENT, 1);
	send_to(forward, sent->endpoint, &message);
}
