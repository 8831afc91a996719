/* Accepting updates (News messages) from a parent: each is fully validated before any of it is applied. */
#include "feed_internal.h"

/* State of the validation of one update: what the records validated so far would stage or remove. */
typedef struct {
	const cw_feed_t *feed;
	GHashTable *changed; /* number -> uint64_t * digest when staged, NULL when removed */
} validation_t;

/* Returns the staged digest of a change after the records validated so far; NULL when it is not staged. */
static const uint64_t *find_staged_digest(const validation_t *validation, const uint64_t *number)
{
	const feed_staged_t *staged;
	void *digest;

	if (g_hash_table_lookup_extended(validation->changed, number, NULL, &digest))
		return digest;
	staged = g_hash_table_lookup(validation->feed->staged, number);
	return staged ? &staged->digest : NULL;
}

/* Checks the content of a stage record. */
static cw_status_t check_stage(validation_t *validation, Caraway__StageRecord *stage)
{
	cw_status_t status = cw_feed_check_stage(stage);

	if (status == CW_OK)
		g_hash_table_insert(validation->changed, &stage->number, &stage->digest);
	return status;
}

/* Checks that the change to activate is staged, with the digest in the record. */
static cw_status_t check_activate(validation_t *validation, Caraway__ActivateRecord *activate)
{
	const uint64_t *digest = find_staged_digest(validation, &activate->number);

	if (!digest)
		return cw_fail(CW_ERR_DAMAGED, "change %" G_GUINT64_FORMAT " to activate is not staged",
			       activate->number);
	if (*digest != activate->digest)
		return cw_fail(CW_ERR_DAMAGED,
			       "change %" G_GUINT64_FORMAT " to activate is staged with another digest",
			       activate->number);
	g_hash_table_insert(validation->changed, &activate->number, NULL);
	return CW_OK;
}

/* Checks the body of a record, and its version against that of the record before it. */
static cw_status_t check_body(validation_t *validation, const Caraway__FeedRecord *record, uint64_t version)
{
	bool raises_version = record->body_case == CARAWAY__FEED_RECORD__BODY_ACTIVATE ||
			      record->body_case == CARAWAY__FEED_RECORD__BODY_VM;

	if (record->version != version + (raises_version ? 1 : 0))
		return cw_fail(CW_ERR_DAMAGED,
			       "record %" G_GUINT64_FORMAT " has unexpected version %" G_GUINT64_FORMAT,
			       record->index, record->version);
	switch (record->body_case) {
	case CARAWAY__FEED_RECORD__BODY_STAGE:
		return check_stage(validation, record->stage);
	case CARAWAY__FEED_RECORD__BODY_ACTIVATE:
		return check_activate(validation, record->activate);
	case CARAWAY__FEED_RECORD__BODY_DROP:
		g_hash_table_insert(validation->changed, &record->drop->number, NULL);
		return CW_OK;
	case CARAWAY__FEED_RECORD__BODY_VM:
		if (record->vm->vm && !cw_vm_check(record->vm->vm))
			return CW_OK;
		return cw_fail(CW_ERR_DAMAGED, "record %" G_GUINT64_FORMAT " has no valid VM", record->index);
	default:
		return cw_fail(CW_ERR_DAMAGED, "record %" G_GUINT64_FORMAT " has an unknown type",
			       record->index);
	}
}

/* Validates the records of an update from the first new one on; changes nothing. */
static cw_status_t check_records(const cw_feed_t *feed, const Caraway__News *update, size_t first)
{
	validation_t validation = {feed, g_hash_table_new(g_int64_hash, g_int64_equal)};
	uint64_t index = feed->index;
	uint64_t chain = feed->chain;
	uint64_t version = feed->version;
	cw_status_t status = CW_OK;

	for (size_t i = first; i < update->n_records && status == CW_OK; i++) {
		const Caraway__FeedRecord *record = update->records[i];

		if (record->index != index + 1)
			status = cw_fail(CW_ERR_POSITION,
					 "record %" G_GUINT64_FORMAT " does not follow %" G_GUINT64_FORMAT,
					 record->index, index);
		else if (record->chain != cw_feed_record_chain(record, chain))
			status = cw_fail(CW_ERR_DAMAGED,
					 "record %" G_GUINT64_FORMAT " does not match its chain value",
					 record->index);
		else
			status = check_body(&validation, record, version);
		index = record->index;
		chain = record->chain;
		version = record->version;
	}
	g_hash_table_unref(validation.changed);
	return status;
}

/* Applies the records of an update that the feed does not have yet, all or none. */
static cw_status_t accept_records(cw_feed_t *feed, const Caraway__News *update)
{
	size_t first = 0;
	cw_status_t status;

	while (first < update->n_records && update->records[first]->index <= feed->index)
		first++;
	status = check_records(feed, update, first);
	for (size_t i = first; status == CW_OK && i < update->n_records; i++)
		cw_feed_apply(feed, update->records[i]);
	return status;
}

/* Applies the compressed records of an update, as accept_records() does. */
static cw_status_t accept_packed(cw_feed_t *feed, const Caraway__News *update)
{
	Caraway__News *unpacked = cw_message_decompress(&caraway__news__descriptor, &update->records_packed);
	cw_status_t status;

	if (!unpacked)
		return CW_ERR_DAMAGED;
	status = accept_records(feed, unpacked);
	cw_message_free(unpacked);
	return status;
}

/*
 * Applies a whole update or nothing of it.  Records that the feed already has
 * are skipped.  CW_ERR_POSITION: the records do not follow the feed's last
 * one; CW_ERR_DAMAGED: a chain value, digest, version or record body is not
 * valid; CW_ERR_STALE: the snapshot is not newer than the feed.
 */
cw_status_t cw_feed_apply_update(cw_feed_t *feed, const Caraway__News *update)
{
	if (update->snapshot.len)
		return cw_feed_apply_snapshot(feed, update);
	if (update->records_packed.len)
		return accept_packed(feed, update);
	return accept_records(feed, update);
}
