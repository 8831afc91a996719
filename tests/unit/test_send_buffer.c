/* Tests of the memory that send buffers keep. */
#include <check.h>
#include <malloc.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "script.h"
#include "send_buffer.h"

enum {
	CHUNK_BYTES = 65536,
	BACKLOG_BYTES = 16 * CHUNK_BYTES, /* more than the socket takes */
	CHUNKS = 1000,
	MAX_KEPT_BYTES = 4 * BACKLOG_BYTES,
	LONG_BYTES = 8 << 20,
	PATTERN_BYTES = 251, /* no divisor of a buffer's size */
	TIMEOUT_S = 30
};

/* Returns the bytes that are allocated from the heap and from the system. */
static size_t allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Appends bytes that a pattern of their position in the stream gives. */
static void append_pattern(send_buffer_t *send_buffer, size_t length, uint64_t *position)
{
	g_autofree uint8_t *bytes = g_malloc(length);

	for (size_t i = 0; i < length; i++)
		bytes[i] = (uint8_t)((*position)++ % PATTERN_BYTES);
	send_buffer_append(send_buffer, bytes, length);
}

/* Reads what has arrived, up to a number of bytes, and checks it against the pattern. */
static void read_pattern(int fd, size_t length, uint64_t *position)
{
	g_autofree uint8_t *bytes = g_malloc(length);
	ssize_t count = recv(fd, bytes, length, MSG_DONTWAIT);
	unsigned wrong = 0;

	for (ssize_t i = 0; i < count; i++)
		wrong += bytes[i] != (uint8_t)((*position)++ % PATTERN_BYTES);
	ck_assert_uint_eq(wrong, 0);
}

/* LOST: a buffer that a slow peer never lets run empty kept every byte that was sent. */
START_TEST(test_never_empty)
{
	send_buffer_t send_buffer;
	uint64_t written = 0, seen = 0;
	size_t before, kept;
	int fds[2];

	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	send_buffer_init(&send_buffer, MEMORY_TO_CALLERS);
	append_pattern(&send_buffer, BACKLOG_BYTES, &written);
	before = allocated_bytes();
	for (int i = 0; i < CHUNKS; i++) {
		append_pattern(&send_buffer, CHUNK_BYTES, &written);
		ck_assert_int_eq(send_buffer_flush(&send_buffer, fds[0]), SEND_BUFFER_BLOCKED);
		read_pattern(fds[1], CHUNK_BYTES, &seen);
	}
	kept = allocated_bytes() - before;
	ck_assert_uint_lt(kept, MAX_KEPT_BYTES);
	ck_assert_uint_gt(seen, (uint64_t)CHUNKS * CHUNK_BYTES / 2);
	ck_assert_uint_le(send_buffer.sent + send_buffer_pending(&send_buffer), written);
	send_buffer_free(&send_buffer);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

/* LOST: each connection kept the memory of the longest message that it had ever carried. */
START_TEST(test_long_message)
{
	send_buffer_t send_buffer;
	uint64_t written = 0, seen = 0;
	size_t before = allocated_bytes();
	int fds[2];

	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	send_buffer_init(&send_buffer, MEMORY_TO_CALLERS);
	append_pattern(&send_buffer, LONG_BYTES, &written);
	while (send_buffer_flush(&send_buffer, fds[0]) == SEND_BUFFER_BLOCKED)
		read_pattern(fds[1], CHUNK_BYTES, &seen);
	ck_assert_uint_eq(send_buffer.sent, LONG_BYTES);
	send_buffer_reset(&send_buffer);
	ck_assert_uint_eq(send_buffer.sent, 0);
	ck_assert_uint_lt(allocated_bytes() - before, CHUNK_BYTES);
	send_buffer_free(&send_buffer);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("send_buffer");
	TCase *tcase = tcase_create("memory");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_never_empty);
	tcase_add_test(tcase, test_long_message);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
