/* Saves the ledger as a snapshot and loads it with every field checked. */
#include "ledger.h"

#include <string.h>

/* A snapshot is the little-endian hash of the packed message, followed by the message. */
enum { HASH_BYTES = 8 };

/* Fills the releases of a snapshot: an array of messages, and the array of pointers to them. */
static void save_releases(const cw_ledger_t *ledger, Caraway__LedgerSnapshot *snapshot)
{
	guint count = ledger->releases->len;
	Caraway__Release *messages = g_new(Caraway__Release, count);

	snapshot->n_releases = count;
	snapshot->releases = g_new0(Caraway__Release *, count + 1);
	for (guint i = 0; i < count; i++) {
		const release_t *release = &g_array_index(ledger->releases, release_t, i);

		caraway__release__init(&messages[i]);
		messages[i].release = release->release;
		messages[i].digest = release->digest;
		snapshot->releases[i] = &messages[i];
	}
}

/* Checks that the releases of a snapshot are in ascending order; CW_ERR_DECODE. */
static cw_status_t check_releases(const Caraway__LedgerSnapshot *snapshot)
{
	uint64_t previous = 0;

	for (size_t i = 0; i < snapshot->n_releases; i++) {
		if (snapshot->releases[i]->release <= previous)
			return cw_fail(CW_ERR_DECODE,
				       "ledger snapshot: the releases are not in ascending order");
		previous = snapshot->releases[i]->release;
	}
	return CW_OK;
}

/* Adds the releases of a checked snapshot to the ledger. */
static void load_releases(cw_ledger_t *ledger, const Caraway__LedgerSnapshot *snapshot)
{
	for (size_t i = 0; i < snapshot->n_releases; i++) {
		release_t release = {snapshot->releases[i]->release, snapshot->releases[i]->digest};

		g_array_append_val(ledger->releases, release);
	}
}

/* Returns the ledger as a snapshot; equal ledgers give equal snapshots. */
GBytes *cw_ledger_save(const cw_ledger_t *ledger)
{
	Caraway__LedgerSnapshot snapshot = CARAWAY__LEDGER_SNAPSHOT__INIT;
	GPtrArray *changes = cw_ledger_changes(ledger);
	GPtrArray *account_keys = ledger_save_account_keys(ledger);
	GPtrArray *rollouts = cw_ledger_rollouts(ledger);
	size_t length;
	uint8_t *data;
	uint64_t hash;

	snapshot.n_changes = changes->len;
	snapshot.changes = (Caraway__Change **)changes->pdata;
	snapshot.feed = cw_feed_save(ledger->feed);
	snapshot.archive = archive_save(ledger->archive);
	save_releases(ledger, &snapshot);
	snapshot.n_account_keys = account_keys->len;
	snapshot.account_keys = (Caraway__AccountKeys **)account_keys->pdata;
	snapshot.n_rollouts = rollouts->len;
	snapshot.rollouts = (Caraway__Rollout **)rollouts->pdata;
	snapshot.rollout_count = ledger->rollout_count;
	length = caraway__ledger_snapshot__get_packed_size(&snapshot);
	data = g_malloc(HASH_BYTES + length);
	caraway__ledger_snapshot__pack(&snapshot, data + HASH_BYTES);
	hash = GUINT64_TO_LE(cw_hash(data + HASH_BYTES, length, 0));
	memcpy(data, &hash, HASH_BYTES);
	cw_message_free(snapshot.feed);
	cw_message_free(snapshot.archive);
	g_free(snapshot.releases[0]);
	g_free(snapshot.releases);
	g_ptr_array_unref(account_keys);
	g_ptr_array_unref(rollouts);
	g_ptr_array_unref(changes);
	return g_bytes_new_take(data, HASH_BYTES + length);
}

