/*
 * The fault soak: control replicas, proxies and targets as real processes, faults
 * from outside them, and promises checked from what callers and targets see.
 */
#ifndef SOAK_H
#define SOAK_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"

enum {
	SOAK_SERVICES = 3,
	SOAK_MAX_PROXIES = 64,
	SOAK_NAME_BYTES = 24,
	SOAK_ID_BYTES = 32,
	SOAK_NO_LIFETIME = -1,
	SOAK_US_PER_MS = 1000,
	/* In force everywhere within 16 s: the size that docs/CAPACITY.md is for. */
	SOAK_IN_FORCE_MS = 16000,
	/* Time budget of a call; several times the service time of the targets. */
	SOAK_BUDGET_MS = 2000,
};

/* What one run is made of. */
typedef struct {
	uint32_t seed;
	int rounds;
	int proxies;
	int callers; /* threads for each proxy */
} soak_options_t;

/* How a call ended, as its caller saw it. */
typedef enum {
	CALL_ANSWERED, /* whole */
	CALL_CUT,      /* the answer began and broke off */
	CALL_CLOSED,   /* no byte of an answer came */
	CALL_SILENT,   /* nothing came in time, the connection stands */
	CALL_UNSENT,   /* no connection, or not all was sent */
} call_end_t;

/* One call. */
typedef struct {
	char id[SOAK_ID_BYTES];
	int proxy;
	int lifetime;	   /* of the proxy's process; SOAK_NO_LIFETIME: it ended meanwhile */
	bool unsafe;	   /* may run once at most */
	int turn;	   /* number of the change whose route it took; 0: none */
	int reviewed_turn; /* newest whose review had been sent when the call ended */
	int64_t sent_ms;
	int64_t ended_ms;
	call_end_t end;
	int status;
	bool own_answer; /* made by the system, not by a target */
	bool not_run;	 /* promises that it has not run and will not */
	char fault[96];	 /* what is wrong with the answer itself; empty: nothing */
} call_record_t;

/* What callers need to know, and what they tell. */
typedef struct {
	int proxies;
	int ports[SOAK_MAX_PROXIES];
	_Atomic int lifetimes[SOAK_MAX_PROXIES];
	_Atomic int newest_turn;   /* acknowledged */
	_Atomic int reviewed_turn; /* its review has been sent at least */
	_Atomic bool stop;
	GAsyncQueue *records; /* call_record_t * */
} soak_load_t;

/* Returns a monotonic time. */
static inline int64_t soak_now_ms(void)
{
	return g_get_monotonic_time() / SOAK_US_PER_MS;
}

#endif
