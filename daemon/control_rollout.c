/*
 * Roll-outs at a control replica: orders go through the replicated log, and the leader judges the running ones and
 * proposes their steps and verdicts.
 */
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "control.h"
#include "log.h"

enum {
	ORDER_TIMEOUT_MS = 3000, /* the outcome of an order is unknown after that */
	STEP_TIMEOUT_MS = 3000,	 /* a step without an outcome is proposed again after that */
	JUDGE_MS = 100,
	NOTICES_MS = 1000,
	MAX_NOTICES = 64, /* as many as may be running, see ledger_rollout.c */
	/* Proxies keep calls from the new targets after a roll-back until the platform has stopped them. */
	ENDED_NOTICE_MS = 10 * 60 * 1000
};

/* A roll-out that this leader judges. */
typedef struct {
	cw_rollout_t *judgement;
	bool pending; /* a step was proposed and has no outcome yet */
} judged_rollout_t;

/* ---- orders and reads ---------------------------------------------------------------------------------- */

/* Returns a pending request that calls back. */
static pending_request_t *rollout_request_new(control_callback_t callback, void *data)
{
	pending_request_t *pending = pending_request_new(PENDING_ROLLOUT, clock_now_ms() + ORDER_TIMEOUT_MS);

	pending->gateway_request = (control_gateway_request_t){.callback = callback, .data = data};
	return pending;
}

/*
 * Proposes an order.  One that is invalid whatever the ledger has is refused at once; all others are decided when they
 * are committed, as this replica may not know the newest state.
 */
void control_begin_rollout(control_t *control, const Caraway__RolloutBegin *begin,
			   control_callback_t callback, void *data)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	bool ordered;
	cw_status_t status = cw_ledger_check_rollout(control->ledger, begin, &ordered);

	log_info("rollout-ordered", LOG_STR("service", begin->service),
		 LOG_STR("target_version", begin->target_version), LOG_INT("duration_ms", begin->duration_ms),
		 LOG_STR("check", cw_status_name(status)),
		 LOG_STR("reason", status == CW_OK ? "" : cw_last_error_message()), LOG_END);
	if (status == CW_ERR_USAGE) {
		callback(data, status, cw_last_error_message());
		return;
	}
	command.body_case = CARAWAY__COMMAND__BODY_ROLLOUT_BEGIN;
	command.rollout_begin = (Caraway__RolloutBegin *)begin;
	control_propose(control, rollout_request_new(callback, data), &command);
}

/* Asks a quorum to confirm that the roll-outs of this replica's ledger are the newest. */
void control_confirm_rollouts(control_t *control, control_callback_t callback, void *data)
{
	control_confirm_leadership(control, rollout_request_new(callback, data));
}

/* ---- notices to the proxies ---------------------------------------------------------------------------- */

/* Returns a notice of a roll-out. */
static Caraway__RolloutNotice *notice_new(const Caraway__Rollout *rollout)
{
	Caraway__RolloutNotice *notice = malloc(sizeof(*notice));

	caraway__rollout_notice__init(notice);
	notice->sequence = rollout->sequence;
	notice->service = strdup(rollout->service);
	notice->target_version = strdup(rollout->target_version);
	notice->state = rollout->state;
	return notice;
}

/* Returns whether proxies need to know a roll-out that has ended. */
static bool ended_recently(const Caraway__Rollout *rollout, int64_t utc_ms)
{
	return cw_rollout_is_verdict((cw_rollout_step_t)rollout->state) &&
	       utc_ms < rollout->state_ms + ENDED_NOTICE_MS;
}

/* Returns the notices of all running roll-outs, and of those that ended recently as far as there is room. */
static GPtrArray *collect_notices(const control_t *control)
{
	GPtrArray *notices = g_ptr_array_new_with_free_func(cw_message_free);
	g_autoptr(GPtrArray) rollouts = cw_ledger_rollouts(control->ledger);
	int64_t utc_ms = clock_utc_ms();

	for (guint i = 0; i < rollouts->len; i++) {
		const Caraway__Rollout *rollout = rollouts->pdata[i];

		if (!cw_rollout_is_verdict((cw_rollout_step_t)rollout->state))
			g_ptr_array_add(notices, notice_new(rollout));
	}
	for (guint i = 0; i < rollouts->len && notices->len < MAX_NOTICES; i++)
		if (ended_recently(rollouts->pdata[i], utc_ms))
			g_ptr_array_add(notices, notice_new(rollouts->pdata[i]));
	return notices;
}

