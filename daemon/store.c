/* The data folder of a control replica. */
#include "store_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

enum { FOLDER_MODE = 0700, FILE_MODE = 0600, FIRST_GENERATION = 1 };

#define IDENTITY_FILE "identity"
#define TERM_FILE     "term"
#define SNAPSHOT_FILE "snapshot"
#define LOCK_FILE     "lock"

/* Content of the identity file. */
typedef struct {
	uint64_t incarnation;
} identity_t;

/* Content of the term file. */
typedef struct {
	uint64_t term;
	uint64_t voted_id;
	uint64_t voted_incarnation;
} saved_term_t;

/* First record of the snapshot file; the second holds the membership, the third the application state. */
typedef struct {
	uint64_t index;
	uint64_t term;
	uint64_t generation;
} snapshot_header_t;

/* Opens the folder, creating it if needed, and locks it against other processes. */
static cw_status_t open_folder(store_t *store, const char *folder)
{
	if (g_mkdir_with_parents(folder, FOLDER_MODE))
		return store_errno_status(folder);
	store->folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (store->folder_fd < 0)
		return cw_fail(CW_ERR_IO, "%s: %s", folder, strerror(errno));
	store->lock_fd = openat(store->folder_fd, LOCK_FILE, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
	if (store->lock_fd < 0)
		return store_errno_status(LOCK_FILE);
	if (flock(store->lock_fd, LOCK_EX | LOCK_NB))
		return cw_fail(CW_ERR_STATE, "%s: in use by another process", folder);
	return CW_OK;
}

/* Writes a file that consists of one record. */
static cw_status_t write_record_file(store_t *store, const char *name, const void *data, size_t length)
{
	GByteArray *content = g_byte_array_new();
	cw_status_t status;

	store_encode_record(content, data, length);
	status = store_replace_file(store->ops, store->folder_fd, name, content);
	g_byte_array_free(content, TRUE);
	return status;
}

/*
 * Reads a file that consists of one record of known length.  An incomplete
 * record counts as damaged, since these files are replaced atomically.
 */
static cw_status_t read_record_file(store_t *store, const char *name, void *record, size_t expected_length)
{
	GByteArray *content;
	const uint8_t *data;
	size_t offset = 0;
	size_t length;
	cw_status_t status = store_read_file(store->folder_fd, name, &content);

	if (status != CW_OK)
		return status;
	if (store_decode_record(content, &offset, &data, &length) != STORE_RECORD_OK ||
	    length != expected_length || offset != content->len)
		status = cw_fail(CW_ERR_DAMAGED, "%s: damaged record", name);
	else
		memcpy(record, data, length);
	g_byte_array_free(content, TRUE);
	return status;
}

/* Writes the snapshot file; replacing it also switches to the log file of the generation in its header. */
static cw_status_t write_snapshot_file(store_t *store, const snapshot_header_t *header,
				       const Caraway__Membership *membership, const void *data, size_t length)
{
	GByteArray *content = g_byte_array_new();
	GBytes *packed = cw_message_pack(&membership->base);
	gsize packed_length;
	const void *packed_data = g_bytes_get_data(packed, &packed_length);
	cw_status_t status;

	store_encode_record(content, header, sizeof(*header));
	store_encode_record(content, packed_data, packed_length);
	store_encode_record(content, data, length);
	status = store_replace_file(store->ops, store->folder_fd, SNAPSHOT_FILE, content);
	g_bytes_unref(packed);
	g_byte_array_free(content, TRUE);
	return status;
}

/* Parses the three records of a snapshot file; false when one is damaged. */
static bool parse_snapshot(const GByteArray *content, snapshot_header_t *header,
			   Caraway__Membership **membership, GBytes **state)
{
	const uint8_t *data;
	size_t offset = 0;
	size_t length;

	if (store_decode_record(content, &offset, &data, &length) != STORE_RECORD_OK ||
	    length != sizeof(*header))
		return false;
	memcpy(header, data, sizeof(*header));
	if (store_decode_record(content, &offset, &data, &length) != STORE_RECORD_OK)
		return false;
	*membership = caraway__membership__unpack(NULL, length, data);
	if (!*membership || store_decode_record(content, &offset, &data, &length) != STORE_RECORD_OK ||
	    offset != content->len)
		return false;
	*state = header->index ? g_bytes_new(data, length) : NULL;
	return true;
}

/* Reads the snapshot file; fills the snapshot fields of store and stored. */
static cw_status_t read_snapshot_file(store_t *store, cw_raft_stored_t *stored)
{
	GByteArray *content;
	snapshot_header_t header;
	cw_status_t status = store_read_file(store->folder_fd, SNAPSHOT_FILE, &content);

	if (status != CW_OK)
		return status;
	if (parse_snapshot(content, &header, &stored->membership, &stored->snapshot)) {
		store->snapshot_index = stored->snapshot_index = header.index;
		store->snapshot_term = stored->snapshot_term = header.term;
		store->generation = header.generation;
	} else {
		status = cw_fail(CW_ERR_DAMAGED, "%s: damaged record", SNAPSHOT_FILE);
	}
	g_byte_array_free(content, TRUE);
	return status;
}

/* Removes files left over from a crash: incomplete files and log files of other generations. */
static void remove_leftovers(store_t *store, const char *folder)
{
	char *log_name = store_log_name(store->generation);
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".new") ||
		    (g_str_has_prefix(name, "log-") && strcmp(name, log_name) != 0))
			unlinkat(store->folder_fd, name, 0);
	if (dir)
		g_dir_close(dir);
	g_free(log_name);
}

