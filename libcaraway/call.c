/*
 * State machine of one call at its origin, the sending proxy: attempts,
 * revocation, retries and the outcome.
 *
 * A receiver without a reply is asked whether it is there by a revocation that
 * leaves a queued call in its place as long as that is expected to be answered in time.
 *
 * The outcome "not run" is reported only when every attempt is known not to
 * have been run.  A call that is not idempotent has at most one attempt of
 * which this is not known.
 */
#include "internal.h"

#include <string.h>

enum {
	MARGIN_DIVISOR = 10, /* the timeout of a call divided by this is reserved for revocation */
	MARGIN_MIN_MS = 5,
	MARGIN_MAX_MS = 100,
	RESPONSE_RETURN_MS = 40, /* for a response to pass two proxies with a tenth of a CPU each */
	/* An attempt without a reply is asked about after the time left divided by this, and revoked at its end. */
	REVOKE_DIVISOR = 2,
	REVOKE_RETRY_MS = 100,	 /* until an unanswered revocation is repeated or the attempt is given up */
	MAX_CROWDED_RETRIES = 2, /* per call; they need no budget: a refused attempt reaches no target */
	MAX_BACKOFF_DOUBLINGS = 3,
	MIN_BACKOFF_MS = 10,	   /* before unreachable endpoints are tried again */
	RETRY_UNREACHABLE_MS = 500 /* from the start of the call: time for a connection to be made */
};

/*
 * Returns the origin identifier under which a process numbers its calls.  An
 * incarnation is taken from the clock, so proxies started at the same time may
 * have equal ones; the VM name keeps receivers from confusing their calls.
 */
uint64_t cw_call_origin(const char *vm, uint64_t incarnation)
{
	return cw_hash(vm, strlen(vm), incarnation);
}

/* Initializes a call without attempts. */
void cw_call_init(cw_call_t *call, bool idempotent, bool may_retry, int64_t now_ms, int64_t deadline_ms)
{
	int64_t total_ms = MAX(deadline_ms - now_ms, 0);

	*call = (cw_call_t){.idempotent = idempotent,
			    .may_retry = may_retry,
			    .start_ms = now_ms,
			    .deadline_ms = deadline_ms,
			    .margin_ms = CLAMP(total_ms / MARGIN_DIVISOR, MARGIN_MIN_MS, MARGIN_MAX_MS)};
}

/* Returns the time by which a receiver must have started the call; later it refuses it. */
int64_t cw_call_receiver_deadline_ms(const cw_call_t *call)
{
	return call->deadline_ms - call->margin_ms;
}

/*
 * Returns how long a started call may run beyond its receiver deadline: most of the
 * time reserved for revocation, which a started call does not need.
 */
uint32_t cw_call_run_on_ms(const cw_call_t *call)
{
	return (uint32_t)MAX(call->margin_ms - RESPONSE_RETURN_MS, 0);
}

/* Returns an action of a type, without sequence or reason. */
static cw_call_action_t make_action(cw_call_action_type_t type)
{
	return (cw_call_action_t){.type = type};
}

/* Returns the attempt with a sequence, or NULL. */
static cw_attempt_t *find_attempt(cw_call_t *call, uint64_t sequence)
{
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (call->attempts[i].sequence == sequence)
			return &call->attempts[i];
	return NULL;
}

/* Returns whether the outcome of an attempt is still pending. */
static bool is_open(const cw_attempt_t *attempt)
{
	return attempt->state != CW_ATTEMPT_NOT_RUN && attempt->state != CW_ATTEMPT_UNKNOWN;
}

/* Returns whether every attempt is known not to have been run. */
static bool none_ran(const cw_call_t *call)
{
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (call->attempts[i].state != CW_ATTEMPT_NOT_RUN)
			return false;
	return true;
}

/* Returns whether the outcome of any attempt is still pending. */
static bool any_open(const cw_call_t *call)
{
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (is_open(&call->attempts[i]))
			return true;
	return false;
}

