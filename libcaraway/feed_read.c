/* Building updates (News messages) for children from the feed; saving, loading and applying its snapshots. */
#include "feed_internal.h"

#include <stdlib.h>
#include <string.h>

/* Records of more bytes are sent compressed, so that a child on a slow link gets a large change sooner. */
enum { MAX_UNCOMPRESSED_BYTES = 2048 };

/* Orders staged content by number. */
static gint compare_staged(gconstpointer a, gconstpointer b)
{
	const feed_staged_t *left = *(feed_staged_t *const *)a;
	const feed_staged_t *right = *(feed_staged_t *const *)b;

	return left->number < right->number ? -1 : left->number > right->number;
}

/* Returns the staged content of a feed (feed_staged_t *), borrowed, ordered by number. */
static GPtrArray *staged_by_number(const cw_feed_t *feed)
{
	GPtrArray *staged = g_ptr_array_new();
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, feed->staged);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		g_ptr_array_add(staged, data);
	g_ptr_array_sort(staged, compare_staged);
	return staged;
}

/* Returns a stage record with a copy of staged content. */
static Caraway__StageRecord *save_staged(const feed_staged_t *staged)
{
	Caraway__StageRecord *record = g_malloc(sizeof(*record));

	caraway__stage_record__init(record);
	record->number = staged->number;
	record->digest = staged->digest;
	record->content = cw_feed_staged_content(staged);
	return record;
}

/* Returns a snapshot of a feed's state, freed with cw_message_free(). */
Caraway__FeedSnapshot *cw_feed_save(const cw_feed_t *feed)
{
	Caraway__FeedSnapshot *saved = g_malloc(sizeof(*saved));
	GPtrArray *staged = staged_by_number(feed);

	caraway__feed_snapshot__init(saved);
	saved->index = feed->index;
	saved->chain = feed->chain;
	saved->catalog = cw_catalog_save(feed->catalog);
	saved->n_staged = staged->len;
	saved->staged = g_new0(Caraway__StageRecord *, staged->len);
	for (guint i = 0; i < staged->len; i++)
		saved->staged[i] = save_staged(g_ptr_array_index(staged, i));
	g_ptr_array_unref(staged);
	return saved;
}

/* Adds a snapshot's staged content to a table; CW_ERR_DAMAGED when any is invalid or has another digest. */
static cw_status_t load_staged(const Caraway__FeedSnapshot *saved, GHashTable *staged)
{
	cw_status_t status = CW_OK;

	for (size_t i = 0; i < saved->n_staged && status == CW_OK; i++) {
		status = cw_feed_check_stage(saved->staged[i]);
		if (status == CW_OK)
			cw_feed_staged_put(staged, saved->staged[i]);
	}
	return status;
}

/* Replaces the whole state of a feed by a snapshot; changes nothing when the snapshot is damaged. */
cw_status_t cw_feed_load(cw_feed_t *feed, const Caraway__FeedSnapshot *saved)
{
	cw_catalog_t *catalog = NULL;
	GHashTable *staged = cw_feed_staged_new();
	cw_status_t status = load_staged(saved, staged);

	if (status == CW_OK && !saved->catalog)
		status = cw_fail(CW_ERR_DAMAGED, "snapshot has no catalog");
	if (status == CW_OK)
		status = cw_catalog_load(saved->catalog, &catalog);
	if (status != CW_OK) {
		g_hash_table_unref(staged);
		return status;
	}
	cw_catalog_free(feed->catalog);
	g_hash_table_unref(feed->staged);
	g_ptr_array_set_size(feed->records, 0);
	g_array_set_size(feed->chains, 0);
	cw_feed_drop_caches(feed);
	feed->catalog = catalog;
	feed->staged = staged;
	feed->index = feed->base_index = saved->index;
	feed->chain = feed->base_chain = saved->chain;
	feed->version = cw_catalog_version(catalog);
	return CW_OK;
}

/* Returns the compressed snapshot of a feed, borrowed from the cache; made once for each index. */
static GBytes *cached_snapshot(const cw_feed_t *feed)
{
	feed_snapshot_cache_t *cache = feed->snapshot_cache;
	Caraway__FeedSnapshot *saved;

	if (cache->bytes && cache->index == feed->index)
		return cache->bytes;
	saved = cw_feed_save(feed);
	cw_feed_drop_caches(feed);
	cache->bytes = cw_message_compress(&saved->base);
	cache->index = feed->index;
	cw_message_free(saved);
	return cache->bytes;
}

/* Puts the compressed snapshot of a feed into an update. */
static void put_snapshot(const cw_feed_t *feed, Caraway__News *update)
{
	gsize length;
	const void *data = g_bytes_get_data(cached_snapshot(feed), &length);

	update->snapshot.data = g_memdup2(data, length);
	update->snapshot.len = length;
	update->snapshot_digest = cw_hash(data, length, 0);
}

