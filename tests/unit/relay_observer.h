/*
 * Judges relays by what can be seen from outside: the configurations that
 * proxies use and the messages they send.  It keeps its own account of what
 * each version holds and shares no code with the relay, feed or members.
 */
#ifndef RELAY_OBSERVER_H
#define RELAY_OBSERVER_H

#include "relay_net.h"

enum { OBSERVER_ITEMS = 8 };

/* What one version holds: for each item, the change that set its service and route; 0: absent. */
typedef struct {
	uint64_t items[OBSERVER_ITEMS];
} observer_version_t;

typedef struct {
	GArray *versions;      /* observer_version_t, by version */
	GHashTable *highest;   /* VM -> uint64_t *, over all its processes */
	GHashTable *watched;   /* VM -> what it was sent, in its present process */
	GPtrArray *violations; /* char * */
	int64_t parent_bound_us;
} observer_t;

observer_t *observer_new(int64_t parent_bound_us);
void observer_free(observer_t *observer);
net_watch_t observer_watch(observer_t *observer);
/* Notes what the next version holds. */
void observer_add_version(observer_t *observer, const observer_version_t *version);

#endif
