/*
 * Roll-outs in the ledger: the order, its steps and its verdict.
 *
 * The ledger has the newest roll-out of each service.  Steps and verdicts name the order by its sequence number, so that
 * those proposed for an earlier order have no effect.  States follow each other in ascending order, and a
 * verdict is final, so that there is one of them, once.
 */
#include "ledger.h"

#include <string.h>

#define NUMBER_FORMAT "%" G_GUINT64_FORMAT

enum {
	MAX_TEXT_BYTES = 128,			/* of a version or a reason */
	MAX_DURATION_MS = 7 * 24 * 3600 * 1000, /* one week */
	MAX_RUNNING = 64,			/* each is a notice in every answer to a pull */
	MAX_ROLLOUTS = 10000			/* services that ever had one */
};

/* Returns whether a state is a verdict. */
static bool is_verdict(Caraway__RolloutState state)
{
	return state == CARAWAY__ROLLOUT_STATE__ROLLOUT_SUCCEEDED ||
	       state == CARAWAY__ROLLOUT_STATE__ROLLOUT_ROLLED_BACK;
}

/* Returns whether a state is one of a roll-out that has no verdict yet. */
static bool is_running(Caraway__RolloutState state)
{
	return state >= CARAWAY__ROLLOUT_STATE__ROLLOUT_PROBE &&
	       state <= CARAWAY__ROLLOUT_STATE__ROLLOUT_HANDOVER;
}

/* Returns the newest roll-out of a service, borrowed; NULL when it never had one. */
const Caraway__Rollout *cw_ledger_rollout(const cw_ledger_t *ledger, const char *service)
{
	return g_hash_table_lookup(ledger->rollouts, service);
}

/* Orders roll-outs by the name of the service. */
static gint compare_rollouts(gconstpointer a, gconstpointer b)
{
	return strcmp((*(Caraway__Rollout *const *)a)->service, (*(Caraway__Rollout *const *)b)->service);
}

/* Returns the newest roll-out of each service, borrowed, ordered by service; the caller frees the array. */
GPtrArray *cw_ledger_rollouts(const cw_ledger_t *ledger)
{
	GPtrArray *rollouts = g_ptr_array_sized_new(g_hash_table_size(ledger->rollouts));
	GHashTableIter iter;
	gpointer rollout;

	g_hash_table_iter_init(&iter, ledger->rollouts);
	while (g_hash_table_iter_next(&iter, NULL, &rollout))
		g_ptr_array_add(rollouts, rollout);
	g_ptr_array_sort(rollouts, compare_rollouts);
	return rollouts;
}

/* Returns whether a layer of the configuration in force sets a service. */
static bool service_exists(const cw_ledger_t *ledger, const char *name)
{
	const GPtrArray *layers = cw_feed_catalog(ledger->feed)->layers;

	for (guint i = 0; i < layers->len; i++) {
		const layer_t *layer = layers->pdata[i];
		const entry_t *entry = layer ? layer_entry(layer, SECTION_SERVICE, name) : NULL;

		if (entry && !entry->section.service->removed)
			return true;
	}
	return false;
}

/* Checks the fields of an order; the message names the field.  CW_ERR_USAGE. */
static cw_status_t check_fields(const char *service, const char *target_version, int64_t duration_ms)
{
	size_t length = strlen(target_version);

	if (!name_is_valid(service))
		return cw_fail(CW_ERR_USAGE, "service: not a valid name");
	if (!length || length > MAX_TEXT_BYTES || !g_utf8_validate(target_version, -1, NULL))
		return cw_fail(CW_ERR_USAGE, "target_version: missing, longer than %d bytes or not UTF-8",
			       MAX_TEXT_BYTES);
	if (duration_ms <= 0 || duration_ms > MAX_DURATION_MS)
		return cw_fail(CW_ERR_USAGE, "duration_s: not above 0, or more than %d",
			       MAX_DURATION_MS / 1000);
	return CW_OK;
}

/* Returns a number that changes with each change of a roll-out. */
uint64_t cw_ledger_rollout_revision(const cw_ledger_t *ledger)
{
	return ledger->rollout_revision;
}

/* Returns the number of roll-outs without a verdict. */
static size_t count_running(const cw_ledger_t *ledger)
{
	size_t count = 0;
	GHashTableIter iter;
	gpointer rollout;

	g_hash_table_iter_init(&iter, ledger->rollouts);
	while (g_hash_table_iter_next(&iter, NULL, &rollout))
		count += is_running(((Caraway__Rollout *)rollout)->state);
	return count;
}

