/* The log file of the store: append, removal from a conflicting entry on, rewriting after a snapshot. */
#include "store_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Returns the name of the log file of a generation. */
char *store_log_name(uint64_t generation)
{
	return g_strdup_printf("log-%" G_GUINT64_FORMAT, generation);
}

/* Closes the log file and frees its name and offsets. */
void store_log_close(store_log_t *log)
{
	if (log->fd >= 0)
		close(log->fd);
	log->fd = -1;
	g_free(log->name);
	log->name = NULL;
	if (log->offsets)
		g_array_free(log->offsets, TRUE);
	log->offsets = NULL;
}

/* Decodes a record as an entry; NULL when that fails or the entry does not follow the preceding ones. */
static Caraway__Entry *decode_entry(const uint8_t *data, size_t length, const GPtrArray *preceding)
{
	Caraway__Entry *entry = caraway__entry__unpack(NULL, length, data);
	const Caraway__Entry *last;

	if (!entry || !preceding->len)
		return entry;
	last = g_ptr_array_index(preceding, preceding->len - 1);
	if (entry->index == last->index + 1 && entry->term >= last->term)
		return entry;
	cw_message_free(entry);
	return NULL;
}

/* Decodes the entries of a log file; an incomplete record at the end is ignored. */
static cw_status_t decode_entries(const char *name, const GByteArray *content, GPtrArray *entries)
{
	size_t offset = 0;
	const uint8_t *data;
	size_t length;

	for (;;) {
		store_record_result_t result = store_decode_record(content, &offset, &data, &length);
		Caraway__Entry *entry;

		if (result == STORE_RECORD_END || result == STORE_RECORD_TORN)
			return CW_OK;
		entry = result == STORE_RECORD_OK ? decode_entry(data, length, entries) : NULL;
		if (!entry)
			return cw_fail(CW_ERR_DAMAGED, "%s: damaged record at byte %zu", name, offset);
		g_ptr_array_add(entries, entry);
	}
}

/* Removes the entries that the snapshot covers; CW_ERR_DAMAGED when the rest does not follow the snapshot. */
static cw_status_t remove_snapshotted_entries(const store_t *store, GPtrArray *entries)
{
	const Caraway__Entry *first = NULL;
	guint covered = 0;

	while (covered < entries->len) {
		first = g_ptr_array_index(entries, covered);
		if (first->index > store->snapshot_index)
			break;
		covered++;
	}
	if (covered)
		g_ptr_array_remove_range(entries, 0, covered);
	if (!entries->len || first->index == store->snapshot_index + 1)
		return CW_OK;
	return cw_fail(CW_ERR_DAMAGED, "%s: the entries that follow the snapshot are missing",
		       store->log.name);
}

/* Appends the record of an entry to out, and its offset in the file, where out begins at base_offset. */
static void encode_entry(GByteArray *out, GArray *offsets, uint64_t base_offset, const Caraway__Entry *entry)
{
	uint64_t offset = base_offset + out->len;
	GBytes *packed = cw_message_pack(&entry->base);
	gsize length;
	const void *data = g_bytes_get_data(packed, &length);

	g_array_append_val(offsets, offset);
	store_encode_record(out, data, length);
	g_bytes_unref(packed);
}

/* Makes the log file of a generation, which has been synced, the current one; takes ownership of offsets. */
static cw_status_t open_log(store_t *store, uint64_t generation, GArray *offsets, uint64_t first_index,
			    uint64_t length)
{
	char *name = store_log_name(generation);
	int fd = openat(store->folder_fd, name, O_RDWR | O_CLOEXEC);

	if (fd < 0) {
		cw_status_t status = cw_fail(CW_ERR_IO, "%s: %s", name, strerror(errno));

		g_array_free(offsets, TRUE);
		g_free(name);
		return status;
	}
	store_log_close(&store->log);
	store->log = (store_log_t){fd, name, first_index, offsets, length};
	store->generation = generation;
	return CW_OK;
}

/* Writes the log file of a generation with the given entries and opens it. */
static cw_status_t write_log(store_t *store, uint64_t generation, const GPtrArray *entries)
{
	GByteArray *content = g_byte_array_new();
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	char *name = store_log_name(generation);
	uint64_t length;
	cw_status_t status;

	for (guint i = 0; i < entries->len; i++)
		encode_entry(content, offsets, 0, g_ptr_array_index(entries, i));
	status = store_replace_file(store->ops, store->folder_fd, name, content);
	length = content->len;
	g_byte_array_free(content, TRUE);
	g_free(name);
	if (status != CW_OK) {
		g_array_free(offsets, TRUE);
		return status;
	}
	return open_log(store, generation, offsets, store->snapshot_index + 1, length);
}

