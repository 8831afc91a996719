/* Shared by the files of the store. */
#ifndef STORE_INTERNAL_H
#define STORE_INTERNAL_H

#include "store.h"

#include <sys/types.h>

/* The system calls that can fail on a bad disk; replaced in tests of failures. */
typedef struct {
	ssize_t (*write)(int fd, const void *data, size_t length);
	int (*sync)(int fd);
	int (*truncate)(int fd, off_t length);
	int (*rename)(int folder_fd, const char *from, const char *to);
} store_ops_t;

extern const store_ops_t store_system_ops;

/* The log file: one framed record per entry. */
typedef struct {
	int fd;
	char *name;
	uint64_t first_index; /* of the first record, or of the next one */
	GArray *offsets;      /* uint64_t, of each record */
	uint64_t length;      /* bytes */
} store_log_t;

struct store {
	const store_ops_t *ops;
	int folder_fd;
	int lock_fd;
	uint64_t incarnation;
	uint64_t generation; /* of the log file that goes with the snapshot */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	store_log_t log;
	cw_status_t failure; /* CW_OK, or why everything is refused */
};

/* store_file.c */
cw_status_t store_write(const store_ops_t *ops, int fd, const void *data, size_t length);
cw_status_t store_sync(const store_ops_t *ops, int fd);
cw_status_t store_put_file(const store_ops_t *ops, int folder_fd, const char *name,
			   const GByteArray *content);
cw_status_t store_read_file(int folder_fd, const char *name, GByteArray **content);
void store_frame(GByteArray *out, const void *data, size_t length);

typedef enum { STORE_FRAME_OK, STORE_FRAME_END, STORE_FRAME_TORN, STORE_FRAME_DAMAGED } store_frame_t;

store_frame_t store_next_frame(const GByteArray *content, size_t *offset, const uint8_t **data,
			       size_t *length);

/* store_log.c */
char *store_log_name(uint64_t generation);
cw_status_t store_log_load(store_t *store, GPtrArray **entries);
cw_status_t store_log_append(store_t *store, const GPtrArray *entries);
cw_status_t store_log_rewrite(store_t *store, uint64_t generation, uint64_t first_index);
void store_log_close(store_log_t *log);

/* store.c; exported for the tests of failures. */
cw_status_t store_open_with_ops(const char *folder, const store_ops_t *ops, store_t **store,
				cw_raft_stored_t *stored, GBytes **snapshot);

#endif
