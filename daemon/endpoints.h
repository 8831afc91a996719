/* The route of a call and its candidate endpoints, all read from one view. */
#ifndef ENDPOINTS_H
#define ENDPOINTS_H

#include "link.h"
#include "view.h"

/* One candidate endpoint of a call; its strings belong to the view. */
typedef struct {
	const char *vm;
	const char *zone;
	const char *address;	    /* HOST:PORT */
	uint64_t incarnation;	    /* of the proxy there */
	uint32_t slots;		    /* calls that the target runs at once */
	const char *target_version; /* "": not announced */
	bool draining;
	bool withheld; /* a roll-out gives it no call now */
	bool is_new;   /* it has the version that is rolled out */
	bool own;      /* the proxy there is this one */
	bool tried;    /* an attempt was made; not chosen again until endpoints_reset_tried() */
} endpoint_t;

/* What a call reads from the view; the reference to the view keeps it at one version to its end. */
typedef struct {
	cw_reason_t refusal;	  /* why there is no route, or CW_REASON_NONE */
	int64_t current_until_ms; /* until when the view counts as the newest; 0: it does not */
	int64_t keys_until_ms;	  /* until when the keys in the view may be accepted */
	const view_t *view;	  /* a reference; NULL when none is published */
	const view_route_t *route;
	const char *service; /* that the call goes to */
	uint32_t timeout_ms; /* 0: the proxy's default */
	endpoint_t *endpoints;
	size_t endpoint_count;
} endpoints_t;

/*
 * Looks up the route of a host and path in the published view; the calling
 * thread must be registered with RCU.  random_unit, in [0, 1), selects one
 * of the services that share a route.
 */
void endpoints_lookup(endpoints_t *endpoints, const published_view_t *published_view, const char *host,
		      const char *path, double random_unit);
/* Marks the endpoint of this proxy, of this VM and incarnation, if there is one; returns whether there is. */
bool endpoints_mark_own(endpoints_t *endpoints, const char *vm, uint64_t incarnation);
void endpoints_clear(endpoints_t *endpoints);
/*
 * Returns the endpoint that the load balancer chooses, marked as tried.  NULL when none is left, with
 * *reason NONE, or when the links leave too little time, with *reason CROWDED.
 */
endpoint_t *endpoints_choose(endpoints_t *endpoints, cw_pick_t *pick, const cw_pick_call_t *call,
			     int64_t now_ms, cw_reason_t *reason);
/* Returns whether an endpoint's error rate is clearly higher than that of the best other one. */
bool endpoints_is_error_outlier(const endpoints_t *endpoints, cw_pick_t *pick, const endpoint_t *endpoint,
				int64_t now_ms);
/* Withholds the endpoints that an attempt may not use by the choice of a roll-out. */
void endpoints_restrict(endpoints_t *endpoints, rollouts_t *rollouts, const rollout_choice_t *choice);
/* Makes endpoints that were tried eligible again. */
void endpoints_reset_tried(endpoints_t *endpoints);

/*
 * Returns a reference to the published view and updates *seen_serial; NULL
 * when *seen_serial is the serial of that view, or none is published.
 */
const view_t *endpoints_poll_view(uint64_t *seen_serial, const published_view_t *published_view);
/*
 * Updates connections for a new view.  The seed differs between proxies;
 * in_use() returns whether a call in flight uses an address.
 */
void endpoint_links_update(const view_t *view, uint64_t seed, link_clients_t *clients,
			   bool (*in_use)(const void *data, const char *address), const void *data);

#endif
