/*
 * The feed: ordered records that distribute the catalog from the control
 * replicas to every proxy.  Records are numbered without gaps and form a hash
 * chain: each carries a hash of itself and of the chain value before it.
 */
#include "feed_internal.h"

#include "catalog.h"

void cw_feed_drop_caches(const cw_feed_t *feed)
{
	if (feed->snapshot_cache->bytes)
		g_bytes_unref(feed->snapshot_cache->bytes);
	feed->snapshot_cache->bytes = NULL;
	if (feed->records_cache->bytes)
		g_bytes_unref(feed->records_cache->bytes);
	feed->records_cache->bytes = NULL;
}

/* Frees what a feed refers to, apart from the two cache structs. */
static void feed_clear(cw_feed_t *feed)
{
	cw_catalog_free(feed->catalog);
	g_ptr_array_unref(feed->records);
	g_array_unref(feed->chains);
	g_hash_table_unref(feed->staged);
	cw_feed_drop_caches(feed);
}

/* Frees staged content. */
static void staged_free(void *data)
{
	feed_staged_t *staged = data;

	g_bytes_unref(staged->content);
	g_free(staged);
}

GHashTable *cw_feed_staged_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, staged_free);
}

/* Adds packed content to a table, in place of any earlier one of its number; takes ownership of the bytes. */
static void put_packed(GHashTable *table, uint64_t number, uint64_t digest, GBytes *content)
{
	feed_staged_t *staged = g_new(feed_staged_t, 1);

	*staged = (feed_staged_t){.number = number, .digest = digest, .content = content};
	g_hash_table_replace(table, &staged->number, staged);
}

void cw_feed_staged_put(GHashTable *table, const Caraway__StageRecord *record)
{
	put_packed(table, record->number, record->digest, cw_message_pack(&record->content->base));
}

Caraway__Content *cw_feed_staged_content(const feed_staged_t *staged)
{
	gsize length;
	const void *data = g_bytes_get_data(staged->content, &length);

	return caraway__content__unpack(NULL, length, data);
}

/* Returns a copy of a change's staged content, freed with cw_message_free(); NULL when it is not staged. */
Caraway__Content *cw_feed_copy_staged_content(const cw_feed_t *feed, uint64_t number)
{
	const feed_staged_t *staged = g_hash_table_lookup(feed->staged, &number);

	return staged ? cw_feed_staged_content(staged) : NULL;
}

cw_status_t cw_feed_check_stage(const Caraway__StageRecord *record)
{
	if (!record->content)
		return cw_fail(CW_ERR_DAMAGED, "staged change %" G_GUINT64_FORMAT " has no content",
			       record->number);
	if (record->digest != cw_content_digest(record->content))
		return cw_fail(CW_ERR_DAMAGED,
			       "content of change %" G_GUINT64_FORMAT " does not match its digest",
			       record->number);
	if (cw_content_check(record->content))
		return cw_fail(CW_ERR_DAMAGED, "content of change %" G_GUINT64_FORMAT " is not valid",
			       record->number);
	return CW_OK;
}

/* Returns an empty feed that keeps at least the last keep_records records for its children. */
cw_feed_t *cw_feed_new(size_t keep_records)
{
	cw_feed_t *feed = g_new0(cw_feed_t, 1);

	feed->keep_records = keep_records;
	feed->catalog = cw_catalog_new();
	feed->records = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	feed->staged = cw_feed_staged_new();
	feed->chains = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	feed->snapshot_cache = g_new0(feed_snapshot_cache_t, 1);
	feed->records_cache = g_new0(feed_records_cache_t, 1);
	return feed;
}

/* Frees a feed; NULL is allowed. */
void cw_feed_free(cw_feed_t *feed)
{
	if (!feed)
		return;
	feed_clear(feed);
	g_free(feed->snapshot_cache);
	g_free(feed->records_cache);
	g_free(feed);
}

/* Returns the catalog as of the last record, borrowed; the next record changes or replaces it. */
const cw_catalog_t *cw_feed_catalog(const cw_feed_t *feed)
{
	return feed->catalog;
}

/* Returns the index of the last record; 0 for an empty feed. */
uint64_t cw_feed_index(const cw_feed_t *feed)
{
	return feed->index;
}

/* Returns the hash chain value of the last record; 0 for an empty feed. */
uint64_t cw_feed_chain(const cw_feed_t *feed)
{
	return feed->chain;
}

/* Returns the configuration version; each activation and VM record increments it. */
uint64_t cw_feed_version(const cw_feed_t *feed)
{
	return feed->version;
}

uint64_t cw_feed_record_chain(const Caraway__FeedRecord *record, uint64_t previous)
{
	Caraway__FeedRecord unchained = *record;
	GBytes *packed;
	gsize length;
	const void *data;
	uint64_t chain;

	unchained.chain = 0;
	packed = cw_message_pack(&unchained.base);
	data = g_bytes_get_data(packed, &length);
	chain = cw_hash(data, length, previous);
	g_bytes_unref(packed);
	return chain;
}

/* Removes the oldest records beyond keep_records. */
static void trim_records(cw_feed_t *feed)
{
	guint excess;

	/* Removing many at once keeps the cost of moving the remaining records small. */
	if (feed->records->len <= feed->keep_records + feed->keep_records / 4)
		return;
	excess = feed->records->len - (guint)feed->keep_records;
	feed->base_index += excess;
	feed->base_chain = g_array_index(feed->chains, uint64_t, excess - 1);
	g_ptr_array_remove_range(feed->records, 0, excess);
	g_array_remove_range(feed->chains, 0, excess);
}

