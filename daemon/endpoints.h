/* The endpoints that a call may be sent to, copied out of one view. */
#ifndef ENDPOINTS_H
#define ENDPOINTS_H

#include "link.h"
#include "view.h"

/* One endpoint as a call sees it; texts are the view's. */
typedef struct {
	const char *vm;
	const char *zone;
	const char *address; /* HOST:PORT */
	uint64_t incarnation;
	uint32_t slots;
	bool draining;
	bool tried;
} endpoint_t;

/* What a call reads from the view, so that it sees one version to its end. */
typedef struct {
	cw_reason_t refusal; /* why there is no route, or CW_REASON_NONE */
	const view_t *view;  /* held */
	const view_route_t *route;
	const char *service;
	uint32_t timeout_ms; /* 0: the proxy's default */
	endpoint_t *endpoints;
	size_t endpoint_count;
} endpoints_t;

/*
 * Reads the route of a host and path out of the published view; the calling
 * thread is registered with RCU.  The draw, from 0 to below 1, chooses among
 * services that share a route.
 */
void endpoints_read(endpoints_t *endpoints, const view_slot_t *views, const char *host, const char *path,
		    double draw);
void endpoints_clear(endpoints_t *endpoints);
/* Returns the endpoint that the chooser takes, or NULL when none is left. */
endpoint_t *endpoints_choose(endpoints_t *endpoints, cw_pick_t *pick, const cw_pick_call_t *want,
			     int64_t now_ms);
/* Returns whether the errors of an endpoint are its own: the best other one gives clearly fewer. */
bool endpoints_fails_more(const endpoints_t *endpoints, cw_pick_t *pick, const endpoint_t *endpoint,
			  int64_t now_ms);
/* Lets endpoints that were tried be chosen again. */
void endpoints_forget_tried(endpoints_t *endpoints);

/* Returns the view published last, held, when its serial is another than *seen_serial, which follows it; else NULL. */
const view_t *endpoints_new_view(uint64_t *seen_serial, const view_slot_t *views);
/* Follows a new view; the seed is the proxy's own, in_use tells whether an address still has calls. */
void endpoint_links_follow(const view_t *view, uint64_t seed, link_clients_t *clients,
			   bool (*in_use)(const void *data, const char *address), const void *data);

#endif