/* Ends the call with the outcome that follows from the states of its attempts. */
static cw_call_action_t finish(const cw_call_t *call, cw_reason_t reason)
{
	if (call->has_error_answer)
		return make_action(CW_CALL_AC_ANSWER_ERROR);
	if (none_ran(call))
		return (cw_call_action_t){.type = CW_CALL_AC_REFUSE, .reason = reason};
	/* The reasons before NO_ANSWER state that the call was not run, which is not certain here. */
	if (reason < CW_REASON_NO_ANSWER)
		reason = CW_REASON_NO_ANSWER;
	return (cw_call_action_t){.type = CW_CALL_AC_FAIL, .reason = reason};
}

/* Returns whether a refusal costs its receiver nothing: its retry takes no token from the budget. */
static bool is_exempt_from_budget(cw_reason_t reason)
{
	switch (reason) {
	case CW_REASON_UNREACHABLE:
	case CW_REASON_DRAINING:
	case CW_REASON_INCARNATION:
	case CW_REASON_TARGET_UNREACHABLE:
		return true;
	default:
		return false;
	}
}

/* Counts a refusal as crowded and returns whether another receiver may be tried after it. */
static bool may_try_other_receiver(cw_call_t *call, cw_reason_t reason)
{
	return reason == CW_REASON_CROWDED && call->crowded_refusals++ < MAX_CROWDED_RETRIES;
}

/* Returns whether another attempt may be made; takes a token from the budget where one is needed. */
static bool may_attempt_again(cw_call_t *call, cw_budget_t *budget, cw_reason_t reason, int64_t now_ms)
{
	if (!call->idempotent && !none_ran(call))
		return false;
	if (call->max_arrivals && call->arrivals >= call->max_arrivals)
		return false;
	if (call->attempt_count >= CW_CALL_MAX_ATTEMPTS || now_ms >= cw_call_receiver_deadline_ms(call))
		return false;
	if (is_exempt_from_budget(reason) || may_try_other_receiver(call, reason))
		return true;
	if (reason == CW_REASON_CROWDED || !call->may_retry)
		return false;
	call->out_of_budget = !cw_budget_take(budget);
	return !call->out_of_budget;
}

/* Continues after a failed attempt: makes another one, waits for a pending one, or ends the call. */
static cw_call_action_t after_failed_attempt(cw_call_t *call, cw_budget_t *budget, cw_reason_t reason,
					     int64_t now_ms)
{
	call->reason = reason;
	if (may_attempt_again(call, budget, reason, now_ms))
		return (cw_call_action_t){.type = CW_CALL_AC_TRY, .reason = reason, .retry = true};
	if (any_open(call))
		return make_action(CW_CALL_AC_NONE);
	return finish(call, reason);
}

/* Returns when an attempt that is waiting for its reply is revoked or asked about, REVOKE_RETRY_MS apart at least. */
static int64_t next_revocation_ms(const cw_call_t *call, int64_t now_ms, int64_t min_ms)
{
	int64_t left_ms = MAX(cw_call_receiver_deadline_ms(call) - now_ms, 0);

	return now_ms + MIN(MAX(left_ms / REVOKE_DIVISOR, min_ms), left_ms);
}

/* Adds the attempt whose request was sent. */
static cw_call_action_t on_sent(cw_call_t *call, uint64_t sequence, int64_t now_ms)
{
	call->attempts[call->attempt_count++] =
		(cw_attempt_t){.sequence = sequence,
			       .state = CW_ATTEMPT_WAITING,
			       .timer_ms = next_revocation_ms(call, now_ms, 0)};
	return make_action(CW_CALL_AC_NONE);
}

/* Waits for a pending attempt, backs off before unreachable endpoints are tried again, or ends the call. */
static cw_call_action_t on_no_endpoint(cw_call_t *call, cw_reason_t reason, int64_t now_ms)
{
	int64_t backoff_ms = (int64_t)MIN_BACKOFF_MS << MIN(call->backoffs, MAX_BACKOFF_DOUBLINGS);
	bool may_back_off = call->attempt_count < CW_CALL_MAX_ATTEMPTS &&
			    now_ms < call->start_ms + RETRY_UNREACHABLE_MS &&
			    now_ms + backoff_ms < cw_call_receiver_deadline_ms(call);

	if (any_open(call))
		return make_action(CW_CALL_AC_NONE);
	if (may_back_off && is_exempt_from_budget(call->reason) && none_ran(call)) {
		call->backoff_until_ms = now_ms + backoff_ms;
		call->backoffs++;
		return make_action(CW_CALL_AC_NONE);
	}
	if (call->reason != CW_REASON_NONE)
		return finish(call, call->reason);
	return finish(call, reason == CW_REASON_NONE ? CW_REASON_NO_TARGET : reason);
}