/* Syncs the parent, so that the directory entry of the data folder survives a crash. */
static cw_status_t sync_parent(store_t *store)
{
	int fd = openat(store->folder_fd, "..", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	cw_status_t status;

	if (fd < 0)
		return cw_fail(CW_ERR_IO, "cannot open the parent of the data folder: %s", strerror(errno));
	status = store_sync(store->ops, fd);
	close(fd);
	return status;
}

/*
 * Writes the initial state of a data folder.  The identity file comes last:
 * without it the folder counts as empty, so that a crash in between is harmless.
 */
static cw_status_t write_initial_state(store_t *store, uint64_t incarnation,
				       const Caraway__Membership *membership)
{
	GByteArray *empty_log = g_byte_array_new();
	char *log_name = store_log_name(FIRST_GENERATION);
	saved_term_t term = {0};
	identity_t identity = {incarnation};
	snapshot_header_t header = {.generation = FIRST_GENERATION};
	cw_status_t status = sync_parent(store);

	if (status == CW_OK)
		status = store_replace_file(store->ops, store->folder_fd, log_name, empty_log);
	if (status == CW_OK)
		status = write_record_file(store, TERM_FILE, &term, sizeof(term));
	if (status == CW_OK)
		status = write_snapshot_file(store, &header, membership, "", 0);
	if (status == CW_OK)
		status = write_record_file(store, IDENTITY_FILE, &identity, sizeof(identity));
	g_byte_array_free(empty_log, TRUE);
	g_free(log_name);
	return status;
}

/* Generates the random incarnation of an empty folder; never 0. */
static cw_status_t generate_incarnation(uint64_t *incarnation)
{
	do {
		if (getrandom(incarnation, sizeof(*incarnation), 0) != sizeof(*incarnation))
			return cw_fail(CW_ERR_IO, "cannot get random bytes: %s", strerror(errno));
	} while (!*incarnation);
	return CW_OK;
}

/* Reads the incarnation; an empty folder is initialized with a new one. */
static cw_status_t load_identity(store_t *store)
{
	static const Caraway__Membership no_members = CARAWAY__MEMBERSHIP__INIT;
	identity_t identity = {0};
	cw_status_t status = read_record_file(store, IDENTITY_FILE, &identity, sizeof(identity));

	if (status == CW_ERR_NOT_FOUND) {
		status = generate_incarnation(&identity.incarnation);
		if (status == CW_OK)
			status = write_initial_state(store, identity.incarnation, &no_members);
	}
	store->incarnation = identity.incarnation;
	return status;
}

/* Loads the state that the Raft replica starts from. */
static cw_status_t load_state(store_t *store, const char *folder, cw_raft_stored_t *stored)
{
	saved_term_t term = {0};
	cw_status_t status = load_identity(store);

	if (status == CW_OK)
		status = read_record_file(store, TERM_FILE, &term, sizeof(term));
	if (status == CW_OK)
		status = read_snapshot_file(store, stored);
	if (status == CW_ERR_NOT_FOUND)
		status = cw_fail(CW_ERR_DAMAGED, "%s: identity file without term or snapshot file", folder);
	stored->term = term.term;
	stored->voted_id = (uint32_t)term.voted_id;
	stored->voted_incarnation = term.voted_incarnation;
	if (status != CW_OK)
		return status;
	status = store_log_load(store, &stored->entries);
	if (status == CW_OK)
		remove_leftovers(store, folder);
	return status;
}

/* Allocates a store whose data folder is not open yet. */
static store_t *store_new(const store_ops_t *ops)
{
	store_t *store = g_new0(store_t, 1);

	store->ops = ops;
	store->folder_fd = -1;
	store->lock_fd = -1;
	store->log.fd = -1;
	return store;
}

/* Opens a data folder like store_open(), with the given system calls. */
cw_status_t store_open_with_ops(const char *folder, const store_ops_t *ops, store_t **store,
				cw_raft_stored_t *stored, GBytes **snapshot)
{
	cw_status_t status;

	*store = store_new(ops);
	*stored = (cw_raft_stored_t){0};
	*snapshot = NULL;
	status = open_folder(*store, folder);
	if (status == CW_OK)
		status = load_state(*store, folder, stored);
	if (status != CW_OK) {
		store_close(*store);
		store_clear_raft_state(stored);
		*store = NULL;
		return status;
	}
	if (stored->snapshot)
		*snapshot = g_bytes_ref(stored->snapshot);
	return CW_OK;
}

cw_status_t store_open(const char *folder, store_t **store, cw_raft_stored_t *stored, GBytes **snapshot)
{
	return store_open_with_ops(folder, &store_system_ops, store, stored, snapshot);
}

/* Closes the data folder, which unlocks it; NULL is allowed. */
void store_close(store_t *store)
{
	if (!store)
		return;
	store_log_close(&store->log);
	if (store->lock_fd >= 0)
		close(store->lock_fd);
	if (store->folder_fd >= 0)
		close(store->folder_fd);
	g_free(store);
}

void store_clear_raft_state(cw_raft_stored_t *stored)
{
	cw_message_free(stored->membership);
	if (stored->entries)
		g_ptr_array_free(stored->entries, TRUE);
	if (stored->snapshot)
		g_bytes_unref(stored->snapshot);
	*stored = (cw_raft_stored_t){0};
}

/* Returns the incarnation of the data folder. */
uint64_t store_incarnation(const store_t *store)
{
	return store->incarnation;
}

cw_status_t store_format(const char *folder, uint64_t incarnation, const Caraway__Membership *membership)
{
	store_t *store = store_new(&store_system_ops);
	identity_t identity;
	cw_status_t status = open_folder(store, folder);

	if (status == CW_OK)
		status = read_record_file(store, IDENTITY_FILE, &identity, sizeof(identity));
	if (status == CW_OK)
		status = cw_fail(CW_ERR_STATE, "%s: already holds the state of a replica", folder);
	else if (status == CW_ERR_NOT_FOUND)
		status = write_initial_state(store, incarnation, membership);
	store_close(store);
	return status;
}

/*
 * Records the first failed write, after which check_usable() refuses every
 * other, since what is on the disk is unknown; returns status.
 */
static cw_status_t record_failure(store_t *store, cw_status_t status)
{
	if (status != CW_OK && store->failure == CW_OK)
		store->failure = status;
	return status;
}

/* Returns CW_OK, or the status of the first failure, after which every write is refused. */
static cw_status_t check_usable(const store_t *store)
{
	if (store->failure == CW_OK)
		return CW_OK;
	return cw_fail(store->failure, "an earlier write to the data folder failed");
}

cw_status_t store_save_term(store_t *store, uint64_t term, uint32_t voted_id, uint64_t voted_incarnation)
{
	saved_term_t record = {term, voted_id, voted_incarnation};
	cw_status_t status = check_usable(store);

	if (status != CW_OK)
		return status;
	return record_failure(store, write_record_file(store, TERM_FILE, &record, sizeof(record)));
}

cw_status_t store_save_incarnation(store_t *store, uint64_t incarnation)
{
	identity_t record = {incarnation};
	cw_status_t status = check_usable(store);

	if (status != CW_OK)
		return status;
	status = write_record_file(store, IDENTITY_FILE, &record, sizeof(record));
	if (status == CW_OK)
		store->incarnation = incarnation;
	return record_failure(store, status);
}

cw_status_t store_append_entries(store_t *store, const GPtrArray *entries)
{
	cw_status_t status = check_usable(store);

	if (status != CW_OK || !entries->len)
		return status;
	return record_failure(store, store_log_append(store, entries));
}

/*
 * Writes the log file of the next generation, then the snapshot file that
 * switches to it, then removes the log file of the previous generation.
 */
static cw_status_t replace_snapshot(store_t *store, const snapshot_header_t *header,
				    const Caraway__Membership *membership, const void *data, size_t length,
				    bool keep_later_entries)
{
	char *old_log_name = store_log_name(store->generation);
	uint64_t end_index = store->log.first_index + store->log.offsets->len;
	uint64_t first_index = keep_later_entries ? header->index + 1 : MAX(end_index, header->index + 1);
	cw_status_t status = store_log_rewrite(store, header->generation, first_index);

	if (status == CW_OK)
		status = write_snapshot_file(store, header, membership, data, length);
	if (status == CW_OK) {
		store->log.first_index = header->index + 1;
		store->snapshot_index = header->index;
		store->snapshot_term = header->term;
		unlinkat(store->folder_fd, old_log_name, 0);
	}
	g_free(old_log_name);
	return status;
}

cw_status_t store_save_snapshot(store_t *store, uint64_t index, uint64_t term,
				const Caraway__Membership *membership, const void *data, size_t length,
				bool keep_later_entries)
{
	snapshot_header_t header = {index, term, store->generation + 1};
	cw_status_t status = check_usable(store);

	if (status != CW_OK)
		return status;
	if (index < store->snapshot_index)
		return cw_fail(CW_ERR_STALE, "the data folder holds a newer snapshot");
	return record_failure(store,
			      replace_snapshot(store, &header, membership, data, length, keep_later_entries));
}
