/*
 * Roll-outs at a proxy: which of a service's endpoints may get a call, and what the answers of both versions show.
 */
#include "rollouts.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* After a quorum's last confirmation the step counts for this long; stamps come once a second. */
	LEASE_MS = 4000,
	MAX_EVIDENCE = 256 /* routes of roll-outs between two hand-overs; others are not counted */
};

/* A roll-out of a service. */
typedef struct {
	Caraway__RolloutNotice *notice;
	cw_rollout_account_t account;
	GHashTable *first_answers; /* VM -> int64_t, time of the first answer of its new target */
} service_rollout_t;

struct rollouts {
	/* Shared, under the mutex. */
	GMutex mutex;
	GPtrArray *published;	 /* Caraway__RolloutNotice */
	GPtrArray *handed_over;	 /* Caraway__RolloutEvidence */
	_Atomic uint64_t serial; /* of what is published */
	_Atomic int64_t confirmed_ms;
	/* Of the traffic thread. */
	uint64_t seen_serial;
	GHashTable *by_service; /* service -> service_rollout_t */
	GHashTable *evidence;	/* hash of roll-out and route -> route_evidence_t */
	int64_t hand_over_ms;
};

/* Answers on a route since the last hand-over. */
typedef struct {
	uint64_t key;
	uint64_t rollout;
	uint64_t route;
	cw_rollout_counts_t counts[CW_ROLLOUT_VERSIONS];
} route_evidence_t;

/* Frees the roll-out of a service. */
static void service_rollout_free(gpointer data)
{
	service_rollout_t *service = data;

	cw_message_free(service->notice);
	g_hash_table_destroy(service->first_answers);
	g_free(service);
}

/* Creates the state of a proxy without roll-outs. */
rollouts_t *rollouts_new(void)
{
	rollouts_t *rollouts = g_new0(rollouts_t, 1);

	g_mutex_init(&rollouts->mutex);
	rollouts->published = g_ptr_array_new_with_free_func(cw_message_free);
	rollouts->handed_over = g_ptr_array_new_with_free_func(cw_message_free);
	rollouts->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_rollout_free);
	rollouts->evidence = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return rollouts;
}

/* Frees the state; NULL is allowed. */
void rollouts_free(rollouts_t *rollouts)
{
	if (!rollouts)
		return;
	g_ptr_array_unref(rollouts->published);
	g_ptr_array_unref(rollouts->handed_over);
	g_hash_table_destroy(rollouts->by_service);
	g_hash_table_destroy(rollouts->evidence);
	g_mutex_clear(&rollouts->mutex);
	g_free(rollouts);
}

/* ---- control thread ------------------------------------------------------------------------------------ */

/* Returns whether notices differ from those published; only the control thread changes these. */
static bool is_changed(const rollouts_t *rollouts, const GPtrArray *notices)
{
	if (notices->len != rollouts->published->len)
		return true;
	for (guint i = 0; i < notices->len; i++) {
		const Caraway__RolloutNotice *left = notices->pdata[i];
		const Caraway__RolloutNotice *right = rollouts->published->pdata[i];

		if (left->sequence != right->sequence || left->state != right->state)
			return true;
	}
	return false;
}

/* Publishes notices and when they were confirmed. */
void rollouts_publish(rollouts_t *rollouts, const GPtrArray *notices, int64_t confirmed_ms)
{
	if (is_changed(rollouts, notices)) {
		g_mutex_lock(&rollouts->mutex);
		g_ptr_array_set_size(rollouts->published, 0);
		for (guint i = 0; i < notices->len; i++)
			g_ptr_array_add(
				rollouts->published,
				cw_message_copy(&((Caraway__RolloutNotice *)notices->pdata[i])->base));
		g_mutex_unlock(&rollouts->mutex);
		atomic_fetch_add(&rollouts->serial, 1);
	}
	atomic_store(&rollouts->confirmed_ms, confirmed_ms);
}

/* Returns the evidence that the traffic thread has handed over. */
GPtrArray *rollouts_take_evidence(rollouts_t *rollouts)
{
	GPtrArray *taken;

	g_mutex_lock(&rollouts->mutex);
	taken = rollouts->handed_over;
	rollouts->handed_over = g_ptr_array_new_with_free_func(cw_message_free);
	g_mutex_unlock(&rollouts->mutex);
	return taken;
}

/* ---- traffic thread ------------------------------------------------------------------------------------ */

/* Returns the roll-out of a service; NULL when it has none. */
static service_rollout_t *find_service(const rollouts_t *rollouts, const char *service)
{
	return g_hash_table_lookup(rollouts->by_service, service);
}

/* Returns the roll-out of a sequence number; NULL when it is not known any more. */
static service_rollout_t *find_rollout(const rollouts_t *rollouts, uint64_t sequence)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((service_rollout_t *)value)->account.rollout == sequence)
			return value;
	return NULL;
}

