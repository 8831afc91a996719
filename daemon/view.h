/*
 * A view: an immutable copy of this proxy's configuration and of the endpoints
 * that its routes lead to, as calls use them.  The control thread builds and
 * publishes views under RCU; the traffic thread reads them.
 */
#ifndef VIEW_H
#define VIEW_H

#include "rollouts.h"

/* An endpoint that some route of the view leads to. */
typedef struct {
	char *vm;
	char *zone;
	char *region;
	char *service;
	char *call_address;   /* HOST:PORT */
	uint64_t incarnation; /* of the proxy there */
	uint32_t slots;	      /* calls that the target runs at once */
	char *target_version; /* "": not announced */
	bool draining;
} view_endpoint_t;

/* The endpoints of a service, or only those that a target selects. */
typedef struct {
	char *service;
	uint32_t *endpoint_indexes; /* indexes into the endpoints of the view */
	uint32_t endpoint_count;
} view_group_t;

/* A service that receives calls of a route. */
typedef struct {
	const view_group_t *group;
	double weight;	     /* relative to the other destinations of the route */
	uint32_t timeout_ms; /* of the service; 0: not configured */
} view_destination_t;

/* A route of the configuration and the services that receive its calls. */
typedef struct {
	char *name;
	uint64_t id; /* hash of the name */
	char *host;  /* "": any host */
	char *path;  /* prefix of the paths of its calls */
	Caraway__Idempotence idempotence;
	uint32_t timeout_ms;	    /* 0: that of the service applies */
	uint32_t target_latency_ms; /* 0: not configured */
	uint32_t priority;	    /* 0 is the highest */
	uint32_t max_attempts;	    /* 0: not configured */
	bool is_public;		    /* its calls need no key of a client account */
	view_destination_t *destinations;
	uint32_t destination_count; /* 1 or more */
	double weight_sum;	    /* of the destinations */
} view_route_t;

/* A client account of the configuration. */
typedef struct {
	char *name;
	uint64_t id; /* hash of the name, not 0 */
	bool has_priority;
	uint32_t priority;  /* takes precedence over that of a route */
	double calls_per_s; /* calls a second, by all proxies together; 0: without limit */
	double burst;	    /* calls beyond the rate */
} view_account_t;

/* The view; not changed after it was published, except for the reference count. */
typedef struct {
	uint64_t version; /* of the configuration */
	uint64_t serial;  /* increases with each view published; 0 before that */
	view_endpoint_t *endpoints;
	uint32_t endpoint_count;
	view_group_t **groups;
	uint32_t group_count;
	view_route_t *routes; /* longest path first, routes of the same path adjacent */
	uint32_t route_count;
	GHashTable *routes_by_path; /* path -> the first route of that path */
	view_account_t *accounts;
	uint32_t account_count;
	GArray *key_salts; /* key_salt_t: all that digests of the accounts' keys have; usually one */
	GHashTable *accounts_by_key;   /* cw_key_digest_t -> view_account_t; NULL: there are no accounts */
	Caraway__CallerLimits *limits; /* NULL: not configured */
	char *health_path;	       /* of the service of this VM's target; "": not configured */
	gint reference_count;
} view_t;

/* Builds the view of a VM; endpoints are Caraway__Endpoint *, borrowed for the call only. */
view_t *view_new(const cw_catalog_t *catalog, const Caraway__Vm *vm, const GPtrArray *endpoints);
/* Takes a reference to a view, which keeps it alive after the read-side critical section. */
const view_t *view_ref(const view_t *view);
void view_unref(const view_t *view);
/* Returns the route for a host without port and a path without query; NULL when there is none. */
const view_route_t *view_find_route(const view_t *view, const char *host, const char *path);
/* Returns the client account that has a key; NULL: none has it. */
const view_account_t *view_find_account(const view_t *view, const char *key);
/* Selects a destination by weight; random_unit is a uniform random number in [0, 1). */
const view_destination_t *view_choose_destination(const view_route_t *route, double random_unit);

/* An RCU pointer to the published view; NULL until the proxy has a configuration. */
typedef struct published_view published_view_t;

published_view_t *published_view_new(void);
void published_view_free(published_view_t *published);
/* Returns the roll-outs of the proxy, which are published beside the view. */
rollouts_t *published_view_rollouts(const published_view_t *published);
/* Replaces the view and releases the old one after an RCU grace period; control thread only. */
void published_view_replace(published_view_t *published, view_t *view);
/* Must be called, and its result used, within a read-side critical section of a registered thread. */
const view_t *published_view_read(const published_view_t *published);
/* Sets until when the published view counts as the newest; any time before the first call. */
void published_view_set_current_until(published_view_t *published, int64_t current_until_ms);
/* Returns until when the published view counts as the newest; to be read before the view. */
int64_t published_view_current_until_ms(const published_view_t *published);
/* Sets until when the keys in the published view may be accepted; any time before the first call. */
void published_view_set_keys_until(published_view_t *published, int64_t keys_until_ms);
/* Returns until when they may be accepted; to be read before the view. */
int64_t published_view_keys_until_ms(const published_view_t *published);

#endif
