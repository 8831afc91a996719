/* Internals of the relay simulation, shared by its source files. */
#ifndef RELAY_NET_INTERNAL_H
#define RELAY_NET_INTERNAL_H

#include "relay_net.h"

enum { US_PER_MS = 1000 };

typedef enum {
	EV_TICK,
	EV_MESSAGE,
	EV_SEND_FAILED,	     /* a pull could not be sent because the process of node "from" is down */
	EV_CONFIRMATION_END, /* a leadership confirmation succeeds or fails */
	EV_APPLY	     /* a control replica receives committed log entries */
} net_event_type_t;

typedef struct {
	int64_t time_us;
	uint64_t order; /* sequence number; orders events of the same time */
	net_event_type_t type;
	int to;
	int from;
	uint64_t to_incarnation;
	uint64_t token;	   /* TICK: tick_token of the node; CONFIRMATION_END: cookie of the action */
	size_t read_index; /* CONFIRMATION_END, APPLY: length of the log to apply */
	bool is_answer;	   /* MESSAGE: sent by a parent to its child */
	GBytes *message;   /* MESSAGE: packed */
} net_event_t;

typedef enum { LOG_STAGE, LOG_ACTIVATE, LOG_VM /* registers a VM */ } log_type_t;

typedef struct {
	log_type_t type;
	uint64_t number;	   /* STAGE, ACTIVATE: of the change */
	Caraway__Content *content; /* STAGE */
	Caraway__Vm *vm;	   /* VM */
} log_entry_t;

/* A link whose messages are dropped; NET_NO_NODE means all nodes. */
typedef struct {
	int from;
	int to;
} cut_link_t;

struct net {
	net_options_t options;
	net_callbacks_t callbacks;
	GRand *random;
	int64_t now_us;
	uint64_t event_count;	 /* events scheduled so far */
	uint64_t process_starts; /* incarnations are derived from this count */
	GSequence *events;	 /* net_event_t *, in order of time */
	GPtrArray *nodes;	 /* net_node_t *, by id */
	GHashTable *nodes_by_name;
	GPtrArray *log;	   /* log_entry_t *, all committed */
	GArray *cut_links; /* cut_link_t */
	int leader;	   /* node id, or NET_NO_NODE */
	uint64_t term;	   /* of the leader */
};

/* relay_net.c */

/* Applies log entries to the feed of a control replica until it has applied the given number. */
void net_apply_log(net_t *net, net_node_t *node, size_t length);

/* relay_net_events.c */

void net_event_free(void *data);
/* Schedules an event after a delay. */
void net_schedule_event(net_t *net, net_event_t event, int64_t delay_us);
/* Sends a message over a link, which may drop, duplicate or delay it. */
void net_transmit(net_t *net, net_node_t *from, net_node_t *to, const Caraway__Message *message);
/* Steps the relay of a node and performs the actions that it returns. */
void net_step(net_t *net, net_node_t *node, const cw_relay_event_t *event);

#endif
