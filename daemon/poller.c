/* Event loop over one epoll instance: calls the callback of each descriptor that is ready. */
#include "poller.h"

#include <errno.h>
#include <glib.h>
#include <unistd.h>

#include "log.h"

enum { MAX_EVENTS = 256 }; /* of one epoll_wait() */

typedef struct {
	void (*release)(void *data);
	void *data;
} deferred_free_t;

struct poller {
	int fd;			/* of epoll */
	GArray *deferred_frees; /* deferred_free_t */
	bool has_outer_loop;	/* an outer event loop calls poller_set_readable() */
	bool readable;		/* as of the last poller_set_readable(), and not handled since */
};

/* Creates a poller that watches nothing; aborts when the system has no descriptor left. */
poller_t *poller_new(void)
{
	poller_t *poller = g_new0(poller_t, 1);

	poller->fd = epoll_create1(EPOLL_CLOEXEC);
	if (poller->fd < 0)
		g_error("epoll_create1: %s", g_strerror(errno));
	poller->deferred_frees = g_array_new(FALSE, FALSE, sizeof(deferred_free_t));
	return poller;
}

/* Frees the memory passed to poller_free_later(). */
static void run_deferred_frees(poller_t *poller)
{
	for (guint i = 0; i < poller->deferred_frees->len; i++) {
		const deferred_free_t *deferred = &g_array_index(poller->deferred_frees, deferred_free_t, i);

		deferred->release(deferred->data);
	}
	g_array_set_size(poller->deferred_frees, 0);
}

/* Frees a poller; NULL is allowed. */
void poller_free(poller_t *poller)
{
	if (!poller)
		return;
	run_deferred_frees(poller);
	g_array_unref(poller->deferred_frees);
	close(poller->fd);
	g_free(poller);
}

/* Returns the epoll descriptor. */
int poller_fd(const poller_t *poller)
{
	return poller->fd;
}

/* Changes what epoll watches; a failure is logged, as events of the descriptor would be lost. */
static void update_epoll(const poller_t *poller, int operation, int fd, uint32_t events,
			 poller_watch_t *watch)
{
	struct epoll_event event = {.events = events, .data.ptr = watch};

	if (epoll_ctl(poller->fd, operation, fd, &event))
		log_error("descriptor-not-watched", LOG_INT("fd", fd), LOG_STR("error", g_strerror(errno)),
			  LOG_END);
}

/* Starts watching a descriptor. */
void poller_add(poller_t *poller, int fd, uint32_t events, poller_watch_t *watch)
{
	update_epoll(poller, EPOLL_CTL_ADD, fd, events, watch);
}

/* Changes the events that a descriptor is watched for. */
void poller_change(poller_t *poller, int fd, uint32_t events, poller_watch_t *watch)
{
	update_epoll(poller, EPOLL_CTL_MOD, fd, events, watch);
}

/* Stops watching a descriptor, which must still be open. */
void poller_remove(poller_t *poller, int fd)
{
	update_epoll(poller, EPOLL_CTL_DEL, fd, 0, NULL);
}

/* Waits and handles the events of ready descriptors. */
void poller_run(poller_t *poller, int timeout_ms)
{
	struct epoll_event events[MAX_EVENTS];
	int count = epoll_wait(poller->fd, events, MAX_EVENTS, timeout_ms);

	for (int i = 0; i < count; i++) {
		const poller_watch_t *watch = events[i].data.ptr;

		watch->ready(watch->data, events[i].events);
	}
	run_deferred_frees(poller);
}

/* Records whether poller_fd() is readable. */
void poller_set_readable(poller_t *poller, bool readable)
{
	poller->has_outer_loop = true;
	poller->readable = readable;
}

/* Handles the events of ready descriptors; calls epoll only when there may be some. */
void poller_run_ready(poller_t *poller)
{
	if (poller->has_outer_loop && !poller->readable) {
		run_deferred_frees(poller);
		return;
	}
	poller->readable = false;
	poller_run(poller, 0);
}

/* Defers freeing memory until no event already read can refer to it. */
void poller_free_later(poller_t *poller, void (*release)(void *data), void *data)
{
	deferred_free_t deferred = {release, data};

	g_array_append_val(poller->deferred_frees, deferred);
}