/* Unpacks the kept record at an offset in the array of records. */
static Caraway__FeedRecord *record_at(const cw_feed_t *feed, guint offset)
{
	gsize length;
	const void *data = g_bytes_get_data(g_ptr_array_index(feed->records, offset), &length);

	return caraway__feed_record__unpack(NULL, length, data);
}

/* Returns the hash chain value at an index, which is base_index or that of a kept record. */
static uint64_t chain_at(const cw_feed_t *feed, uint64_t index)
{
	if (index == feed->base_index)
		return feed->base_chain;
	return g_array_index(feed->chains, uint64_t, index - feed->base_index - 1);
}

/* Puts the kept records of the offsets from first to before end into an update, uncompressed. */
static void put_records(const cw_feed_t *feed, guint first, guint end, Caraway__News *update)
{
	update->n_records = end - first;
	update->records = cw_message_array(end - first);
	for (guint i = first; i < end; i++)
		update->records[i - first] = record_at(feed, i);
}

/*
 * Returns the kept records of the offsets from first to before end, compressed,
 * borrowed from the cache; made once for all children at the same index.
 */
static GBytes *cached_records(const cw_feed_t *feed, guint first, guint end)
{
	feed_records_cache_t *cache = feed->records_cache;
	const uint64_t after = feed->base_index + first;
	const uint64_t last = feed->base_index + end;
	Caraway__News *update;

	if (cache->bytes && cache->after == after && cache->last == last)
		return cache->bytes;
	update = malloc(sizeof(*update));
	caraway__news__init(update);
	put_records(feed, first, end, update);
	if (cache->bytes)
		g_bytes_unref(cache->bytes);
	*cache = (feed_records_cache_t){
		.after = after, .last = last, .bytes = cw_message_compress(&update->base)};
	cw_message_free(update);
	return cache->bytes;
}

/* Puts the records after an index into an update: at least one, then as many as fit in max_bytes. */
static void put_records_after(const cw_feed_t *feed, uint64_t index, size_t max_bytes, Caraway__News *update)
{
	guint first = (guint)(index - feed->base_index);
	guint end = first;
	size_t bytes = 0;
	gconstpointer data;
	gsize length;

	while (end < feed->records->len) {
		bytes += g_bytes_get_size(g_ptr_array_index(feed->records, end));
		if (end > first && bytes > max_bytes)
			break;
		end++;
	}
	if (bytes <= MAX_UNCOMPRESSED_BYTES) {
		put_records(feed, first, end, update);
		return;
	}
	data = g_bytes_get_data(cached_records(feed, first, end), &length);
	update->records_packed.data = g_memdup2(data, length);
	update->records_packed.len = length;
}

/*
 * Fills an update for a child at an index: the records that follow while they
 * are kept, otherwise the whole snapshot.  The update stays empty for a child
 * at the end of the feed.  CW_ERR_POSITION when the child is ahead of this
 * feed, or its chain value at the index differs.
 */
cw_status_t cw_feed_fill_update(const cw_feed_t *feed, uint64_t index, uint64_t chain, size_t max_bytes,
				Caraway__News *update)
{
	if (index > feed->index)
		return cw_fail(CW_ERR_POSITION,
			       "the child is at record %" G_GUINT64_FORMAT ", ahead of %" G_GUINT64_FORMAT,
			       index, feed->index);
	if (index < feed->base_index) {
		put_snapshot(feed, update);
		return CW_OK;
	}
	if (chain != chain_at(feed, index))
		return cw_fail(CW_ERR_POSITION,
			       "the child has another chain value at record %" G_GUINT64_FORMAT, index);
	if (index < feed->index)
		put_records_after(feed, index, max_bytes, update);
	return CW_OK;
}

/* Unpacks the snapshot of an update; NULL, with the error message set, when it is damaged. */
static Caraway__FeedSnapshot *unpack_snapshot(const Caraway__News *update)
{
	if (cw_hash(update->snapshot.data, update->snapshot.len, 0) != update->snapshot_digest) {
		cw_fail(CW_ERR_DAMAGED, "snapshot does not match its digest");
		return NULL;
	}
	return cw_message_decompress(&caraway__feed_snapshot__descriptor, &update->snapshot);
}

cw_status_t cw_feed_apply_snapshot(cw_feed_t *feed, const Caraway__News *update)
{
	Caraway__FeedSnapshot *saved = unpack_snapshot(update);
	cw_status_t status;

	if (!saved)
		return CW_ERR_DAMAGED;
	if (saved->index <= feed->index)
		status = cw_fail(CW_ERR_STALE,
				 "snapshot index %" G_GUINT64_FORMAT " is not newer than %" G_GUINT64_FORMAT,
				 saved->index, feed->index);
	else if (saved->catalog && saved->catalog->version < feed->version)
		status = cw_fail(CW_ERR_STALE, "snapshot has an older version than the feed");
	else
		status = cw_feed_load(feed, saved);
	cw_message_free(saved);
	return status;
}
