/* Requests that wait for the replicated log, and how each kind is completed. */
#include "control.h"

#include "clock.h"
#include "counters.h"
#include "log.h"

/* Creates a request whose outcome is unknown when it is not completed before the deadline. */
pending_request_t *pending_request_new(pending_request_type_t type, int64_t deadline_ms)
{
	pending_request_t *pending = g_new0(pending_request_t, 1);

	pending->type = type;
	pending->deadline_ms = deadline_ms;
	return pending;
}

/* Frees a request. */
void pending_request_free(gpointer data)
{
	pending_request_t *pending = data;

	switch (pending->type) {
	case PENDING_COMMAND:
	case PENDING_QUERY:
		g_bytes_unref(pending->operator_request.peer);
		cw_message_free(pending->operator_request.request);
		break;
	case PENDING_REGISTRATION:
		g_free(pending->vm);
		break;
	case PENDING_REPLACEMENT:
	case PENDING_RELEASE:
		control_replacement_free(pending->gateway_request.replacement);
		break;
	case PENDING_CONFIRMATION:
	case PENDING_ACTIVATION:
	case PENDING_ROLLOUT:
	case PENDING_ROLLOUT_STEP:
		break;
	}
	g_free(pending);
}

/* Replies to an operator's command or query. */
static void finish_operator_request(control_t *control, const pending_request_t *pending, cw_status_t status,
				    const char *message, const Caraway__Change *change)
{
	control_reply_to_operator(control, pending->operator_request.peer, pending->operator_request.request,
				  status, message, change);
}

/*
 * Returns the time from a change's due time to its activation, or from its
 * acceptance if that came later, as for a change that is due at once.
 */
static int64_t activation_delay_ms(const Caraway__Change *change)
{
	return change->in_force_ms - MAX(change->due_ms, change->reviewed_ms);
}

/* Logs and counts the outcome of an activation.  A refused change records the reason itself. */
static void finish_activation(control_t *control, cw_status_t status, const char *message,
			      const Caraway__Change *change)
{
	control->activation_pending = false;
	if (status != CW_OK || !change) {
		log_warning("activation-failed", LOG_STR("status", cw_status_name(status)),
			    LOG_STR("message", message), LOG_END);
		return;
	}
	counter_add(COUNTER_ACTIVATED, 1);
	if (activation_delay_ms(change) > LATE_ACTIVATION_MS)
		counter_add(COUNTER_ACTIVATED_LATE, 1);
	log_info("activated", LOG_UINT("number", change->number), LOG_UINT("version", change->version),
		 LOG_INT("late_ms", activation_delay_ms(change)), LOG_END);
}

/* Ends a registration; one that failed is logged, counted and retried while the VM's endpoint is known. */
static void finish_registration(control_t *control, const pending_request_t *pending, cw_status_t status,
				const char *message)
{
	g_hash_table_remove(control->pending_registrations, pending->vm);
	if (status == CW_OK)
		return;
	counter_add(COUNTER_REGISTRATION_REFUSED, 1);
	log_warning("registration-refused", LOG_STR("vm", pending->vm),
		    LOG_STR("status", cw_status_name(status)), LOG_STR("message", message), LOG_END);
}

/* Queues the outcome of a confirmation; the relay is notified after the Raft actions are executed. */
static void finish_confirmation(control_t *control, const pending_request_t *pending, cw_status_t status)
{
	if (status == CW_OK) {
		g_array_append_val(control->confirmed_cookies, pending->relay_cookie);
		return;
	}
	counter_add(COUNTER_STAMP_REFUSED, 1);
	g_array_append_val(control->unconfirmed_cookies, pending->relay_cookie);
}

/* Completes a pending request and frees it. */
void control_finish_pending(control_t *control, pending_request_t *pending, cw_status_t status,
			    const char *message, const Caraway__Change *change)
{
	if (pending->index)
		g_hash_table_remove(control->pending_by_index, &pending->index);
	g_hash_table_steal(control->pending, &pending->cookie);
	switch (pending->type) {
	case PENDING_COMMAND:
	case PENDING_QUERY:
		finish_operator_request(control, pending, status, message, change);
		break;
	case PENDING_ACTIVATION:
		finish_activation(control, status, message, change);
		break;
	case PENDING_REGISTRATION:
		finish_registration(control, pending, status, message);
		break;
	case PENDING_CONFIRMATION:
		finish_confirmation(control, pending, status);
		break;
	case PENDING_REPLACEMENT:
	case PENDING_RELEASE:
		control_finish_gateway_request(control, pending, status, message);
		break;
	case PENDING_ROLLOUT:
		pending->gateway_request.callback(pending->gateway_request.data, status, message);
		break;
	case PENDING_ROLLOUT_STEP:
		control_finish_rollout_step(control, pending->rollout, status, message);
		break;
	}
	pending_request_free(pending);
}

/*
 * Completes the requests whose deadline has passed; their commands may still be
 * executed.  The cookies are collected first, as completing one request may
 * complete others.
 */
void control_expire_pending(control_t *control, int64_t now_ms)
{
	g_autoptr(GArray) expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((pending_request_t *)value)->deadline_ms <= now_ms)
			g_array_append_val(expired, ((pending_request_t *)value)->cookie);
	for (guint i = 0; i < expired->len; i++) {
		pending_request_t *pending =
			g_hash_table_lookup(control->pending, &g_array_index(expired, uint64_t, i));

		if (pending)
			control_finish_pending(control, pending, CW_ERR_UNKNOWN_OUTCOME,
					       "no quorum replied in time; the command may still be executed",
					       NULL);
	}
}