/* Stores a notice; the account of the same order goes on. */
static void apply_notice(rollouts_t *rollouts, const Caraway__RolloutNotice *notice)
{
	service_rollout_t *service = find_service(rollouts, notice->service);
	service_rollout_t *stored;

	if (service && service->notice->sequence > notice->sequence)
		return;
	stored = g_new0(service_rollout_t, 1);
	stored->notice = cw_message_copy(&notice->base);
	stored->first_answers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (service && service->notice->sequence == notice->sequence) {
		stored->account = service->account;
		g_hash_table_destroy(stored->first_answers);
		stored->first_answers = g_hash_table_ref(service->first_answers);
	}
	cw_rollout_account_confirm(&stored->account, notice->sequence, (cw_rollout_step_t)notice->state, 0);
	g_hash_table_replace(rollouts->by_service, stored->notice->service, stored);
}

/* Returns whether a service is not among the published notices (GHRFunc). */
static gboolean is_unlisted(gpointer key, gpointer value, gpointer data)
{
	const GPtrArray *published = data;

	(void)value;
	for (guint i = 0; i < published->len; i++)
		if (g_str_equal(((Caraway__RolloutNotice *)published->pdata[i])->service, key))
			return FALSE;
	return TRUE;
}

/* Applies the published notices if they are new. */
static void apply_published(rollouts_t *rollouts)
{
	uint64_t serial = atomic_load(&rollouts->serial);

	if (serial == rollouts->seen_serial)
		return;
	rollouts->seen_serial = serial;
	g_mutex_lock(&rollouts->mutex);
	g_hash_table_foreach_remove(rollouts->by_service, is_unlisted, rollouts->published);
	for (guint i = 0; i < rollouts->published->len; i++)
		apply_notice(rollouts, rollouts->published->pdata[i]);
	g_mutex_unlock(&rollouts->mutex);
}

/* Returns what the next attempt of a call to a service may use. */
rollout_choice_t rollouts_choose(rollouts_t *rollouts, const char *service, int64_t now_ms)
{
	service_rollout_t *found;
	int64_t confirmed_ms;

	/* The time is read before the notices, which are at least as new. */
	confirmed_ms = atomic_load(&rollouts->confirmed_ms);
	apply_published(rollouts);
	found = find_service(rollouts, service);
	if (!found)
		return (rollout_choice_t){.use = CW_ROLLOUT_USE_ANY};
	if (confirmed_ms)
		cw_rollout_account_confirm(&found->account, found->account.rollout, found->account.step,
					   confirmed_ms + LEASE_MS);
	return (rollout_choice_t){.rollout = found->account.rollout,
				  .step = found->account.step,
				  .use = cw_rollout_account_choose(&found->account, now_ms)};
}

/* An endpoint of the new version and its place in an order that all proxies have. */
typedef struct {
	uint64_t hash;
	rollout_endpoint_t *endpoint;
} ranked_t;

/* Orders endpoints by their hash. */
static int compare_ranked(const void *a, const void *b)
{
	const ranked_t *left = a;
	const ranked_t *right = b;

	return (left->hash > right->hash) - (left->hash < right->hash);
}

/* Withholds the new endpoints that are not in use in this step: all but the first few, which all proxies select. */
static void withhold_unused(const rollout_choice_t *choice, rollout_endpoint_t *endpoints, size_t count)
{
	g_autofree ranked_t *ranked = g_new(ranked_t, count + 1);
	size_t old_count = 0, new_count = 0, used;

	for (size_t i = 0; i < count; i++) {
		rollout_endpoint_t *endpoint = &endpoints[i];

		if (endpoint->draining)
			continue;
		old_count += !endpoint->is_new;
		if (endpoint->is_new)
			ranked[new_count++] = (ranked_t){
				cw_hash(endpoint->vm, strlen(endpoint->vm), choice->rollout), endpoint};
	}
	used = cw_rollout_targets_in_use(choice->step, old_count, new_count);
	qsort(ranked, new_count, sizeof(*ranked), compare_ranked);
	for (size_t i = used; i < new_count; i++)
		ranked[i].endpoint->withheld = true;
}

/* Marks the endpoints that an attempt may not use. */
void rollouts_restrict(rollouts_t *rollouts, const rollout_choice_t *choice, const char *service,
		       rollout_endpoint_t *endpoints, size_t count)
{
	const service_rollout_t *found = choice->rollout ? find_service(rollouts, service) : NULL;

	if (!found)
		return;
	for (size_t i = 0; i < count; i++) {
		rollout_endpoint_t *endpoint = &endpoints[i];

		endpoint->is_new = g_str_equal(endpoint->target_version, found->notice->target_version);
		endpoint->withheld = endpoint->is_new ? choice->use == CW_ROLLOUT_USE_OLD
						      : choice->use == CW_ROLLOUT_USE_NEW;
	}
	if (choice->use == CW_ROLLOUT_USE_NEW)
		withhold_unused(choice, endpoints, count);
}