/* Checks the hash and unpacks the message; CW_ERR_DAMAGED or CW_ERR_DECODE. */
static cw_status_t unpack(const void *data, size_t length, Caraway__LedgerSnapshot **snapshot)
{
	const uint8_t *bytes = data;
	uint64_t hash;

	if (length < HASH_BYTES)
		return cw_fail(CW_ERR_DAMAGED, "ledger snapshot: truncated at %zu bytes", length);
	memcpy(&hash, bytes, HASH_BYTES);
	bytes += HASH_BYTES;
	length -= HASH_BYTES;
	if (GUINT64_FROM_LE(hash) != cw_hash(bytes, length, 0))
		return cw_fail(CW_ERR_DAMAGED, "ledger snapshot: the hash does not match");
	*snapshot = caraway__ledger_snapshot__unpack(NULL, length, bytes);
	return *snapshot ? CW_OK : cw_fail(CW_ERR_DECODE, "ledger snapshot: cannot be decoded");
}

/* Returns whether a change's state agrees with its other fields. */
static bool state_is_consistent(const Caraway__Change *change)
{
	bool reviewed = *change->reviewed_by != 0;

	switch (change->state) {
	case CARAWAY__CHANGE_STATE__CHANGE_BOOKED:
		return change->content && !change->finished && !change->accepted;
	case CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED:
		return !change->content && !change->finished && change->accepted && reviewed;
	case CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE:
		return change->finished && change->accepted && reviewed && change->version;
	case CARAWAY__CHANGE_STATE__CHANGE_REFUSED:
		return change->finished && reviewed;
	case CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN:
		return change->finished && *change->withdrawn_by;
	default:
		return false;
	}
}

/* Checks one change of a snapshot, whose number must be above the previous one's; CW_ERR_DECODE. */
static cw_status_t check_change(const Caraway__Change *change, uint64_t previous)
{
	const Caraway__Content *content = change->content;

	if (change->number <= previous || !*change->booked_by || !state_is_consistent(change))
		return cw_fail(CW_ERR_DECODE,
			       "ledger snapshot: the fields of change %" G_GUINT64_FORMAT " are inconsistent",
			       change->number);
	if (content &&
	    (cw_content_check(content) || change->digest != change_digest(content, change->due_ms)))
		return cw_fail(CW_ERR_DECODE,
			       "ledger snapshot: the content of change %" G_GUINT64_FORMAT " is not valid",
			       change->number);
	return CW_OK;
}

/* Checks the changes, and that no two finished ones have the same position; CW_ERR_DECODE. */
static cw_status_t check_changes(const Caraway__LedgerSnapshot *snapshot)
{
	GHashTable *positions = g_hash_table_new(g_int64_hash, g_int64_equal);
	cw_status_t status = CW_OK;
	uint64_t previous = 0;

	for (size_t i = 0; i < snapshot->n_changes && !status; i++) {
		Caraway__Change *change = snapshot->changes[i];

		status = check_change(change, previous);
		previous = change->number;
		if (!status && change->finished && !g_hash_table_add(positions, &change->finished))
			status = cw_fail(CW_ERR_DECODE,
					 "ledger snapshot: two finished changes have the same position");
	}
	g_hash_table_destroy(positions);
	return status;
}

/* Checks that exactly the accepted changes are staged in the feed; CW_ERR_DECODE. */
static cw_status_t check_staged(const Caraway__LedgerSnapshot *snapshot)
{
	GHashTable *staged = g_hash_table_new(g_int64_hash, g_int64_equal);
	size_t accepted = 0;
	bool equal = true;

	for (size_t i = 0; i < snapshot->feed->n_staged; i++)
		g_hash_table_insert(staged, &snapshot->feed->staged[i]->number, snapshot->feed->staged[i]);
	for (size_t i = 0; i < snapshot->n_changes && equal; i++) {
		const Caraway__Change *change = snapshot->changes[i];
		const Caraway__StageRecord *stage;

		if (change->state != CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED)
			continue;
		accepted++;
		stage = g_hash_table_lookup(staged, &change->number);
		equal = stage && stage->content &&
			change->digest == change_digest(stage->content, change->due_ms);
	}
	equal = equal && accepted == snapshot->feed->n_staged;
	g_hash_table_destroy(staged);
	return equal ? CW_OK : cw_fail(CW_ERR_DECODE, "ledger snapshot: accepted and staged changes differ");
}