/* Gives the relay of the leader the state of the roll-outs, which the stamps after this prove. */
void control_rollout_notify(control_t *control)
{
	uint64_t revision = cw_ledger_rollout_revision(control->ledger) + 1;
	int64_t now_ms = clock_now_ms();
	g_autoptr(GPtrArray) notices = NULL;

	if (cw_raft_role(control->raft) != CW_RAFT_LEADER) {
		control->noticed_rollouts = 0;
		return;
	}
	if (revision == control->noticed_rollouts && now_ms < control->next_notices_ms)
		return;
	control->noticed_rollouts = revision;
	control->next_notices_ms = now_ms + NOTICES_MS;
	notices = collect_notices(control);
	cw_relay_set_rollouts(control->relay_io.relay, (Caraway__RolloutNotice **)notices->pdata,
			      notices->len, now_ms);
}

/* ---- steps and verdicts -------------------------------------------------------------------------------- */

/* Frees a judged roll-out. */
static void judged_rollout_free(gpointer data)
{
	judged_rollout_t *judged = data;

	cw_rollout_free(judged->judgement);
	g_free(judged);
}

/* Returns a time of the wall clock as one of the monotonic clock. */
static int64_t monotonic_ms(int64_t utc_ms)
{
	return clock_now_ms() - MAX(clock_utc_ms() - utc_ms, 0);
}

/* Returns the judgement of a roll-out, begun at its committed step if needed. */
static judged_rollout_t *get_judged(control_t *control, const Caraway__Rollout *rollout)
{
	judged_rollout_t *judged = g_hash_table_lookup(control->rollouts, &rollout->sequence);
	uint64_t *key;

	if (judged)
		return judged;
	judged = g_new0(judged_rollout_t, 1);
	judged->judgement =
		cw_rollout_new(monotonic_ms(rollout->begun_ms), rollout->duration_ms,
			       (cw_rollout_step_t)rollout->state, monotonic_ms(rollout->state_ms));
	key = g_memdup2(&rollout->sequence, sizeof(rollout->sequence));
	g_hash_table_insert(control->rollouts, key, judged);
	return judged;
}

/* Returns a pending request of a step. */
static pending_request_t *step_request_new(uint64_t rollout)
{
	pending_request_t *pending =
		pending_request_new(PENDING_ROLLOUT_STEP, clock_now_ms() + STEP_TIMEOUT_MS);

	pending->rollout = rollout;
	return pending;
}

/* Proposes what was decided. */
static void propose_decision(control_t *control, const Caraway__Rollout *rollout,
			     const cw_rollout_decision_t *decision)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__RolloutStep step = CARAWAY__ROLLOUT_STEP__INIT;
	Caraway__RolloutVerdict verdict = CARAWAY__ROLLOUT_VERDICT__INIT;

	log_info("rollout-decided", LOG_STR("service", rollout->service),
		 LOG_STR("target_version", rollout->target_version), LOG_UINT("rollout", rollout->sequence),
		 LOG_STR("from", cw_rollout_step_name((cw_rollout_step_t)rollout->state)),
		 LOG_STR("to", cw_rollout_step_name(decision->step)), LOG_STR("reason", decision->reason),
		 LOG_UINT("route", decision->route), LOG_END);
	if (cw_rollout_is_verdict(decision->step)) {
		verdict.sequence = rollout->sequence;
		verdict.succeeded = decision->step == CW_ROLLOUT_SUCCEEDED;
		verdict.reason = (char *)decision->reason;
		command.body_case = CARAWAY__COMMAND__BODY_ROLLOUT_VERDICT;
		command.rollout_verdict = &verdict;
	} else {
		step.sequence = rollout->sequence;
		step.state = (Caraway__RolloutState)decision->step;
		command.body_case = CARAWAY__COMMAND__BODY_ROLLOUT_STEP;
		command.rollout_step = &step;
	}
	control_propose(control, step_request_new(rollout->sequence), &command);
}

