/*
 * Preloaded into a daemon: a clock and a disk that misbehave on command.  The
 * file that SOAK_MISBEHAVE names holds any of these words:
 *
 *   clock=MS   the time of day is so much ahead, or behind when negative
 *   sync=MS    each sync takes so much longer
 *   full=1     writes to files fail for want of space
 */
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum {
	TEXT_BYTES = 128,
	MS_PER_S = 1000,
	US_PER_MS = 1000,
	NS_PER_MS = 1000000,
	NS_PER_S = 1000000000,
	LOOK_MS = 50
};

typedef struct {
	long clock_ms;
	long sync_ms;
	bool full;
} misbehaviour_t;

static misbehaviour_t current;
static long looked_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Returns the number after a word, 0 when the word is absent. */
static long number_after(const char *text, const char *word)
{
	const char *found = strstr(text, word);

	return found ? strtol(found + strlen(word), NULL, 10) : 0;
}

/* Returns the time of a clock, as the kernel tells it. */
static int read_clock(clockid_t id, struct timespec *time)
{
	return (int)syscall(SYS_clock_gettime, id, time);
}

/* Reads the file anew. */
static void look(void)
{
	const char *name = getenv("SOAK_MISBEHAVE");
	int fd = name ? open(name, O_RDONLY | O_CLOEXEC) : -1;
	char text[TEXT_BYTES] = "";

	if (fd >= 0) {
		if (read(fd, text, sizeof(text) - 1) < 0)
			text[0] = '\0';
		close(fd);
	}
	current.clock_ms = number_after(text, "clock=");
	current.sync_ms = number_after(text, "sync=");
	current.full = number_after(text, "full=");
}

/* Returns what the file says, read anew now and then. */
static misbehaviour_t misbehaviour(void)
{
	struct timespec now;
	misbehaviour_t copy;
	int saved = errno;
	long now_ms;

	read_clock(CLOCK_MONOTONIC, &now);
	now_ms = now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
	pthread_mutex_lock(&lock);
	if (!looked_ms || now_ms >= looked_ms + LOOK_MS) {
		looked_ms = now_ms;
		look();
	}
	copy = current;
	pthread_mutex_unlock(&lock);
	errno = saved;
	return copy;
}

/* Tells the time, that of day with its error. */
int clock_gettime(clockid_t id, struct timespec *time)
{
	int result = read_clock(id, time);
	long ahead_ms;

	if (result || id != CLOCK_REALTIME)
		return result;
	ahead_ms = misbehaviour().clock_ms;
	time->tv_sec += ahead_ms / MS_PER_S;
	time->tv_nsec += ahead_ms % MS_PER_S * NS_PER_MS;
	if (time->tv_nsec < 0) {
		time->tv_nsec += NS_PER_S;
		time->tv_sec--;
	} else if (time->tv_nsec >= NS_PER_S) {
		time->tv_nsec -= NS_PER_S;
		time->tv_sec++;
	}
	return 0;
}

/* Returns whether a descriptor is that of a file; logs and sockets are none. */
static bool is_data_file(int fd)
{
	struct stat stat;

	return fd > STDERR_FILENO && !fstat(fd, &stat) && S_ISREG(stat.st_mode);
}

/* Writes, unless the disk is full. */
ssize_t write(int fd, const void *data, size_t length)
{
	if (misbehaviour().full && is_data_file(fd)) {
		errno = ENOSPC;
		return -1;
	}
	return syscall(SYS_write, fd, data, length);
}

/* Syncs, later than asked. */
int fsync(int fd)
{
	usleep((useconds_t)misbehaviour().sync_ms * US_PER_MS);
	return (int)syscall(SYS_fsync, fd);
}
