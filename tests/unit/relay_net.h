/*
 * Discrete-event simulation of relays: control replicas that share a simulated
 * replicated log, proxies, and links that delay, reorder, lose and duplicate
 * messages.  Time is virtual, and every run is determined by its seed.  Used by
 * the scripted tests of the relay and by bench_feed.
 */
#ifndef RELAY_NET_H
#define RELAY_NET_H

#include "libcaraway.h"

enum { NET_NO_NODE = -1 };

typedef struct {
	uint32_t control_replicas;
	uint32_t zones;
	uint32_t proxies; /* in all zones together */
	uint64_t seed;
	int64_t link_delay_us;	    /* one-way delay between two processes */
	int64_t jitter_us;	    /* upper limit of the random delay added to it */
	uint32_t duplicate_percent; /* messages delivered twice */
	uint32_t reorder_percent;   /* messages delayed so long that later ones overtake them */
	/* From freshness_ms to zone_heads: as in cw_relay_options_t; lease_ms is that of the member tables. */
	uint32_t freshness_ms;
	uint32_t hold_ms;
	uint32_t batch_ms;
	uint32_t stamp_ms;
	uint32_t report_ms;
	uint32_t lease_ms;
	uint32_t max_children;
	uint32_t zone_heads;
	uint32_t keep_records; /* newest records that the feed of a node keeps, at least */
	bool ignore_floor;     /* proxies use a configuration before the relay is ready */
	bool no_announcements; /* proxies do not announce their endpoints */
	bool direct;	       /* every proxy pulls from a control replica */
} net_options_t;

typedef struct net net_t;

typedef struct {
	int id;	    /* index of the node, control replicas first */
	char *name; /* VM of a proxy, or "control-1" and so on; also used as the address */
	char *zone;
	bool is_control_replica; /* control replica; otherwise a proxy */
	uint64_t incarnation;
	cw_feed_t *feed;
	cw_members_t *members;
	cw_relay_t *relay;	    /* NULL while the process is down */
	bool corrupts_messages;	    /* corrupts the updates that it sends to its children */
	bool log_paused;	    /* control replica: pulls from the leader but applies no log entries */
	size_t applied;		    /* control replica: number of log entries applied */
	uint64_t tick_token;	    /* identifies the pending tick; others are ignored */
	int64_t tick_us;	    /* time of the pending tick; -1: none */
	uint64_t used_version;	    /* version of the configuration in use; 0: none */
	uint64_t sequence;	    /* of the newest announcement of its endpoint */
	uint64_t sent_bytes;	    /* packed size of the messages sent, including lost ones */
	uint64_t sent_answer_bytes; /* the part of sent_bytes that is answers to children */
	uint64_t sent_messages;	    /* including lost ones */
	uint64_t received_bytes;
	uint64_t counters[CW_RELAY_COUNTER_COUNT]; /* by cw_relay_counter_t, over all processes of the node */
} net_node_t;

/* Callbacks for externally visible events: configurations in use, process starts and messages. */
typedef struct {
	void *data;
	/* A proxy starts to use a configuration. */
	void (*config_used)(void *data, const net_node_t *node, const cw_config_t *config, int64_t now_us);
	void (*process_started)(void *data, const net_node_t *node, int64_t now_us);
	/* A message is sent; delivered is false if it is lost. */
	void (*message_sent)(void *data, const net_node_t *from, const net_node_t *to,
			     const Caraway__Message *message, bool delivered, int64_t now_us);
	/* A proxy closes the connection to its parent. */
	void (*disconnected)(void *data, const net_node_t *node);
} net_callbacks_t;

net_options_t net_default_options(void);
/* Starts all processes, with control replica 0 as the leader; callbacks may be NULL. */
net_t *net_new(const net_options_t *options, const net_callbacks_t *callbacks);
void net_free(net_t *net);
int64_t net_now_us(const net_t *net);
size_t net_node_count(const net_t *net);
net_node_t *net_node(const net_t *net, size_t id);
net_node_t *net_find_node(const net_t *net, const char *name);
/* Runs the simulation for a duration of virtual time. */
void net_run(net_t *net, int64_t duration_us);
/* Stops a process without announcing it. */
void net_kill(net_t *net, net_node_t *node);
/* Starts a process without any state; a control replica applies the log. */
void net_start(net_t *net, net_node_t *node);
/* Makes a control replica the leader; the previous leader is notified only if notify_old is set. */
void net_elect(net_t *net, net_node_t *node, bool notify_old);
net_node_t *net_leader(const net_t *net);
/* Drops every later message from one node to another; NULL means all nodes. */
void net_cut(net_t *net, const net_node_t *from, const net_node_t *to);
/* Restores all links and replicates the log to all control replicas. */
void net_heal(net_t *net);
/* Commits a log entry that stages a change. */
void net_stage(net_t *net, uint64_t number, const Caraway__Content *content);
/* Commits a log entry that activates a staged change. */
void net_activate(net_t *net, uint64_t number);
/* Announces the endpoint of a proxy in a state. */
void net_announce_endpoint(net_t *net, net_node_t *node, Caraway__EndpointState state);
/* Sends a message on behalf of a node. */
void net_inject(net_t *net, net_node_t *from, net_node_t *to, const Caraway__Message *message);

#endif