/*
 * Loads the log file of the snapshot's generation.  The entries are rewritten
 * and synced before they are returned: after a failed sync, the page cache may
 * hold data that is not on the disk.
 */
cw_status_t store_log_load(store_t *store, GPtrArray **entries)
{
	char *name = store_log_name(store->generation);
	GByteArray *content;
	cw_status_t status = store_read_file(store->folder_fd, name, &content);

	*entries = g_ptr_array_new_with_free_func(cw_message_free);
	if (status == CW_OK) {
		status = decode_entries(name, content, *entries);
		g_byte_array_free(content, TRUE);
	} else if (status == CW_ERR_NOT_FOUND) {
		status = cw_fail(CW_ERR_DAMAGED, "%s: the log file is missing", name);
	}
	g_free(name);
	if (status == CW_OK)
		status = remove_snapshotted_entries(store, *entries);
	if (status == CW_OK)
		status = write_log(store, store->generation, *entries);
	return status;
}

/*
 * Removes the records from index on and syncs, so that after a crash no removed
 * record follows one written later.
 */
static cw_status_t truncate_log(store_t *store, uint64_t index)
{
	store_log_t *log = &store->log;
	uint64_t position = index - log->first_index;

	if (position == log->offsets->len)
		return CW_OK;
	log->length = g_array_index(log->offsets, uint64_t, position);
	g_array_set_size(log->offsets, (guint)position);
	if (store->ops->truncate(log->fd, (off_t)log->length))
		return cw_fail(CW_ERR_IO, "%s: truncate: %s", log->name, strerror(errno));
	return store_sync(store->ops, log->fd);
}

/* Removes the records from the index of the first entry on, appends the entries and syncs. */
cw_status_t store_log_append(store_t *store, const GPtrArray *entries)
{
	store_log_t *log = &store->log;
	const Caraway__Entry *first = g_ptr_array_index(entries, 0);
	GByteArray *content;
	cw_status_t status;

	if (first->index < log->first_index || first->index > log->first_index + log->offsets->len)
		return cw_fail(CW_ERR_INTERNAL, "entry %" G_GUINT64_FORMAT " is not adjacent to the log",
			       first->index);
	status = truncate_log(store, first->index);
	if (status != CW_OK)
		return status;
	content = g_byte_array_new();
	for (guint i = 0; i < entries->len; i++)
		encode_entry(content, log->offsets, log->length, g_ptr_array_index(entries, i));
	if (lseek(log->fd, (off_t)log->length, SEEK_SET) < 0)
		status = cw_fail(CW_ERR_IO, "%s: seek: %s", log->name, strerror(errno));
	if (status == CW_OK)
		status = store_write(store->ops, log->fd, content->data, content->len);
	if (status == CW_OK)
		status = store_sync(store->ops, log->fd);
	log->length += content->len;
	g_byte_array_free(content, TRUE);
	return status;
}

/*
 * Copies the records from first_index on to the log file of a new generation
 * and opens it.  It takes effect on disk when the caller writes the snapshot
 * file of that generation.
 */
cw_status_t store_log_rewrite(store_t *store, uint64_t generation, uint64_t first_index)
{
	store_log_t *log = &store->log;
	uint64_t position = MIN(first_index - log->first_index, log->offsets->len);
	uint64_t start_offset =
		position < log->offsets->len ? g_array_index(log->offsets, uint64_t, position) : log->length;
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	char *name = store_log_name(generation);
	GByteArray *content;
	cw_status_t status = store_read_file(store->folder_fd, log->name, &content);

	if (status == CW_OK) {
		g_byte_array_remove_range(content, 0, (guint)start_offset);
		status = store_replace_file(store->ops, store->folder_fd, name, content);
		g_byte_array_free(content, TRUE);
	}
	g_free(name);
	for (uint64_t i = position; i < log->offsets->len; i++) {
		uint64_t offset = g_array_index(log->offsets, uint64_t, i) - start_offset;

		g_array_append_val(offsets, offset);
	}
	if (status != CW_OK) {
		g_array_free(offsets, TRUE);
		return status;
	}
	return open_log(store, generation, offsets, first_index, log->length - start_offset);
}