/*
 * Handles the end of an attempt without an answer of the target.  An attempt that was
 * given up as unknown may still turn out not to have been run; the reverse is ignored.
 */
static cw_call_action_t on_attempt_end(cw_call_t *call, cw_budget_t *budget, uint64_t sequence,
				       cw_attempt_state_t state, cw_reason_t reason, int64_t now_ms)
{
	cw_attempt_t *attempt = find_attempt(call, sequence);
	bool was_open;

	if (!attempt || attempt->state == CW_ATTEMPT_NOT_RUN)
		return make_action(CW_CALL_AC_NONE);
	was_open = is_open(attempt);
	if (was_open && state == CW_ATTEMPT_UNKNOWN)
		call->arrivals++;
	attempt->state = state;
	return was_open ? after_failed_attempt(call, budget, reason, now_ms) : make_action(CW_CALL_AC_NONE);
}

/* Returns whether a call that was answered with an error may be retried at another target. */
static bool may_retry_error(const cw_call_t *call, cw_budget_t *budget, int64_t now_ms)
{
	int64_t halfway_ms = call->start_ms + (cw_call_receiver_deadline_ms(call) - call->start_ms) / 2;

	if (!call->idempotent || !call->may_retry || call->has_error_answer || any_open(call) ||
	    call->attempt_count >= CW_CALL_MAX_ATTEMPTS || now_ms >= halfway_ms)
		return false;
	if (call->max_arrivals && call->arrivals + 1 >= call->max_arrivals)
		return false;
	return cw_budget_take_optional(budget);
}

/*
 * Handles a target's answer.  An error may be specific to one target: an
 * idempotent call with time left is retried at another one, and the error is
 * kept to be returned if the retry gives no answer.
 */
static cw_call_action_t on_answered(cw_call_t *call, cw_budget_t *budget, const cw_call_event_t *event,
				    int64_t now_ms)
{
	cw_attempt_t *attempt = find_attempt(call, event->sequence);
	bool was_open = attempt && is_open(attempt);

	if (!attempt)
		return make_action(CW_CALL_AC_NONE);
	attempt->state = CW_ATTEMPT_UNKNOWN;
	if (!event->error || !was_open || !may_retry_error(call, budget, now_ms))
		return make_action(CW_CALL_AC_ANSWER);
	call->arrivals++;
	call->has_error_answer = true;
	call->reason = CW_REASON_TARGET_ERROR;
	return (cw_call_action_t){.type = CW_CALL_AC_TRY, .reason = CW_REASON_TARGET_ERROR, .retry = true};
}

/* Handles the answer to a revocation. */
static cw_call_action_t on_revoked(cw_call_t *call, cw_budget_t *budget, const cw_call_event_t *event,
				   int64_t now_ms)
{
	cw_attempt_t *attempt = find_attempt(call, event->sequence);
	bool late = now_ms >= cw_call_receiver_deadline_ms(call);

	if (!attempt || !is_open(attempt))
		return make_action(CW_CALL_AC_NONE);
	if (event->never_started)
		return on_attempt_end(call, budget, event->sequence, CW_ATTEMPT_NOT_RUN,
				      late ? CW_REASON_DEADLINE : CW_REASON_REVOKED, now_ms);
	if (event->kept) {
		attempt->state = CW_ATTEMPT_WAITING;
		attempt->timer_ms = next_revocation_ms(call, now_ms, REVOKE_RETRY_MS);
		return make_action(CW_CALL_AC_NONE);
	}
	attempt->state = CW_ATTEMPT_STARTED;
	return make_action(CW_CALL_AC_NONE);
}

