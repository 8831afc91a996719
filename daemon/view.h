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

typedef struct {
	char *name;
	char *path;
	char *service;
	Caraway__Idempotence idempotence;
	uint32_t timeout_ms; /* 0: the proxy's default */
	uint32_t *endpoints; /* positions in the view's endpoints */
	uint32_t endpoint_count;
} view_route_t;

typedef struct {
	uint64_t version; /* of the configuration */
	uint64_t serial;  /* rises with every view published in a slot */
	view_endpoint_t *endpoints;
	uint32_t endpoint_count;
	view_route_t *routes; /* longest path first */
	uint32_t route_count;
} view_t;

/* Builds a view for a VM; endpoints are borrowed Caraway__Endpoint *. */
view_t *view_new(const cw_catalog_t *catalog, const Caraway__Vm *vm, const GPtrArray *endpoints);
void view_free(view_t *view);
/* Returns the route for a path, or NULL. */
const view_route_t *view_route(const view_t *view, const char *path);

/* The published view.  NULL until the proxy holds a configuration. */
typedef struct view_slot view_slot_t;

view_slot_t *view_slot_new(void);
void view_slot_free(view_slot_t *slot);
/* Replaces the view and frees the old one after every reader has left it; control thread only. */
void view_slot_publish(view_slot_t *slot, view_t *view);
/* Between rcu_read_lock() and rcu_read_unlock() of a registered thread. */
const view_t *view_slot_read(const view_slot_t *slot);

#endif