/* Returns whether an order is that of a roll-out, sent again. */
static bool is_same_order(const Caraway__Rollout *rollout, const Caraway__RolloutBegin *begin)
{
	return !strcmp(rollout->target_version, begin->target_version) &&
	       rollout->duration_ms == begin->duration_ms &&
	       !strcmp(rollout->operator_name, begin->operator_name);
}

/*
 * Checks whether a roll-out can be ordered.  The message of a refusal begins with the name of the field.  CW_ERR_USAGE: a
 * field is not valid; CW_ERR_NOT_FOUND: there is no such service; CW_ERR_STATE: another roll-out of it is running.
 */
cw_status_t cw_ledger_check_rollout(const cw_ledger_t *ledger, const Caraway__RolloutBegin *begin,
				    bool *ordered)
{
	const Caraway__Rollout *newest = cw_ledger_rollout(ledger, begin->service);
	cw_status_t status = ledger_check_operator(begin->operator_name);

	*ordered = false;
	if (!status)
		status = check_fields(begin->service, begin->target_version, begin->duration_ms);
	if (status)
		return status;
	if (newest && is_same_order(newest, begin)) {
		*ordered = true;
		return CW_OK;
	}
	if (newest && !is_verdict(newest->state))
		return cw_fail(CW_ERR_STATE, "service: the roll-out of %s to version %s is running",
			       newest->service, newest->target_version);
	if (!service_exists(ledger, begin->service))
		return cw_fail(CW_ERR_NOT_FOUND, "service: no service is named %s", begin->service);
	if (!newest && g_hash_table_size(ledger->rollouts) >= MAX_ROLLOUTS)
		return cw_fail(CW_ERR_FULL, "service: the limit of %d services with roll-outs is reached",
			       MAX_ROLLOUTS);
	if (count_running(ledger) >= MAX_RUNNING)
		return cw_fail(CW_ERR_FULL, "service: the limit of %d running roll-outs is reached",
			       MAX_RUNNING);
	return CW_OK;
}

/* Stores a roll-out as the newest of its service; takes ownership. */
static void store_rollout(cw_ledger_t *ledger, Caraway__Rollout *rollout)
{
	g_hash_table_replace(ledger->rollouts, rollout->service, rollout);
	ledger->rollout_revision++;
}

/* Orders a roll-out; the same order again succeeds and changes nothing. */
cw_status_t ledger_begin_rollout(cw_ledger_t *ledger, const Caraway__RolloutBegin *begin, int64_t at_ms)
{
	Caraway__Rollout rollout = CARAWAY__ROLLOUT__INIT;
	bool ordered;
	cw_status_t status = cw_ledger_check_rollout(ledger, begin, &ordered);

	if (status || ordered)
		return status;
	rollout.sequence = ++ledger->rollout_count;
	rollout.service = begin->service;
	rollout.target_version = begin->target_version;
	rollout.operator_name = begin->operator_name;
	rollout.duration_ms = begin->duration_ms;
	rollout.state = CARAWAY__ROLLOUT_STATE__ROLLOUT_PROBE;
	rollout.begun_ms = at_ms;
	rollout.state_ms = at_ms;
	store_rollout(ledger, cw_message_copy(&rollout.base));
	return CW_OK;
}

/* Returns the roll-out of a sequence number; NULL when it is not the newest of its service. */
static Caraway__Rollout *find_rollout(const cw_ledger_t *ledger, uint64_t sequence)
{
	GHashTableIter iter;
	gpointer rollout;

	g_hash_table_iter_init(&iter, ledger->rollouts);
	while (g_hash_table_iter_next(&iter, NULL, &rollout))
		if (((Caraway__Rollout *)rollout)->sequence == sequence)
			return rollout;
	return NULL;
}

/* Returns the error for a step or verdict of a roll-out that is not the newest of its service. */
static cw_status_t fail_as_stale(uint64_t sequence)
{
	return cw_fail(CW_ERR_STALE, "roll-out " NUMBER_FORMAT " is not the newest of any service", sequence);
}

