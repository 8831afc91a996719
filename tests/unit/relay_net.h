/*
 * Relays on a network of virtual time: control replicas with a faked replicated
 * log, proxies, links that delay, lose, double and damage.  Everything follows
 * from the seed.  Used by the relay's scripted runs and by its bench.
 */
#ifndef RELAY_NET_H
#define RELAY_NET_H

#include "libcaraway.h"

enum { NET_NO_NODE = -1 };

typedef struct {
	uint32_t controls;
	uint32_t zones;
	uint32_t proxies; /* over all zones */
	uint64_t seed;
	int64_t link_us;	 /* one way between two processes */
	int64_t jitter_us;	 /* at most, on top */
	uint32_t double_percent; /* messages delivered twice */
	uint32_t late_percent;	 /* messages that others overtake */
	uint32_t freshness_ms;
	uint32_t hold_ms;
	uint32_t batch_ms;
	uint32_t stamp_ms;
	uint32_t report_ms;
	uint32_t lease_ms;
	uint32_t children;
	uint32_t heads;
	uint32_t keep_records;
	bool no_floor;	 /* a variant that uses what it has at once */
	bool no_members; /* bench: endpoints are not announced */
	bool direct;	 /* bench: every proxy pulls from a control replica */
} net_options_t;

typedef struct net net_t;

typedef struct {
	int id;
	char *name; /* VM, and address */
	char *zone;
	bool control;
	uint64_t incarnation;
	cw_feed_t *feed;
	cw_members_t *members;
	cw_relay_t *relay; /* NULL while the process is down */
	bool damages;	   /* changes what it sends down */
	bool lags;	   /* control: hears the leader but does not apply the log */
	size_t applied;	   /* control: entries of the log */
	uint64_t tick_token;
	int64_t tick_us;
	uint64_t used_version; /* configuration in use; 0: none */
	uint64_t sequence;     /* of its endpoint */
	uint64_t sent_bytes;
	uint64_t sent_down_bytes; /* of those, in answers to children */
	uint64_t sent_messages;
	uint64_t received_bytes;
	uint64_t counts[CW_RELAY_COUNTER_COUNT];
} net_node_t;

/* Told of what can be seen from outside: configurations in use, and messages. */
typedef struct {
	void *data;
	void (*use)(void *data, const net_node_t *node, const cw_config_t *config, int64_t now_us);
	void (*start)(void *data, const net_node_t *node, int64_t now_us);
	void (*message)(void *data, const net_node_t *from, const net_node_t *to,
			const Caraway__Message *message, bool delivered, int64_t now_us);
	void (*leave)(void *data, const net_node_t *node); /* closes the connection to its parent */
} net_watch_t;

net_options_t net_defaults(void);
net_t *net_new(const net_options_t *options, const net_watch_t *watch);
void net_free(net_t *net);
int64_t net_now_us(const net_t *net);
size_t net_node_count(const net_t *net);
net_node_t *net_node(const net_t *net, size_t id);
net_node_t *net_find(const net_t *net, const char *name);
void net_run(net_t *net, int64_t duration_us);
/* Stops a process without notice; starts it anew with nothing but, for a control replica, the log. */
void net_kill(net_t *net, net_node_t *node);
void net_start(net_t *net, net_node_t *node);
/* Lets one of the control replicas lead; the one before does not hear of it unless told. */
void net_elect(net_t *net, net_node_t *node, bool tell_old);
net_node_t *net_leader(const net_t *net);
/* Loses every message from one to the other; NULL stands for all. */
void net_cut(net_t *net, const net_node_t *from, const net_node_t *to);
void net_heal(net_t *net);
/* Entries of the replicated log; committed at once when there is a leader. */
void net_stage(net_t *net, uint64_t number, const Caraway__Content *content);
void net_activate(net_t *net, uint64_t number);
/* Announces another state of a proxy's endpoint. */
void net_announce(net_t *net, net_node_t *node, Caraway__EndpointState state);
/* Puts a message on the way as if a node had sent it. */
void net_inject(net_t *net, net_node_t *from, net_node_t *to, const Caraway__Message *message);

#endif
