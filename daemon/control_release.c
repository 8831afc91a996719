/* Complete configurations of the gateway: put in force through the log, confirmed by a quorum. */
#include "clock.h"
#include "control.h"
#include "log.h"

enum { GATEWAY_TIMEOUT_MS = 3000 /* a request without an outcome by then is answered as unknown */ };

/* Makes a replacement; takes the content over. */
control_replacement_t *control_replacement_new(uint64_t release, uint64_t base, Caraway__Content *complete)
{
	control_replacement_t *replacement = g_new(control_replacement_t, 1);

	*replacement = (control_replacement_t){.release = release,
					       .base = base,
					       .complete = complete,
					       .digest = cw_release_digest(release, base, complete)};
	return replacement;
}

/* Frees a replacement; NULL is allowed. */
void control_replacement_free(control_replacement_t *replacement)
{
	if (!replacement)
		return;
	cw_message_free(replacement->complete);
	g_free(replacement);
}

/* Returns an entry for a request of the gateway; takes the replacement over. */
static pending_request_t *gateway_request_new(pending_request_type_t type, control_replacement_t *replacement,
					      control_callback_t callback, void *data)
{
	pending_request_t *pending = pending_request_new(type, clock_now_ms() + GATEWAY_TIMEOUT_MS);

	pending->gateway =
		(control_gateway_request_t){.callback = callback, .data = data, .replacement = replacement};
	return pending;
}

/* Proposes what a replacement changes. */
static void propose_replacement(control_t *control, pending_request_t *pending)
{
	const control_replacement_t *replacement = pending->gateway.replacement;
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Replace replace = CARAWAY__REPLACE__INIT;

	replace.operator_name = control->settings->operator_name;
	replace.approval = control->settings->approval;
	replace.release = replacement->release;
	replace.base_release = replacement->base;
	replace.digest = replacement->digest;
	replace.content = cw_ledger_release_difference(control->ledger, replacement->complete);
	command.body_case = CARAWAY__COMMAND__BODY_REPLACE;
	command.replace = &replace;
	control_propose(control, pending, &command);
	cw_message_free(replace.content);
}

/* Returns whether a replacement is_next on the release in force, as far as this replica knows. */
static cw_status_t check_release(const control_t *control, const control_replacement_t *replacement,
				 bool *again)
{
	return cw_ledger_check_release(control->ledger, replacement->release, replacement->base,
				       replacement->digest, again);
}

/*
 * Puts a complete configuration in force.  One that is_next on the release
 * known here is proposed at once; anything else is answered only once a quorum
 * has confirmed which release is in force.
 */
void control_replace(control_t *control, control_replacement_t *replacement, control_callback_t callback,
		     void *data)
{
	bool again;
	bool is_next = check_release(control, replacement, &again) == CW_OK && !again;
	pending_request_t *pending = gateway_request_new(is_next ? PENDING_REPLACEMENT : PENDING_RELEASE,
							 replacement, callback, data);

	if (is_next)
		propose_replacement(control, pending);
	else
		control_confirm_leadership(control, pending);
}

/* Asks a quorum to confirm that what is applied here is what is in force. */
void control_confirm_release(control_t *control, control_callback_t callback, void *data)
{
	control_confirm_leadership(control, gateway_request_new(PENDING_RELEASE, NULL, callback, data));
}

/* Logs how a replacement ended. */
static void log_replacement(const control_replacement_t *replacement, cw_status_t status, const char *message)
{
	log_info("replacement", LOG_UINT("release", replacement->release),
		 LOG_UINT("base", replacement->base), LOG_STR("outcome", cw_status_word(status)),
		 LOG_STR("reason", message), LOG_END);
}

/* Decides a replacement against the release that a quorum has just confirmed. */
static void finish_confirmed(control_t *control, pending_request_t *pending)
{
	control_gateway_request_t *request = &pending->gateway;
	bool again;
	cw_status_t status = check_release(control, request->replacement, &again);

	if (status == CW_OK && !again) {
		control_replace(control, g_steal_pointer(&request->replacement), request->callback,
				request->data);
		return;
	}
	log_replacement(request->replacement, status,
			status == CW_OK ? "accepted before" : cw_last_message());
	request->callback(request->data, status, cw_last_message());
}

/* Ends a request of the gateway. */
void control_finish_gateway_request(control_t *control, pending_request_t *pending, cw_status_t status,
				    const char *message)
{
	control_gateway_request_t *request = &pending->gateway;

	if (pending->type == PENDING_RELEASE && request->replacement && status == CW_OK) {
		finish_confirmed(control, pending);
		return;
	}
	if (request->replacement)
		log_replacement(request->replacement, status, message);
	request->callback(request->data, status, message);
}
