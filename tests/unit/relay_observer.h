/*
 * Checks invariants of relays from their externally visible behaviour: the
 * configurations that proxies use and the messages that they exchange.  It keeps
 * its own copy of the content of each version and shares no code with the
 * relay, the feed or the member table.
 */
#ifndef RELAY_OBSERVER_H
#define RELAY_OBSERVER_H

#include "relay_net.h"

enum { OBSERVER_ITEMS = 8 }; /* services "s0" to "s7", each with a route, "r0" to "r7" */

/* Content of a version: for each item, the change that set its service and route; 0: absent. */
typedef struct {
	uint64_t items[OBSERVER_ITEMS];
} observer_version_t;

typedef struct {
	GArray *versions;	      /* observer_version_t, by version */
	GArray *version_times_us;     /* int64_t, when each was put in force */
	GHashTable *highest_versions; /* VM -> uint64_t *, highest version used by any of its processes */
	GHashTable *processes;	      /* VM -> state of its current process */
	GPtrArray *violations;	      /* char * */
	int64_t max_stale_us;	      /* how long a proxy may keep a parent that sends no newer stamp */
} observer_t;

/* A proxy may keep a parent that sends no newer stamp for max_stale_us. */
observer_t *observer_new(int64_t max_stale_us);
void observer_free(observer_t *observer);
/* Returns the callbacks with which the simulation reports to the observer. */
net_callbacks_t observer_callbacks(observer_t *observer);
/* Appends the content of the next version, which is put in force now. */
void observer_add_version(observer_t *observer, const observer_version_t *version, int64_t now_us);

#endif
