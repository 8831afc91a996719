/* Framed records in files, and files replaced as a whole. */
#include "store_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum { FILE_MODE = 0600, READ_BYTES = 64 * 1024 };

/* Ahead of each record.  The check covers the two fields before it, so that a damaged length is noticed. */
typedef struct {
	uint32_t length;
	uint32_t reserved;
	uint64_t digest;
	uint64_t check;
} frame_header_t;

enum { CHECKED_BYTES = offsetof(frame_header_t, check), HEADER_SEED = 1 };

/* Renames within a folder. */
static int rename_in(int folder_fd, const char *from, const char *to)
{
	return renameat(folder_fd, from, folder_fd, to);
}

const store_ops_t store_system_ops = {write, fsync, ftruncate, rename_in};

/* Returns the status for a failed system call. */
static cw_status_t system_status(const char *what)
{
	cw_status_t status =
		errno == ENOSPC || errno == EDQUOT || errno == EFBIG ? CW_ERR_DISK_FULL : CW_ERR_IO;

	return cw_fail(status, "%s: %s", what, strerror(errno));
}

/* Writes all bytes; CW_ERR_DISK_FULL or CW_ERR_IO when that fails, possibly after a part. */
cw_status_t store_write(const store_ops_t *ops, int fd, const void *data, size_t length)
{
	const uint8_t *next = data;

	while (length) {
		ssize_t written = ops->write(fd, next, length);

		if (written < 0 && errno == EINTR)
			continue;
		if (written < 0)
			return system_status("write");
		if (written == 0)
			return cw_fail(CW_ERR_DISK_FULL, "write: nothing was written");
		next += written;
		length -= (size_t)written;
	}
	return CW_OK;
}

/* Makes a file or folder durable; CW_ERR_IO, or CW_ERR_DISK_FULL when space ran out at write-back. */
cw_status_t store_sync(const store_ops_t *ops, int fd)
{
	if (ops->sync(fd))
		return system_status("sync");
	return CW_OK;
}

/* Writes and syncs a new file. */
static cw_status_t write_new(const store_ops_t *ops, int folder_fd, const char *name,
			     const GByteArray *content)
{
	int fd = openat(folder_fd, name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
	cw_status_t status;

	if (fd < 0)
		return system_status(name);
	status = store_write(ops, fd, content->data, content->len);
	if (status == CW_OK)
		status = store_sync(ops, fd);
	close(fd);
	return status;
}

/* Replaces a file as a whole: after a crash either the old or the new content is there. */
cw_status_t store_put_file(const store_ops_t *ops, int folder_fd, const char *name, const GByteArray *content)
{
	char *temporary = g_strconcat(name, ".new", NULL);
	cw_status_t status = write_new(ops, folder_fd, temporary, content);

	if (status == CW_OK && ops->rename(folder_fd, temporary, name))
		status = system_status("rename");
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
	uint8_t *buffer = g_malloc(READ_BYTES);
	ssize_t got;

	do {
		got = read(fd, buffer, READ_BYTES);
		if (got > 0)
			g_byte_array_append(content, buffer, (guint)got);
	} while (got > 0 || (got < 0 && errno == EINTR));
	g_free(buffer);
	return got < 0 ? system_status("read") : CW_OK;
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
		return system_status(name);
	*content = g_byte_array_new();
	status = read_all(fd, *content);
	close(fd);
	if (status != CW_OK) {
		g_byte_array_free(*content, TRUE);
		*content = NULL;
	}
	return status;
}

/* Returns the check over the leading fields of a header. */
static uint64_t header_check(const frame_header_t *header)
{
	return cw_hash(header, CHECKED_BYTES, HEADER_SEED);
}

/* Adds a record with its header. */
void store_frame(GByteArray *out, const void *data, size_t length)
{
	frame_header_t header = {.length = (uint32_t)length, .digest = cw_hash(data, length, 0)};

	header.check = header_check(&header);
	g_byte_array_append(out, (const uint8_t *)&header, sizeof(header));
	g_byte_array_append(out, data, (guint)length);
}

/* Returns whether only zeros follow, as when a file grew ahead of its data. */
static bool only_zeros(const GByteArray *content, size_t offset)
{
	while (offset < content->len && !content->data[offset])
		offset++;
	return offset == content->len;
}

/*
 * Reads the record at *offset and moves the offset behind it.  TORN: the rest
 * was never written whole, so nobody was told of it.  DAMAGED: the record was
 * written whole and has changed since.
 */
store_frame_t store_next_frame(const GByteArray *content, size_t *offset, const uint8_t **data,
			       size_t *length)
{
	size_t left = content->len - *offset;
	frame_header_t header;

	if (!left)
		return STORE_FRAME_END;
	if (left < sizeof(header) || only_zeros(content, *offset))
		return STORE_FRAME_TORN;
	memcpy(&header, content->data + *offset, sizeof(header));
	if (header.check != header_check(&header))
		return STORE_FRAME_DAMAGED;
	if (left - sizeof(header) < header.length)
		return STORE_FRAME_TORN;
	*data = content->data + *offset + sizeof(header);
	*length = header.length;
	if (header.digest != cw_hash(*data, *length, 0))
		return STORE_FRAME_DAMAGED;
	*offset += sizeof(header) + header.length;
	return STORE_FRAME_OK;
}
