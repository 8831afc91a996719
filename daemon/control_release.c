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
static pending_t *pending_for(pending_type_t type, control_replacement_t *replacement, control_done_t done,
			      void *data)
{
	pending_t *pending = pending_new(type, clock_now_ms() + GATEWAY_TIMEOUT_MS);

	pending->gateway =
		(control_gateway_request_t){.done = done, .data = data, .replacement = replacement};
	return pending;
}

/* Proposes what a replacement changes. */
static void propose(control_t *control, pending_t *pending)
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

/* Returns whether a replacement stands on the release in force, as far as this replica knows. */
static cw_status_t check(const control_t *control, const control_replacement_t *replacement, bool *again)
{
	return cw_ledger_check_release(control->ledger, replacement->release, replacement->base,
				       replacement->digest, again);
}

/*
 * Puts a complete configuration in force.  One that stands on the release
 * known here is proposed at once; anything else is answered only once a quorum
 * has confirmed which release is in force.
 */
void control_replace(control_t *control, control_replacement_t *replacement, control_done_t done, void *data)
{
	bool again;
	bool stands = check(control, replacement, &again) == CW_OK && !again;
	pending_t *pending =
		pending_for(stands ? PENDING_REPLACEMENT : PENDING_RELEASE, replacement, done, data);

	if (stands)
		propose(control, pending);
	else
		control_confirm(control, pending);
}

/* Asks a quorum to confirm that what is applied here is what is in force. */
void control_confirm_release(control_t *control, control_done_t done, void *data)
{
	control_confirm(control, pending_for(PENDING_RELEASE, NULL, done, data));
}

/* Logs how a replacement ended. */
static void log_outcome(const control_replacement_t *replacement, cw_status_t status, const char *message)
{
	log_info("replacement", LOG_UINT("release", replacement->release),
		 LOG_UINT("base", replacement->base), LOG_STR("outcome", cw_status_name(status)),
		 LOG_STR("reason", message), LOG_END);
}

/* Decides a replacement against the release that a quorum has just confirmed. */
static void decide_confirmed(control_t *control, pending_t *pending)
{
	control_gateway_request_t *request = &pending->gateway;
	bool again;
	cw_status_t status = check(control, request->replacement, &again);

	if (status == CW_OK && !again) {
		control_replace(control, g_steal_pointer(&request->replacement), request->done,
				request->data);
		return;
	}
	log_outcome(request->replacement, status,
		    status == CW_OK ? "accepted before" : cw_last_error_message());
	request->done(request->data, status, cw_last_error_message());
}

/* Ends a request of the gateway. */
void control_gateway_finish(control_t *control, pending_t *pending, cw_status_t status, const char *message)
{
	control_gateway_request_t *request = &pending->gateway;

	if (pending->type == PENDING_RELEASE && request->replacement && status == CW_OK) {
		decide_confirmed(control, pending);
		return;
	}
	if (request->replacement)
		log_outcome(request->replacement, status, message);
	request->done(request->data, status, message);
}
