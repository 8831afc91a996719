/* See raft_observer.h. */
#include "raft_observer.h"

enum { MAX_REPLICAS = 16 }; /* above any replica id */

static const uint64_t fnv_offset = 14695981039346656037U;
static const uint64_t fnv_prime = 1099511628211U;

struct raft_observer {
	GArray *digests;      /* uint64_t digest of the entries up to each index; [0]: of the empty log */
	GArray *commit_terms; /* uint64_t term in which each index was committed */
	uint64_t applied[MAX_REPLICAS];	   /* last index applied, by replica */
	uint64_t lost_index[MAX_REPLICAS]; /* last committed index that was on a lost disk of the replica */
	GHashTable *leaders;		   /* term -> "id.incarnation" */
	GHashTable *votes;		   /* "id.incarnation.term" -> candidate */
	GHashTable *reads;		   /* cookie -> commit index at the arrival of the read */
	char *violation;
};

/* Records a violation, unless there is one already. */
static void G_GNUC_PRINTF(2, 3) report_violation(raft_observer_t *observer, const char *format, ...)
{
	va_list arguments;

	if (observer->violation)
		return;
	va_start(arguments, format);
	observer->violation = g_strdup_vprintf(format, arguments);
	va_end(arguments);
}

raft_observer_t *raft_observer_new(void)
{
	raft_observer_t *observer = g_new0(raft_observer_t, 1);
	uint64_t empty = 0;

	observer->digests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(observer->digests, empty);
	observer->commit_terms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(observer->commit_terms, empty);
	observer->leaders = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	observer->votes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	observer->reads = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return observer;
}

void raft_observer_free(raft_observer_t *observer)
{
	g_array_free(observer->digests, TRUE);
	g_array_free(observer->commit_terms, TRUE);
	g_hash_table_destroy(observer->leaders);
	g_hash_table_destroy(observer->votes);
	g_hash_table_destroy(observer->reads);
	g_free(observer->violation);
	g_free(observer);
}

const char *raft_observer_violation(const raft_observer_t *observer)
{
	return observer->violation;
}

uint64_t raft_observer_commit_index(const raft_observer_t *observer)
{
	return observer->digests->len - 1;
}

/* Continues an FNV-1a hash with data and returns it. */
static uint64_t fnv1a(uint64_t hash, const void *data, size_t length)
{
	const uint8_t *bytes = data;

	for (size_t i = 0; i < length; i++)
		hash = (hash ^ bytes[i]) * fnv_prime;
	return hash;
}

uint64_t raft_observer_digest(uint64_t previous, uint64_t index, uint64_t term, const void *data,
			      size_t length)
{
	uint64_t hash = fnv1a(fnv_offset, &previous, sizeof(previous));

	hash = fnv1a(hash, &index, sizeof(index));
	hash = fnv1a(hash, &term, sizeof(term));
	return fnv1a(hash, data, length);
}

/* Returns whether a digest matches that of the entries up to an index; true beyond the commit index. */
static bool digest_matches(const raft_observer_t *observer, uint64_t index, uint64_t digest)
{
	return index >= observer->digests->len || g_array_index(observer->digests, uint64_t, index) == digest;
}

void raft_observer_replica_started(raft_observer_t *observer, uint32_t id, uint64_t index, uint64_t digest)
{
	if (index >= observer->digests->len || !digest_matches(observer, index, digest))
		report_violation(
			observer,
			"snapshot differs from the committed log: replica %u, index %" G_GUINT64_FORMAT, id,
			index);
	observer->applied[id] = index;
}

void raft_observer_applied(raft_observer_t *observer, uint32_t id, uint64_t index, uint64_t digest,
			   uint64_t replica_term)
{
	if (index != observer->applied[id] + 1)
		report_violation(observer,
				 "out of order: replica %u applied index %" G_GUINT64_FORMAT
				 " after %" G_GUINT64_FORMAT,
				 id, index, observer->applied[id]);
	if (index > observer->digests->len)
		report_violation(observer, "out of order: replica %u applied beyond the committed log", id);
	if (index == observer->digests->len) {
		g_array_append_val(observer->digests, digest);
		g_array_append_val(observer->commit_terms, replica_term);
	}
	if (!digest_matches(observer, index, digest))
		report_violation(observer, "committed entry changed: replica %u, index %" G_GUINT64_FORMAT,
				 id, index);
	observer->applied[id] = index;
}

void raft_observer_leader_elected(raft_observer_t *observer, uint32_t id, uint64_t term, uint64_t incarnation)
{
	char *identity = g_strdup_printf("%u.%" G_GUINT64_FORMAT, id, incarnation);
	const char *previous = g_hash_table_lookup(observer->leaders, &term);

	if (previous && !g_str_equal(previous, identity))
		report_violation(observer, "two leaders: term %" G_GUINT64_FORMAT ", %s and %s", term,
				 previous, identity);
	g_hash_table_insert(observer->leaders, g_memdup2(&term, sizeof(term)), identity);
}

uint64_t raft_observer_commit_index_before_term(const raft_observer_t *observer, uint64_t term)
{
	uint64_t index = raft_observer_commit_index(observer);

	while (index && g_array_index(observer->commit_terms, uint64_t, index) >= term)
		index--;
	return index;
}

void raft_observer_check_leader_log(raft_observer_t *observer, uint32_t id, uint64_t term, uint64_t index,
				    uint64_t digest)
{
	if (index < raft_observer_commit_index_before_term(observer, term) ||
	    !digest_matches(observer, index, digest))
		report_violation(observer, "committed entry missing: leader %u", id);
}

void raft_observer_voted(raft_observer_t *observer, uint32_t id, uint64_t incarnation, uint64_t term,
			 uint64_t candidate, uint64_t last_index)
{
	char *key = g_strdup_printf("%u.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, id, incarnation, term);
	const uint64_t *previous = g_hash_table_lookup(observer->votes, key);

	if (previous && *previous != candidate)
		report_violation(observer, "two votes: replica %u, term %" G_GUINT64_FORMAT, id, term);
	if (last_index < observer->lost_index[id])
		report_violation(observer, "vote after the loss of committed entries: replica %u", id);
	g_hash_table_insert(observer->votes, key, g_memdup2(&candidate, sizeof(candidate)));
}

void raft_observer_disk_lost(raft_observer_t *observer, uint32_t id, uint64_t last_index)
{
	uint64_t lost = MIN(last_index, raft_observer_commit_index(observer));

	observer->lost_index[id] = MAX(observer->lost_index[id], lost);
}

void raft_observer_read_started(raft_observer_t *observer, uint64_t cookie)
{
	uint64_t committed = raft_observer_commit_index(observer);

	g_hash_table_insert(observer->reads, g_memdup2(&cookie, sizeof(cookie)),
			    g_memdup2(&committed, sizeof(committed)));
}

void raft_observer_read_answered(raft_observer_t *observer, uint64_t cookie, uint64_t applied)
{
	const uint64_t *committed = g_hash_table_lookup(observer->reads, &cookie);

	if (!committed)
		report_violation(observer, "read answered twice");
	else if (applied < *committed)
		report_violation(observer,
				 "stale read: index %" G_GUINT64_FORMAT " answered, %" G_GUINT64_FORMAT
				 " committed",
				 applied, *committed);
	g_hash_table_remove(observer->reads, &cookie);
}

void raft_observer_check_leases(raft_observer_t *observer, unsigned holders)
{
	if (holders > 1)
		report_violation(observer, "two leases: %u at once", holders);
}
