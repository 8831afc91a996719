/* Declarations shared by the source files of the store. */
#ifndef STORE_INTERNAL_H
#define STORE_INTERNAL_H

#include "store.h"

#include <sys/types.h>

/* System calls that can fail on a faulty or full disk; tests replace them to inject errors. */
typedef struct {
	ssize_t (*write)(int fd, const void *data, size_t length);
	int (*sync)(int fd);
	int (*truncate)(int fd, off_t length);
	int (*rename)(int folder_fd, const char *from, const char *to);
} store_ops_t;

extern const store_ops_t store_system_ops;

/* The log file: one record per entry. */
typedef struct {
	int fd;
	char *name;	      /* within the data folder */
	uint64_t first_index; /* of the first record; of the next one when the log is empty */
	GArray *offsets;      /* uint64_t: byte offset of each record in the file */
	uint64_t length;      /* bytes */
} store_log_t;

struct store {
	const store_ops_t *ops;
	int folder_fd;
	int lock_fd; /* of the lock file, locked while the folder is open */
	uint64_t incarnation;
	uint64_t generation; /* number in the name of the current log file; the snapshot file refers to it */
	uint64_t snapshot_index; /* of the last entry that the snapshot covers; 0: no snapshot */
	uint64_t snapshot_term;	 /* of that entry */
	store_log_t log;
	cw_status_t failure; /* of the first failed write, returned by all later ones; CW_OK: none */
};

/* store_file.c */
cw_status_t store_errno_status(const char *operation);
cw_status_t store_write(const store_ops_t *ops, int fd, const void *data, size_t length);
cw_status_t store_sync(const store_ops_t *ops, int fd);
cw_status_t store_replace_file(const store_ops_t *ops, int folder_fd, const char *name,
			       const GByteArray *content);
cw_status_t store_read_file(int folder_fd, const char *name, GByteArray **content);
void store_encode_record(GByteArray *out, const void *data, size_t length);

/* Result of store_decode_record(). */
typedef enum {
	STORE_RECORD_OK,
	STORE_RECORD_END,    /* there are no more bytes */
	STORE_RECORD_TORN,   /* the rest is an incomplete write */
	STORE_RECORD_DAMAGED /* a checksum does not match */
} store_record_result_t;

store_record_result_t store_decode_record(const GByteArray *content, size_t *offset, const uint8_t **data,
					  size_t *length);

/* store_log.c */
char *store_log_name(uint64_t generation);
cw_status_t store_log_load(store_t *store, GPtrArray **entries);
cw_status_t store_log_append(store_t *store, const GPtrArray *entries);
cw_status_t store_log_rewrite(store_t *store, uint64_t generation, uint64_t first_index);
void store_log_close(store_log_t *log);

/* store.c; exported for tests that inject errors. */
cw_status_t store_open_with_ops(const char *folder, const store_ops_t *ops, store_t **store,
				cw_raft_stored_t *stored, GBytes **snapshot);

#endif
