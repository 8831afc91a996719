/* See raft_observer.h. */
#include "raft_observer.h"

enum { MAX_REPLICAS = 16 };

static const uint64_t fnv_offset = 14695981039346656037U;
static const uint64_t fnv_prime = 1099511628211U;

struct raft_observer {
	GArray *committed; /* uint64_t digest over the entries up to each index; [0] is the empty log */
	GArray *commit_terms;	   /* uint64_t in which each index was committed */
	uint64_t applied[MAX_REPLICAS];
	uint64_t lost_index[MAX_REPLICAS]; /* committed entries that went with the disk */
	GHashTable *leaders;	     /* term -> "id.incarnation" */
	GHashTable *votes;	     /* "id.incarnation.term" -> candidate */
	GHashTable *reads;	     /* cookie -> committed index when it came */
	char *violation;
};

/* Keeps the first violation. */
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

	observer->committed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(observer->committed, empty);
	observer->commit_terms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(observer->commit_terms, empty);
	observer->leaders = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	observer->votes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	observer->reads = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return observer;
}

void raft_observer_free(raft_observer_t *observer)
{
	g_array_free(observer->committed, TRUE);
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
	return observer->committed->len - 1;
}

/* Returns the FNV-1a hash of data, continued from a hash before. */
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

/* Compares a digest with that of the committed entries up to an index, if it is known. */
static bool digest_matches(const raft_observer_t *observer, uint64_t index, uint64_t digest)
{
	return index >= observer->committed->len ||
	       g_array_index(observer->committed, uint64_t, index) == digest;
}

void raft_observer_replica_started(raft_observer_t *observer, uint32_t id, uint64_t index, uint64_t digest)
{
	if (index >= observer->committed->len || !digest_matches(observer, index, digest))
		report_violation(observer, "snapshot never committed: replica %u, index %" G_GUINT64_FORMAT, id,
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
	if (index > observer->committed->len)
		report_violation(observer, "out of order: replica %u applied beyond the committed log", id);
	if (index == observer->committed->len) {
		g_array_append_val(observer->committed, digest);
		g_array_append_val(observer->commit_terms, replica_term);
	}
	if (!digest_matches(observer, index, digest))
		report_violation(observer, "committed entry changed: replica %u, index %" G_GUINT64_FORMAT, id, index);
	observer->applied[id] = index;
}

void raft_observer_leader_elected(raft_observer_t *observer, uint32_t id, uint64_t term, uint64_t incarnation)
{
	char *identity = g_strdup_printf("%u.%" G_GUINT64_FORMAT, id, incarnation);
	const char *known = g_hash_table_lookup(observer->leaders, &term);

	if (known && !g_str_equal(known, identity))
		report_violation(observer, "two leaders: term %" G_GUINT64_FORMAT ", %s and %s", term, known, identity);
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
	if (index < raft_observer_commit_index_before_term(observer, term) || !digest_matches(observer, index, digest))
		report_violation(observer, "committed entry missing: leader %u", id);
}

void raft_observer_voted(raft_observer_t *observer, uint32_t id, uint64_t incarnation, uint64_t term,
			 uint64_t candidate, uint64_t last_index)
{
	char *key = g_strdup_printf("%u.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, id, incarnation, term);
	const uint64_t *known = g_hash_table_lookup(observer->votes, key);

	if (known && *known != candidate)
		report_violation(observer, "two votes: replica %u, term %" G_GUINT64_FORMAT, id, term);
	if (last_index < observer->lost_index[id])
		report_violation(observer, "vote with a lost disk: replica %u", id);
	g_hash_table_insert(observer->votes, key, g_memdup2(&candidate, sizeof(candidate)));
}

void raft_observer_disk_lost(raft_observer_t *observer, uint32_t id, uint64_t last_index)
{
	uint64_t floor = MIN(last_index, raft_observer_commit_index(observer));

	observer->lost_index[id] = MAX(observer->lost_index[id], floor);
}

void raft_observer_read_started(raft_observer_t *observer, uint64_t cookie)
{
	uint64_t floor = raft_observer_commit_index(observer);

	g_hash_table_insert(observer->reads, g_memdup2(&cookie, sizeof(cookie)),
			    g_memdup2(&floor, sizeof(floor)));
}

void raft_observer_read_answered(raft_observer_t *observer, uint64_t cookie, uint64_t applied)
{
	const uint64_t *floor = g_hash_table_lookup(observer->reads, &cookie);

	if (!floor)
		report_violation(observer, "two answers: a read");
	else if (applied < *floor)
		report_violation(observer, "stale read: index %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT, applied,
			*floor);
	g_hash_table_remove(observer->reads, &cookie);
}

void raft_observer_check_leases(raft_observer_t *observer, unsigned holders)
{
	if (holders > 1)
		report_violation(observer, "two leases: %u at once", holders);
}
