/* State of a proxy's control thread, shared by the files that implement it. */
#ifndef PROXY_INTERNAL_H
#define PROXY_INTERNAL_H

#include "metrics.h"
#include "relay_io.h"
#include "settings.h"
#include "traffic.h"
#include "view.h"

typedef struct {
	const settings_t *settings;
	const gateway_t *gateway; /* NULL: none */
	uint64_t incarnation;
	poller_t *poller;   /* of the control thread */
	metrics_t *metrics; /* NULL: none */
	link_context_t *context;
	link_server_t *server;	 /* feed port, for child proxies and operators */
	link_clients_t *clients; /* connections to parents */
	cw_feed_t *feed;	 /* configuration, a copy of the leader's feed */
	cw_members_t *members;	 /* endpoints, a copy of the leader's table */
	relay_io_t relay_io;
	published_view_t *published_view;
	traffic_t *traffic;
	int64_t view_deadline_ms;   /* when to publish the next view; INT64_MAX: nothing has changed */
	uint64_t published_version; /* of the published configuration; 0: none */
	int64_t unconfirmed_since_ms; /* since when it does not count as the newest; 0: it does, or there is none */
	uint64_t endpoint_sequence;	 /* of the last announcement of the endpoint */
	char *announced_version;	 /* of the target in the last announcement; NULL: none yet */
	bool announced_ready;		 /* state of the target in the last announcement */
	int64_t next_target_announce_ms; /* earliest time to announce the target's state again */
} proxy_t;

/* Replies to an operator's query on the feed port. */
void proxy_answer_query(proxy_t *proxy, GBytes *peer, const Caraway__OperatorRequest *request);

#endif