/* Replaces the catalog by the one that was made of it for the record that is applied. */
static void take_checked_catalog(cw_feed_t *feed)
{
	cw_catalog_free(feed->catalog);
	feed->catalog = g_steal_pointer(&feed->checked_catalog);
	catalog_settle(feed->catalog);
}

/* Applies staged content to the catalog and removes it from the staged table. */
static void apply_activate(cw_feed_t *feed, uint64_t number, uint64_t version)
{
	if (feed->checked_catalog) {
		take_checked_catalog(feed);
	} else {
		Caraway__Content *content =
			cw_feed_staged_content(g_hash_table_lookup(feed->staged, &number));

		cw_catalog_apply(feed->catalog, content, number, version);
		cw_message_free(content);
	}
	g_hash_table_remove(feed->staged, &number);
}

void cw_feed_apply(cw_feed_t *feed, const Caraway__FeedRecord *record)
{
	switch (record->body_case) {
	case CARAWAY__FEED_RECORD__BODY_STAGE:
		if (feed->packed_content)
			put_packed(feed->staged, record->stage->number, record->stage->digest,
				   g_steal_pointer(&feed->packed_content));
		else
			cw_feed_staged_put(feed->staged, record->stage);
		break;
	case CARAWAY__FEED_RECORD__BODY_ACTIVATE:
		apply_activate(feed, record->activate->number, record->version);
		break;
	case CARAWAY__FEED_RECORD__BODY_DROP:
		g_hash_table_remove(feed->staged, &record->drop->number);
		break;
	case CARAWAY__FEED_RECORD__BODY_VM:
		cw_catalog_set_vm(feed->catalog, record->vm->vm, record->version);
		break;
	default:
		g_assert_not_reached();
	}
	feed->index = record->index;
	feed->chain = record->chain;
	feed->version = record->version;
	g_ptr_array_add(feed->records, cw_message_pack(&record->base));
	g_array_append_val(feed->chains, record->chain);
	trim_records(feed);
}

/* Sets index, version and chain value of a new record at the source, then applies it. */
static void append_record(cw_feed_t *feed, Caraway__FeedRecord *record, bool raises_version)
{
	record->index = feed->index + 1;
	record->version = feed->version + (raises_version ? 1 : 0);
	record->chain = cw_feed_record_chain(record, feed->chain);
	cw_feed_apply(feed, record);
}

/* Appends a record that stages the content of a change, to be activated later; returns the content's digest. */
uint64_t cw_feed_stage(cw_feed_t *feed, uint64_t number, const Caraway__Content *content)
{
	Caraway__FeedRecord record = CARAWAY__FEED_RECORD__INIT;
	Caraway__StageRecord stage = CARAWAY__STAGE_RECORD__INIT;
	gconstpointer data;
	gsize length;

	feed->packed_content = cw_message_pack(&content->base);
	data = g_bytes_get_data(feed->packed_content, &length);
	stage.number = number;
	stage.digest = cw_hash(data, length, 0);
	stage.content = (Caraway__Content *)content;
	record.body_case = CARAWAY__FEED_RECORD__BODY_STAGE;
	record.stage = &stage;
	append_record(feed, &record, false);
	return stage.digest;
}

/* Appends a record that activates a staged change; times are UTC ms.  CW_ERR_STATE when it is not staged. */
cw_status_t cw_feed_activate(cw_feed_t *feed, uint64_t number, int64_t due_ms, int64_t at_ms)
{
	Caraway__FeedRecord record = CARAWAY__FEED_RECORD__INIT;
	Caraway__ActivateRecord activate = CARAWAY__ACTIVATE_RECORD__INIT;
	const feed_staged_t *staged = g_hash_table_lookup(feed->staged, &number);

	if (!staged)
		return cw_fail(CW_ERR_STATE, "change %" G_GUINT64_FORMAT " is not staged", number);
	activate.number = number;
	activate.digest = staged->digest;
	activate.due_ms = due_ms;
	activate.at_ms = at_ms;
	record.body_case = CARAWAY__FEED_RECORD__BODY_ACTIVATE;
	record.activate = &activate;
	append_record(feed, &record, true);
	return CW_OK;
}

/*
 * Activates a staged change like cw_feed_activate(), given the catalog in force with
 * its content applied as of the next version; takes ownership of that catalog.
 */
void cw_feed_activate_checked(cw_feed_t *feed, uint64_t number, int64_t due_ms, int64_t at_ms,
			      cw_catalog_t *catalog)
{
	g_assert(cw_catalog_version(catalog) == feed->version + 1);
	feed->checked_catalog = catalog;
	if (cw_feed_activate(feed, number, due_ms, at_ms))
		g_error("change %" G_GUINT64_FORMAT " is not staged", number);
}

/* Appends a record that drops a staged change without activating it; does nothing when it is not staged. */
void cw_feed_drop(cw_feed_t *feed, uint64_t number)
{
	Caraway__FeedRecord record = CARAWAY__FEED_RECORD__INIT;
	Caraway__DropRecord drop = CARAWAY__DROP_RECORD__INIT;

	if (!g_hash_table_contains(feed->staged, &number))
		return;
	drop.number = number;
	record.body_case = CARAWAY__FEED_RECORD__BODY_DROP;
	record.drop = &drop;
	append_record(feed, &record, false);
}

/* Appends a record of a VM and its labels; this increments the configuration version. */
void cw_feed_set_vm(cw_feed_t *feed, const Caraway__Vm *vm)
{
	Caraway__FeedRecord record = CARAWAY__FEED_RECORD__INIT;
	Caraway__VmRecord vm_record = CARAWAY__VM_RECORD__INIT;

	vm_record.vm = (Caraway__Vm *)vm;
	record.body_case = CARAWAY__FEED_RECORD__BODY_VM;
	record.vm = &vm_record;
	append_record(feed, &record, true);
}