/* Counts an attempt that is sent to the new version. */
void rollouts_sent_to_new(rollouts_t *rollouts, uint64_t rollout)
{
	service_rollout_t *found = find_rollout(rollouts, rollout);

	if (found)
		cw_rollout_account_expose(&found->account);
}

/* Returns the time since the first answer of a new target; its start is not known here. */
static int64_t new_target_age_ms(service_rollout_t *service, const char *vm, int64_t now_ms)
{
	const int64_t *first_ms = g_hash_table_lookup(service->first_answers, vm);

	if (first_ms)
		return now_ms - *first_ms;
	g_hash_table_insert(service->first_answers, g_strdup(vm), g_memdup2(&now_ms, sizeof(now_ms)));
	return 0;
}

/* Returns the evidence of a route, created if needed; NULL when there is too much. */
static route_evidence_t *get_evidence(rollouts_t *rollouts, uint64_t rollout, uint64_t route)
{
	uint64_t key = cw_hash(&rollout, sizeof(rollout), route);
	route_evidence_t *evidence = g_hash_table_lookup(rollouts->evidence, &key);

	if (evidence || g_hash_table_size(rollouts->evidence) >= MAX_EVIDENCE)
		return evidence;
	evidence = g_new0(route_evidence_t, 1);
	evidence->key = key;
	evidence->rollout = rollout;
	evidence->route = route;
	g_hash_table_insert(rollouts->evidence, &evidence->key, evidence);
	return evidence;
}

/* Counts the answer of an attempt. */
void rollouts_answered(rollouts_t *rollouts, const rollout_answer_t *answer, int64_t now_ms)
{
	service_rollout_t *found = find_rollout(rollouts, answer->rollout);
	route_evidence_t *evidence;
	int64_t age_ms = INT64_MAX;

	if (!found || cw_rollout_is_verdict(found->account.step))
		return;
	cw_rollout_account_earn(&found->account);
	if (answer->version == CW_ROLLOUT_NEW)
		age_ms = new_target_age_ms(found, answer->vm, now_ms);
	evidence = get_evidence(rollouts, answer->rollout, answer->route);
	if (evidence)
		cw_rollout_count(&evidence->counts[answer->version], answer->failure, answer->latency_ms,
				 age_ms);
}

/* Returns counts as a message. */
static Caraway__RolloutCounts *counts_message(const cw_rollout_counts_t *counts)
{
	Caraway__RolloutCounts *message = malloc(sizeof(*message));

	caraway__rollout_counts__init(message);
	message->answers = counts->answers;
	message->failures = counts->failures;
	message->n_latency = CW_ROLLOUT_BUCKETS;
	message->latency = calloc(CW_ROLLOUT_BUCKETS, sizeof(*message->latency));
	memcpy(message->latency, counts->latency, sizeof(counts->latency));
	return message;
}

/* Returns the evidence of a route as a message. */
static Caraway__RolloutEvidence *evidence_message(const route_evidence_t *evidence)
{
	Caraway__RolloutEvidence *message = malloc(sizeof(*message));

	caraway__rollout_evidence__init(message);
	message->sequence = evidence->rollout;
	message->route = evidence->route;
	message->old_counts = counts_message(&evidence->counts[CW_ROLLOUT_OLD]);
	message->new_counts = counts_message(&evidence->counts[CW_ROLLOUT_NEW]);
	return message;
}

/* Hands the evidence over to the control thread. */
static void hand_over(rollouts_t *rollouts)
{
	GHashTableIter iter;
	gpointer evidence;

	g_mutex_lock(&rollouts->mutex);
	g_hash_table_iter_init(&iter, rollouts->evidence);
	while (g_hash_table_iter_next(&iter, NULL, &evidence))
		if (rollouts->handed_over->len < MAX_EVIDENCE)
			g_ptr_array_add(rollouts->handed_over, evidence_message(evidence));
	g_mutex_unlock(&rollouts->mutex);
	g_hash_table_remove_all(rollouts->evidence);
}

/* Applies new notices and hands over the evidence when it is due. */
void rollouts_run(rollouts_t *rollouts, int64_t now_ms)
{
	apply_published(rollouts);
	if (now_ms < rollouts->hand_over_ms)
		return;
	rollouts->hand_over_ms = now_ms + CW_ROLLOUT_INTERVAL_MS;
	if (g_hash_table_size(rollouts->evidence))
		hand_over(rollouts);
}
