/*
 * Roll-outs in the relay: notices of their state go down the tree with the stamps, evidence goes up with the pulls.
 *
 * The list of notices is replaced as a whole, together with a newer stamp, so that it is at least as new as the
 * stamp.  A parent of the previous version sends no list: the last one is kept, but is not confirmed again.
 * Evidence is added up by route and sent once; what is lost with a parent is missing, and nothing is counted twice.
 */
#include "relay_internal.h"

#include <string.h>

enum { MAX_EVIDENCE = 1024 /* routes of roll-outs; others are dropped until the next pull */ };

/* Returns whether two notices are equal. */
static bool notices_equal(const Caraway__RolloutNotice *left, const Caraway__RolloutNotice *right)
{
	return left->sequence == right->sequence && left->state == right->state &&
	       !strcmp(left->service, right->service) && !strcmp(left->target_version, right->target_version);
}

/* Replaces the list of notices; returns whether it was another one. */
static bool replace_notices(cw_relay_t *relay, Caraway__RolloutNotice *const *notices, size_t count)
{
	bool equal = relay->rollouts->len == count;

	for (size_t i = 0; i < count && equal; i++)
		equal = notices_equal(relay->rollouts->pdata[i], notices[i]);
	if (equal)
		return false;
	g_ptr_array_set_size(relay->rollouts, 0);
	for (size_t i = 0; i < count; i++)
		g_ptr_array_add(relay->rollouts, cw_message_copy(&notices[i]->base));
	return true;
}

/* Sets the notices of the leader; a change is sent at once, with a new stamp. */
void cw_relay_set_rollouts(cw_relay_t *relay, Caraway__RolloutNotice *const *notices, size_t count,
			   int64_t now_ms)
{
	if (replace_notices(relay, notices, count))
		relay->confirm_due_ms = MIN(relay->confirm_due_ms, now_ms);
	relay->rollouts_known = true;
}

/* Applies the notices of an update, if its stamp is the newest now. */
void cw_relay_apply_rollouts(cw_relay_t *relay, const Caraway__News *update)
{
	const Caraway__Stamp *stamp = update->stamp;

	if (!update->rollouts_known || !stamp || stamp->term != relay->stamp.term ||
	    stamp->sequence != relay->stamp.sequence)
		return;
	replace_notices(relay, update->rollouts, update->n_rollouts);
	relay->rollouts_known = true;
	relay->rollouts_confirmed_ms = MAX(relay->rollouts_confirmed_ms, relay->stamp_bound_ms);
}

/* Adds the notices to an answer. */
void cw_relay_fill_rollouts(const cw_relay_t *relay, Caraway__News *update)
{
	update->rollouts_known = relay->rollouts_known;
	if (!relay->rollouts_known)
		return;
	update->rollouts = cw_message_array(relay->rollouts->len);
	for (guint i = 0; i < relay->rollouts->len; i++)
		update->rollouts[update->n_rollouts++] =
			cw_message_copy(&((Caraway__RolloutNotice *)relay->rollouts->pdata[i])->base);
}

/* Returns the notices; borrowed until the next step. */
const GPtrArray *cw_relay_rollouts(const cw_relay_t *relay)
{
	return relay->rollouts;
}

/* Returns a lower bound of the time at which a quorum confirmed the notices; 0: none is known. */
int64_t cw_relay_rollouts_confirmed_ms(const cw_relay_t *relay)
{
	return relay->rollouts_confirmed_ms;
}

/* ---- evidence ------------------------------------------------------------------------------------------ */

/* Returns the key of evidence: its roll-out and route. */
static uint64_t evidence_key(const Caraway__RolloutEvidence *evidence)
{
	return cw_hash(&evidence->sequence, sizeof(evidence->sequence), evidence->route);
}

/* Adds the counts of a message to others; more buckets than are known count as the highest. */
static void add_counts(Caraway__RolloutCounts *sum, const Caraway__RolloutCounts *counts)
{
	sum->answers += counts->answers;
	sum->failures += counts->failures;
	for (size_t i = 0; i < counts->n_latency; i++)
		sum->latency[MIN(i, CW_ROLLOUT_BUCKETS - 1)] += counts->latency[i];
}

/* Returns counts of 0 with all buckets. */
static Caraway__RolloutCounts *counts_new(void)
{
	Caraway__RolloutCounts *counts = malloc(sizeof(*counts));

	caraway__rollout_counts__init(counts);
	counts->n_latency = CW_ROLLOUT_BUCKETS;
	counts->latency = calloc(CW_ROLLOUT_BUCKETS, sizeof(*counts->latency));
	return counts;
}

/* Returns evidence of a roll-out and route without answers. */
static Caraway__RolloutEvidence *evidence_new(uint64_t sequence, uint64_t route)
{
	Caraway__RolloutEvidence *evidence = malloc(sizeof(*evidence));

	caraway__rollout_evidence__init(evidence);
	evidence->sequence = sequence;
	evidence->route = route;
	evidence->old_counts = counts_new();
	evidence->new_counts = counts_new();
	return evidence;
}

/* Adds evidence to what waits to be sent to the parent, or to be taken at the leader. */
void cw_relay_add_evidence(cw_relay_t *relay, const Caraway__RolloutEvidence *evidence, int64_t now_ms)
{
	uint64_t key = evidence_key(evidence);
	Caraway__RolloutEvidence *sum = g_hash_table_lookup(relay->evidence, &key);

	if (!sum) {
		if (g_hash_table_size(relay->evidence) >= MAX_EVIDENCE)
			return;
		sum = evidence_new(evidence->sequence, evidence->route);
		g_hash_table_insert(relay->evidence, g_memdup2(&key, sizeof(key)), sum);
	}
	if (evidence->old_counts)
		add_counts(sum->old_counts, evidence->old_counts);
	if (evidence->new_counts)
		add_counts(sum->new_counts, evidence->new_counts);
	if (!relay->leading)
		relay->early_pull_ms = MIN(relay->early_pull_ms, now_ms + relay->options.batch_ms);
}

/* Returns the evidence that waits, owned by the caller, and removes it. */
GPtrArray *cw_relay_take_evidence(cw_relay_t *relay)
{
	GPtrArray *taken = g_ptr_array_new_with_free_func(cw_message_free);
	GHashTableIter iter;
	gpointer key, evidence;

	g_hash_table_iter_init(&iter, relay->evidence);
	while (g_hash_table_iter_next(&iter, &key, &evidence)) {
		g_ptr_array_add(taken, evidence);
		g_hash_table_iter_steal(&iter);
		g_free(key);
	}
	return taken;
}

/* Initializes the roll-outs of a relay. */
void cw_relay_rollouts_init(cw_relay_t *relay)
{
	relay->rollouts = g_ptr_array_new_with_free_func(cw_message_free);
	relay->evidence = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, cw_message_free);
}

/* Frees the roll-outs of a relay. */
void cw_relay_rollouts_clear(cw_relay_t *relay)
{
	g_ptr_array_unref(relay->rollouts);
	g_hash_table_unref(relay->evidence);
}