/* Marks an attempt as being revoked and returns the action that sends the revocation. */
static cw_call_action_t revoke_attempt(const cw_call_t *call, cw_attempt_t *attempt, int64_t now_ms)
{
	attempt->state = CW_ATTEMPT_REVOKING;
	attempt->timer_ms = now_ms + REVOKE_RETRY_MS;
	return (cw_call_action_t){.type = CW_CALL_AC_REVOKE,
				  .sequence = attempt->sequence,
				  .keep_queued = now_ms < cw_call_receiver_deadline_ms(call)};
}

/* Returns whether an idempotent call should give up an attempt whose revocation is not answered. */
static bool is_unresponsive(const cw_call_t *call, const cw_attempt_t *attempt, int64_t now_ms)
{
	return call->idempotent && attempt->state == CW_ATTEMPT_REVOKING &&
	       now_ms < cw_call_receiver_deadline_ms(call);
}

/* Handles one expired timer; the next TICK handles the next one. */
static cw_call_action_t on_tick(cw_call_t *call, cw_budget_t *budget, int64_t now_ms)
{
	if (now_ms >= call->deadline_ms)
		return finish(call, CW_REASON_DEADLINE);
	if (call->backoff_until_ms && now_ms >= call->backoff_until_ms) {
		call->backoff_until_ms = 0;
		return make_action(CW_CALL_AC_TRY_ALL);
	}
	for (uint32_t i = 0; i < call->attempt_count; i++) {
		cw_attempt_t *attempt = &call->attempts[i];

		if (!is_open(attempt) || attempt->state == CW_ATTEMPT_STARTED || now_ms < attempt->timer_ms)
			continue;
		if (is_unresponsive(call, attempt, now_ms))
			return on_attempt_end(call, budget, attempt->sequence, CW_ATTEMPT_UNKNOWN,
					      CW_REASON_NO_ANSWER, now_ms);
		return revoke_attempt(call, attempt, now_ms);
	}
	return make_action(CW_CALL_AC_NONE);
}

/* Handles one event and returns the resulting action. */
cw_call_action_t cw_call_step(cw_call_t *call, cw_budget_t *budget, const cw_call_event_t *event,
			      int64_t now_ms)
{
	switch (event->type) {
	case CW_CALL_EV_START:
		cw_budget_deposit(budget);
		return now_ms < cw_call_receiver_deadline_ms(call) ? make_action(CW_CALL_AC_TRY)
								   : finish(call, CW_REASON_DEADLINE);
	case CW_CALL_EV_SENT:
		return on_sent(call, event->sequence, now_ms);
	case CW_CALL_EV_SEND_FAILED:
		call->reason = CW_REASON_UNREACHABLE;
		return make_action(CW_CALL_AC_TRY);
	case CW_CALL_EV_NO_ENDPOINT:
		return on_no_endpoint(call, event->reason, now_ms);
	case CW_CALL_EV_ANSWERED:
		return on_answered(call, budget, event, now_ms);
	case CW_CALL_EV_NOT_RUN:
		call->arrivals += event->arrived;
		return on_attempt_end(call, budget, event->sequence, CW_ATTEMPT_NOT_RUN, event->reason,
				      now_ms);
	case CW_CALL_EV_UNKNOWN:
		return on_attempt_end(call, budget, event->sequence, CW_ATTEMPT_UNKNOWN, event->reason,
				      now_ms);
	case CW_CALL_EV_REVOKED:
		return on_revoked(call, budget, event, now_ms);
	case CW_CALL_EV_TICK:
		return on_tick(call, budget, now_ms);
	}
	return make_action(CW_CALL_AC_NONE);
}

/* Returns the time of the next timer: when the next TICK is due. */
int64_t cw_call_next_tick_ms(const cw_call_t *call)
{
	int64_t next_ms = call->deadline_ms;

	if (call->backoff_until_ms)
		next_ms = MIN(next_ms, call->backoff_until_ms);
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (is_open(&call->attempts[i]) && call->attempts[i].state != CW_ATTEMPT_STARTED)
			next_ms = MIN(next_ms, call->attempts[i].timer_ms);
	return next_ms;
}