/* Completes the proposal of a step or verdict; one that failed is decided anew. */
void control_finish_rollout_step(control_t *control, uint64_t rollout, cw_status_t status,
				 const char *message)
{
	judged_rollout_t *judged = g_hash_table_lookup(control->rollouts, &rollout);

	if (judged)
		judged->pending = false;
	if (status != CW_OK)
		log_warning("rollout-step-failed", LOG_UINT("rollout", rollout),
			    LOG_STR("status", cw_status_name(status)), LOG_STR("message", message), LOG_END);
}

/* Adds the counts of a message for a version. */
static void add_counts(cw_rollout_t *judgement, uint64_t route, cw_rollout_version_t version,
		       const Caraway__RolloutCounts *message)
{
	cw_rollout_counts_t counts = {0};

	if (!message)
		return;
	counts.answers = message->answers;
	counts.failures = message->failures;
	for (size_t i = 0; i < MIN(message->n_latency, CW_ROLLOUT_BUCKETS); i++)
		counts.latency[i] = message->latency[i];
	cw_rollout_add(judgement, route, version, &counts);
}

/* Adds the evidence that has arrived to the judgements; that of other roll-outs is dropped. */
static void take_evidence(control_t *control)
{
	g_autoptr(GPtrArray) taken = cw_relay_take_evidence(control->relay_io.relay);

	for (guint i = 0; i < taken->len; i++) {
		const Caraway__RolloutEvidence *evidence = taken->pdata[i];
		judged_rollout_t *judged = g_hash_table_lookup(control->rollouts, &evidence->sequence);

		if (!judged)
			continue;
		add_counts(judged->judgement, evidence->route, CW_ROLLOUT_OLD, evidence->old_counts);
		add_counts(judged->judgement, evidence->route, CW_ROLLOUT_NEW, evidence->new_counts);
	}
}

/* Judges a running roll-out and proposes what follows. */
static void judge_rollout(control_t *control, const Caraway__Rollout *rollout, int64_t now_ms)
{
	judged_rollout_t *judged = get_judged(control, rollout);
	cw_rollout_decision_t decision;

	cw_rollout_committed(judged->judgement, (cw_rollout_step_t)rollout->state, now_ms);
	decision = cw_rollout_judge(judged->judgement, now_ms);
	if (judged->pending || decision.step == (cw_rollout_step_t)rollout->state)
		return;
	judged->pending = true;
	propose_decision(control, rollout, &decision);
}

/* Judges the running roll-outs.  A replica that does not lead drops its evidence, which ages. */
void control_rollout_tick(control_t *control)
{
	int64_t now_ms = clock_now_ms();
	g_autoptr(GPtrArray) rollouts = NULL;

	if (now_ms < control->next_rollout_ms)
		return;
	control->next_rollout_ms = now_ms + JUDGE_MS;
	if (!control->rollouts)
		control->rollouts =
			g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, judged_rollout_free);
	if (!control_has_leader_lease(control)) {
		g_hash_table_remove_all(control->rollouts);
		return;
	}
	take_evidence(control);
	rollouts = cw_ledger_rollouts(control->ledger);
	for (guint i = 0; i < rollouts->len; i++) {
		const Caraway__Rollout *rollout = rollouts->pdata[i];

		if (cw_rollout_is_verdict((cw_rollout_step_t)rollout->state))
			g_hash_table_remove(control->rollouts, &rollout->sequence);
		else
			judge_rollout(control, rollout, now_ms);
	}
}

/* Frees the judgements. */
void control_rollout_close(control_t *control)
{
	if (control->rollouts)
		g_hash_table_destroy(control->rollouts);
	control->rollouts = NULL;
}
