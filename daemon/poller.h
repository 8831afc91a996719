/* Event loop over one epoll instance: calls the callback of each descriptor that is ready. */
#ifndef POLLER_H
#define POLLER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/epoll.h>

typedef struct poller poller_t;

/* Callback of a watched descriptor; owned by the caller, must stay valid while the descriptor is watched. */
typedef struct {
	void (*ready)(void *data, uint32_t events); /* events are EPOLL flags */
	void *data;
} poller_watch_t;

poller_t *poller_new(void);
void poller_free(poller_t *poller);
/* Returns a descriptor that is readable when poller_run() has events to handle. */
int poller_fd(const poller_t *poller);
void poller_add(poller_t *poller, int fd, uint32_t events, poller_watch_t *watch);
void poller_change(poller_t *poller, int fd, uint32_t events, poller_watch_t *watch);
void poller_remove(poller_t *poller, int fd);
/* Waits for at most timeout_ms, 0 for no wait, and calls the callbacks of ready descriptors. */
void poller_run(poller_t *poller, int timeout_ms);
/*
 * Records whether poller_fd() is readable, for poller_run_ready(); called by an
 * outer event loop that waits for poller_fd() together with other descriptors.
 */
void poller_set_readable(poller_t *poller, bool readable);
/*
 * Calls the callbacks of ready descriptors without waiting.  An outer event loop that
 * calls poller_set_readable() saves the system call here: it is made only when the last call
 * reported the descriptor as readable and its events were not handled since.
 */
void poller_run_ready(poller_t *poller);
/* Frees memory after the events already read from epoll, which may refer to it, have been handled. */
void poller_free_later(poller_t *poller, void (*release)(void *data), void *data);

#endif