/* Orders changes by their position in the order in which they finished. */
static gint compare_finished(gconstpointer a, gconstpointer b, gpointer data)
{
	const Caraway__Change *left = a;
	const Caraway__Change *right = b;

	(void)data;
	return left->finished < right->finished ? -1 : left->finished > right->finished;
}

/* Loads the archive and checks that it has none of the snapshot's other changes; CW_ERR_DECODE. */
static cw_status_t load_archive(const Caraway__LedgerSnapshot *snapshot, GArray *archive)
{
	cw_status_t status;

	if (!snapshot->archive)
		return cw_fail(CW_ERR_DECODE, "ledger snapshot: the archive is missing");
	status = archive_load(snapshot->archive, archive);
	for (size_t i = 0; i < snapshot->n_changes && !status; i++)
		if (archive_find(archive, snapshot->changes[i]->number))
			status = cw_fail(CW_ERR_DECODE,
					 "ledger snapshot: change %" G_GUINT64_FORMAT " is archived as well",
					 snapshot->changes[i]->number);
	return status;
}

/* Adds an accepted change to the schedule. */
static void schedule_accepted(cw_ledger_t *ledger, const Caraway__Change *change)
{
	Caraway__Content *content = cw_feed_copy_staged_content(ledger->feed, change->number);

	schedule_add(ledger->schedule, change, content);
	cw_message_free(content);
}

/* Moves the changes of a checked snapshot to the ledger. */
static void load_changes(cw_ledger_t *ledger, Caraway__LedgerSnapshot *snapshot)
{
	for (size_t i = 0; i < snapshot->n_changes; i++) {
		Caraway__Change *change = snapshot->changes[i];

		ledger_add(ledger, change);
		if (change->finished)
			ledger->open_count--;
		ledger->finished_count = MAX(ledger->finished_count, change->finished);
		if (change->finished)
			g_queue_push_tail(ledger->finished_unarchived, change);
		if (change->finished && change->content)
			g_queue_push_tail(ledger->finished_with_content, change);
		if (change->state == CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED)
			schedule_accepted(ledger, change);
	}
	g_queue_sort(ledger->finished_with_content, compare_finished, NULL);
	g_queue_sort(ledger->finished_unarchived, compare_finished, NULL);
	snapshot->n_changes = 0;
}

/* Replaces the state of a ledger by an unpacked snapshot, or changes nothing when it fails; CW_ERR_DECODE. */
static cw_status_t load_snapshot(cw_ledger_t *ledger, Caraway__LedgerSnapshot *snapshot)
{
	GArray *archive;
	cw_status_t status;

	if (!snapshot->feed)
		return cw_fail(CW_ERR_DECODE, "ledger snapshot: the feed is missing");
	status = check_changes(snapshot);
	if (!status)
		status = check_staged(snapshot);
	if (!status)
		status = check_releases(snapshot);
	if (!status)
		status = ledger_check_rollouts(snapshot);
	archive = g_array_new(FALSE, FALSE, sizeof(archived_t));
	if (!status)
		status = load_archive(snapshot, archive);
	if (!status)
		status = cw_feed_load(ledger->feed, snapshot->feed);
	if (!status) {
		ledger_reset(ledger);
		load_changes(ledger, snapshot);
		load_releases(ledger, snapshot);
		ledger_load_account_keys(ledger, snapshot);
		ledger_load_rollouts(ledger, snapshot);
		g_array_append_vals(ledger->archive, archive->data, archive->len);
	}
	g_array_unref(archive);
	return status;
}

/*
 * Replaces the state of a ledger by a snapshot; pointers to the feed stay valid.
 * Fails with CW_ERR_DAMAGED or CW_ERR_DECODE, and then nothing has changed.
 */
cw_status_t cw_ledger_load(cw_ledger_t *ledger, const void *data, size_t length)
{
	Caraway__LedgerSnapshot *snapshot = NULL;
	cw_status_t status = unpack(data, length, &snapshot);

	if (!snapshot)
		return status;
	status = load_snapshot(ledger, snapshot);
	cw_message_free(snapshot);
	return status;
}
