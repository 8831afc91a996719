/*
 * Library preloaded into a daemon to inject clock and disk faults.  The
 * environment variable SOAK_MISBEHAVE names a file with any of these settings:
 *
 *   clock=MS   offset of the real-time clock, negative for behind
 *   sync=MS    additional duration of each fsync()
 *   full=1     write() to a regular file fails with ENOSPC, except on the standard streams
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
	REREAD_INTERVAL_MS = 50
};

typedef struct {
	long clock_offset_ms;
	long sync_delay_ms;
	bool disk_full;
} settings_t;

static settings_t settings;
static long last_read_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Returns the number after a key such as "clock=", 0 when the key is absent. */
static long parse_setting(const char *text, const char *key)
{
	const char *match = strstr(text, key);

	return match ? strtol(match + strlen(key), NULL, 10) : 0;
}

/* Reads a clock by the system call, without the injected offset. */
static int read_clock(clockid_t id, struct timespec *time)
{
	return (int)syscall(SYS_clock_gettime, id, time);
}

/* Reads the settings from the file; all are 0 without a readable file. */
static void read_settings(void)
{
	const char *name = getenv("SOAK_MISBEHAVE");
	int fd = name ? open(name, O_RDONLY | O_CLOEXEC) : -1;
	char text[TEXT_BYTES] = "";

	if (fd >= 0) {
		if (read(fd, text, sizeof(text) - 1) < 0)
			text[0] = '\0';
		close(fd);
	}
	settings.clock_offset_ms = parse_setting(text, "clock=");
	settings.sync_delay_ms = parse_setting(text, "sync=");
	settings.disk_full = parse_setting(text, "full=");
}

/* Returns the settings, read again once REREAD_INTERVAL_MS have passed; keeps errno. */
static settings_t current_settings(void)
{
	struct timespec now;
	settings_t copy;
	int saved = errno;
	long now_ms;

	read_clock(CLOCK_MONOTONIC, &now);
	now_ms = now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
	pthread_mutex_lock(&lock);
	if (!last_read_ms || now_ms >= last_read_ms + REREAD_INTERVAL_MS) {
		last_read_ms = now_ms;
		read_settings();
	}
	copy = settings;
	pthread_mutex_unlock(&lock);
	errno = saved;
	return copy;
}

/* Replaces clock_gettime(): adds the injected offset to the real-time clock. */
int clock_gettime(clockid_t id, struct timespec *time)
{
	int result = read_clock(id, time);
	long offset_ms;

	if (result || id != CLOCK_REALTIME)
		return result;
	offset_ms = current_settings().clock_offset_ms;
	time->tv_sec += offset_ms / MS_PER_S;
	time->tv_nsec += offset_ms % MS_PER_S * NS_PER_MS;
	if (time->tv_nsec < 0) {
		time->tv_nsec += NS_PER_S;
		time->tv_sec--;
	} else if (time->tv_nsec >= NS_PER_S) {
		time->tv_nsec -= NS_PER_S;
		time->tv_sec++;
	}
	return 0;
}

/* Returns whether a descriptor is a regular file other than the standard streams, to which daemons log. */
static bool is_data_file(int fd)
{
	struct stat stat;

	return fd > STDERR_FILENO && !fstat(fd, &stat) && S_ISREG(stat.st_mode);
}

/* Replaces write(): fails with ENOSPC on data files while the disk is full. */
ssize_t write(int fd, const void *data, size_t length)
{
	if (current_settings().disk_full && is_data_file(fd)) {
		errno = ENOSPC;
		return -1;
	}
	return syscall(SYS_write, fd, data, length);
}

/* Replaces fsync(): sleeps for the injected delay first. */
int fsync(int fd)
{
	usleep((useconds_t)current_settings().sync_delay_ms * US_PER_MS);
	return (int)syscall(SYS_fsync, fd);
}