/* Sets the state of a roll-out, which must follow the present one; the present one again succeeds.  CW_ERR_STATE. */
static cw_status_t set_state(cw_ledger_t *ledger, Caraway__Rollout *rollout, Caraway__RolloutState state,
			     int64_t at_ms)
{
	if (state == rollout->state)
		return CW_OK;
	if (is_verdict(rollout->state) || state < rollout->state)
		return cw_fail(CW_ERR_STATE, "roll-out " NUMBER_FORMAT " of %s is %s already",
			       rollout->sequence, rollout->service,
			       cw_rollout_step_name((cw_rollout_step_t)rollout->state));
	rollout->state = state;
	rollout->state_ms = at_ms;
	ledger->rollout_revision++;
	return CW_OK;
}

/* Takes a roll-out to a later step. */
cw_status_t ledger_step_rollout(cw_ledger_t *ledger, const Caraway__RolloutStep *step, int64_t at_ms)
{
	Caraway__Rollout *rollout = find_rollout(ledger, step->sequence);

	if (!is_running(step->state))
		return cw_fail(CW_ERR_USAGE, "roll-out " NUMBER_FORMAT ": the state is not a step",
			       step->sequence);
	return rollout ? set_state(ledger, rollout, step->state, at_ms) : fail_as_stale(step->sequence);
}

/* Replaces the reason of a roll-out. */
static void set_reason(Caraway__Rollout *rollout, const char *reason)
{
	if (rollout->reason != (char *)protobuf_c_empty_string)
		free(rollout->reason);
	rollout->reason = strdup(reason);
}

/* Ends a roll-out.  Only one that has handed its traffic over succeeds. */
cw_status_t ledger_end_rollout(cw_ledger_t *ledger, const Caraway__RolloutVerdict *verdict, int64_t at_ms)
{
	Caraway__RolloutState state = verdict->succeeded ? CARAWAY__ROLLOUT_STATE__ROLLOUT_SUCCEEDED
							 : CARAWAY__ROLLOUT_STATE__ROLLOUT_ROLLED_BACK;
	Caraway__Rollout *rollout = find_rollout(ledger, verdict->sequence);
	cw_status_t status;

	if (!g_utf8_validate(verdict->reason, -1, NULL) || strlen(verdict->reason) > MAX_TEXT_BYTES)
		return cw_fail(CW_ERR_USAGE,
			       "roll-out " NUMBER_FORMAT ": the reason is too long or not UTF-8",
			       verdict->sequence);
	if (!rollout)
		return fail_as_stale(verdict->sequence);
	if (verdict->succeeded && rollout->state < CARAWAY__ROLLOUT_STATE__ROLLOUT_HANDOVER)
		return cw_fail(CW_ERR_STATE, "roll-out " NUMBER_FORMAT " of %s has not handed over",
			       rollout->sequence, rollout->service);
	if (rollout->state == state)
		return CW_OK;
	status = set_state(ledger, rollout, state, at_ms);
	if (!status && *verdict->reason)
		set_reason(rollout, verdict->reason);
	return status;
}

/* Checks one roll-out of a snapshot. */
static bool rollout_is_consistent(const Caraway__Rollout *rollout, uint64_t count)
{
	return rollout->sequence && rollout->sequence <= count &&
	       (is_running(rollout->state) || is_verdict(rollout->state)) &&
	       !ledger_check_operator(rollout->operator_name) &&
	       !check_fields(rollout->service, rollout->target_version, rollout->duration_ms);
}

/* Checks the roll-outs of a snapshot, their order, and that no two have the same sequence number; CW_ERR_DECODE. */
cw_status_t ledger_check_rollouts(const Caraway__LedgerSnapshot *snapshot)
{
	g_autoptr(GHashTable) sequences = g_hash_table_new(g_int64_hash, g_int64_equal);
	const char *previous = "";

	for (size_t i = 0; i < snapshot->n_rollouts; i++) {
		Caraway__Rollout *rollout = snapshot->rollouts[i];

		if (!rollout_is_consistent(rollout, snapshot->rollout_count) ||
		    strcmp(rollout->service, previous) <= 0 ||
		    !g_hash_table_add(sequences, &rollout->sequence))
			return cw_fail(CW_ERR_DECODE, "ledger snapshot: roll-out %zu is inconsistent", i);
		previous = rollout->service;
	}
	return CW_OK;
}

/* Stores the roll-outs of a checked snapshot. */
void ledger_load_rollouts(cw_ledger_t *ledger, const Caraway__LedgerSnapshot *snapshot)
{
	for (size_t i = 0; i < snapshot->n_rollouts; i++)
		store_rollout(ledger, cw_message_copy(&snapshot->rollouts[i]->base));
	ledger->rollout_count = snapshot->rollout_count;
}
