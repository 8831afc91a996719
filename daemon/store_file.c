/* Records with checksums, and atomic replacement of files. */
#include "store_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum { FILE_MODE = 0600, READ_BUFFER_BYTES = 64 * 1024 };

/* Precedes the data of each record.  header_hash covers the fields before it, to detect a damaged length. */
typedef struct {
	uint32_t length;
	uint32_t reserved;
	uint64_t data_hash;
	uint64_t header_hash;
} record_header_t;

enum { HASHED_HEADER_BYTES = offsetof(record_header_t, header_hash), HEADER_HASH_SEED = 1 };

/* Renames a file within a folder. */
static int rename_in_folder(int folder_fd, const char *from, const char *to)
{
	return renameat(folder_fd, from, folder_fd, to);
}

const store_ops_t store_system_ops = {write, fsync, ftruncate, rename_in_folder};

/* Returns the status for errno after a failed system call; operation names the call or the file. */
cw_status_t store_errno_status(const char *operation)
{
	cw_status_t status =
		errno == ENOSPC || errno == EDQUOT || errno == EFBIG ? CW_ERR_DISK_FULL : CW_ERR_IO;

	return cw_fail(status, "%s: %s", operation, strerror(errno));
}

/* Writes all bytes; CW_ERR_DISK_FULL or CW_ERR_IO on failure, when some bytes may have been written. */
cw_status_t store_write(const store_ops_t *ops, int fd, const void *data, size_t length)
{
	const uint8_t *next = data;

	while (length) {
		ssize_t written = ops->write(fd, next, length);

		if (written < 0 && errno == EINTR)
			continue;
		if (written < 0)
			return store_errno_status("write");
		if (written == 0)
			return cw_fail(CW_ERR_DISK_FULL, "write: no bytes were written");
		next += written;
		length -= (size_t)written;
	}
	return CW_OK;
}

/* Syncs a file or folder to disk; CW_ERR_IO, or CW_ERR_DISK_FULL when space ran out during write-back. */
cw_status_t store_sync(const store_ops_t *ops, int fd)
{
	if (ops->sync(fd))
		return store_errno_status("sync");
	return CW_OK;
}

/* Creates or truncates a file, writes its content and syncs it. */
static cw_status_t write_synced_file(const store_ops_t *ops, int folder_fd, const char *name,
				     const GByteArray *content)
{
	int fd = openat(folder_fd, name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
	cw_status_t status;

	if (fd < 0)
		return store_errno_status(name);
	status = store_write(ops, fd, content->data, content->len);
	if (status == CW_OK)
		status = store_sync(ops, fd);
	close(fd);
	return status;
}

/* Replaces a file atomically: after a crash it has either the old or the new content. */
cw_status_t store_replace_file(const store_ops_t *ops, int folder_fd, const char *name,
			       const GByteArray *content)
{
	char *temporary = g_strconcat(name, ".new", NULL);
	cw_status_t status = write_synced_file(ops, folder_fd, temporary, content);

	if (status == CW_OK && ops->rename(folder_fd, temporary, name))
		status = store_errno_status("rename");
	if (status == CW_OK)
		status = store_sync(ops, folder_fd);
	if (status != CW_OK)
		unlinkat(folder_fd, temporary, 0);
	g_free(temporary);
	return status;
}

/* Reads to the end of a file. */
static cw_status_t read_all(int fd, GByteArray *content)
{
	uint8_t *buffer = g_malloc(READ_BUFFER_BYTES);
	ssize_t bytes_read;

	do {
		bytes_read = read(fd, buffer, READ_BUFFER_BYTES);
		if (bytes_read > 0)
			g_byte_array_append(content, buffer, (guint)bytes_read);
	} while (bytes_read > 0 || (bytes_read < 0 && errno == EINTR));
	g_free(buffer);
	return bytes_read < 0 ? store_errno_status("read") : CW_OK;
}

/* Reads a whole file; CW_ERR_NOT_FOUND when there is none. */
cw_status_t store_read_file(int folder_fd, const char *name, GByteArray **content)
{
	int fd = openat(folder_fd, name, O_RDONLY | O_CLOEXEC);
	cw_status_t status;

	*content = NULL;
	if (fd < 0 && errno == ENOENT)
		return cw_fail(CW_ERR_NOT_FOUND, "%s: no such file", name);
	if (fd < 0)
		return store_errno_status(name);
	*content = g_byte_array_new();
	status = read_all(fd, *content);
	close(fd);
	if (status != CW_OK) {
		g_byte_array_free(*content, TRUE);
		*content = NULL;
	}
	return status;
}

/* Returns the hash of the fields before header_hash. */
static uint64_t hash_header(const record_header_t *header)
{
	return cw_hash(header, HASHED_HEADER_BYTES, HEADER_HASH_SEED);
}

/* Appends a record, header and data, to out. */
void store_encode_record(GByteArray *out, const void *data, size_t length)
{
	record_header_t header = {.length = (uint32_t)length, .data_hash = cw_hash(data, length, 0)};

	header.header_hash = hash_header(&header);
	g_byte_array_append(out, (const uint8_t *)&header, sizeof(header));
	g_byte_array_append(out, data, (guint)length);
}

/* Returns whether only zeros follow, as after a crash that kept the new file size but not the data. */
static bool only_zeros(const GByteArray *content, size_t offset)
{
	while (offset < content->len && !content->data[offset])
		offset++;
	return offset == content->len;
}

/*
 * Decodes the record at *offset and advances the offset past it.  TORN: the
 * write of the record was interrupted, so it was never reported as durable.
 * DAMAGED: the record was written completely and its bytes have changed since.
 */
store_record_result_t store_decode_record(const GByteArray *content, size_t *offset, const uint8_t **data,
					  size_t *length)
{
	size_t remaining = content->len - *offset;
	record_header_t header;

	if (!remaining)
		return STORE_RECORD_END;
	if (remaining < sizeof(header) || only_zeros(content, *offset))
		return STORE_RECORD_TORN;
	memcpy(&header, content->data + *offset, sizeof(header));
	if (header.header_hash != hash_header(&header))
		return STORE_RECORD_DAMAGED;
	if (remaining - sizeof(header) < header.length)
		return STORE_RECORD_TORN;
	*data = content->data + *offset + sizeof(header);
	*length = header.length;
	if (header.data_hash != cw_hash(*data, *length, 0))
		return STORE_RECORD_DAMAGED;
	*offset += sizeof(header) + header.length;
	return STORE_RECORD_OK;
}
