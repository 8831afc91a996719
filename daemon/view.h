/*
 * What a call reads: one immutable version of the configuration of this proxy
 * and the endpoints its routes lead to.  The control thread builds and
 * publishes it under RCU; traffic threads read it.
 */
#ifndef VIEW_H
#define VIEW_H

#include "libcaraway.h"

typedef struct {
	char *vm;
	char *zone;
	char *region;
	char *service;
	char *call_address;
	uint64_t incarnation;
	uint32_t slots;
	bool draining;
} view_endpoint_t;

/* The endpoints of a service, or of a target that selects some of them. */
typedef struct {
	char *service;
	uint32_t *endpoints; /* positions in the view's endpoints */
	uint32_t endpoint_count;
} view_group_t;

/* A service that a route's calls go to. */
typedef struct {
	const view_group_t *group;
	double weight;	     /* in proportion to the others of the route */
	uint32_t timeout_ms; /* of the service; 0: none is stated */
} view_destination_t;

typedef struct {
	char *name;
	uint64_t id; /* hash of the name */
	char *host;  /* "": every host */
	char *path;
	Caraway__Idempotence idempotence;
	uint32_t timeout_ms;	    /* 0: the service's */
	uint32_t target_latency_ms; /* 0: none is stated */
	uint32_t priority;
	uint32_t max_attempts; /* 0: no limit is stated */
	view_destination_t *destinations;
	uint32_t destination_count; /* 1 or more */
	double weight_sum;
} view_route_t;

typedef struct {
	uint64_t version; /* of the configuration */
	uint64_t serial;  /* rises with every view published in a slot */
	view_endpoint_t *endpoints;
	uint32_t endpoint_count;
	view_group_t **groups;
	uint32_t group_count;
	view_route_t *routes; /* longest path first, equal ones together */
	uint32_t route_count;
	GHashTable *routes_by_path;    /* the first route of each path */
	Caraway__CallerLimits *limits; /* NULL: none are stated */
	char *health_path;	       /* of the service of this VM's target; "": none is stated */
	gint reference_count;
} view_t;

/* Builds a view for a VM; endpoints are borrowed Caraway__Endpoint *. */
view_t *view_new(const cw_catalog_t *catalog, const Caraway__Vm *vm, const GPtrArray *endpoints);
/* Keeps a view that was read for longer than the read-side critical section. */
const view_t *view_hold(const view_t *view);
void view_release(const view_t *view);
/* Returns the route for a host, without its port, and a path without query; NULL when there is none. */
const view_route_t *view_route(const view_t *view, const char *host, const char *path);
/* Returns the destination that a draw from 0 to below 1 falls on, by weight. */
const view_destination_t *view_destination(const view_route_t *route, double uniform);

/* The published view.  NULL until the proxy holds a configuration. */
typedef struct view_slot view_slot_t;

view_slot_t *view_slot_new(void);
void view_slot_free(view_slot_t *slot);
/* Replaces the view and frees the old one after every reader has left it; control thread only. */
void view_slot_publish(view_slot_t *slot, view_t *view);
/* Between rcu_read_lock() and rcu_read_unlock() of a registered thread. */
const view_t *view_slot_read(const view_slot_t *slot);

#endif
