/* Settings of a daemon, read from one INI file and validated as a whole. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "headers.h"
#include "keys.h"
#include "libcaraway.h"

typedef enum { ROLE_CONTROL, ROLE_PROXY } role_t;

/* A control replica listed in the settings: "1 = 127.0.0.1:7101". */
typedef struct {
	uint32_t id;
	char *address;
} control_replica_t;

typedef struct {
	uint32_t id;  /* as listed; derived from the listen address when the file sets none */
	char *listen; /* HOST:PORT for replicas, proxies and operators */
	char *data_folder;
	uint32_t heartbeat_ms;	    /* interval between heartbeats while this replica is the leader */
	uint32_t election_ms;	    /* least time without a leader before an election */
	uint32_t leader_lease_ms;   /* a leader that no quorum has confirmed for this long stops serving */
	uint32_t endpoint_lease_ms; /* an endpoint whose proxy sends no report for this long counts as gone */
	uint32_t snapshot_entries;  /* applied log entries between snapshots */
	uint32_t feed_keep_records; /* feed records kept for children that resume */
	uint32_t children;	    /* maximum number of proxies that pull from this replica */
	uint32_t zone_heads;	    /* maximum number of those children in one availability zone */
	uint32_t stamp_ms;	    /* interval between stamps while this replica is the leader */
	/* Simultaneous replica failures to tolerate, with 2 * losses + 1 voters; 0: all listed replicas vote. */
	uint32_t losses;
	bool bootstrap;	       /* an empty data folder starts a new mesh, whose first voters are the seeds */
	char *operator_listen; /* HOST:PORT where the gateway accepts operator requests; empty: none */
	char *operator_name;   /* account under which the gateway's requests are recorded */
	char *approval;	       /* reference to the standing approval for that account's full replacements */
} control_settings_t;

typedef struct {
	char *vm;
	char *zone;
	char *region;
	char *service;	       /* of the local target */
	char *listen;	       /* HOST:PORT for HTTP requests of callers */
	char *call_listen;     /* HOST:PORT for calls from other proxies */
	char *feed_listen;     /* HOST:PORT for child proxies and queries */
	char *call_announce;   /* HOST:PORT advertised for call_listen; empty: call_listen itself */
	char *feed_announce;   /* HOST:PORT advertised for feed_listen; empty: feed_listen itself */
	char *target;	       /* HOST:PORT of the local target */
	uint32_t slots;	       /* calls that the target runs concurrently */
	uint32_t connections;  /* maximum number of caller connections */
	uint32_t queue;	       /* maximum number of calls that wait for a slot */
	uint32_t memory_mb;    /* that the process may use; bounds the bodies of requests that it holds */
	uint32_t timeout_ms;   /* of a call when neither the caller nor the service sets one */
	uint32_t freshness_ms; /* switch parents when no newer stamp arrives for this long */
	uint32_t hold_ms;      /* maximum time that a pull request is held open when there is no update */
	uint32_t batch_ms;     /* maximum time that an endpoint change waits to be sent with others */
	uint32_t report_ms;    /* interval between the reports that renew the endpoint lease */
	uint32_t children;     /* maximum number of proxies that pull from this one */
	uint32_t zone_heads;   /* proxies of a zone that pull from each control replica */
	uint32_t feed_keep_records; /* feed records kept for children that resume */
	char *target_listen;	    /* HOST:PORT where the target announces itself; empty: it does not */
	char *ready_listen;	    /* HOST:PORT of the readiness endpoint; empty: none */
	header_names_t headers;
	/* Keys of client accounts count for this long after the configuration was confirmed; 0: always. */
	uint32_t key_lease_ms;
	uint32_t allotment_window_ms; /* over which the rates of client accounts hold; 0: a token bucket */
	uint32_t allotment_overage_permille; /* by which a window may exceed the limit of an account */
	uint32_t grace_ms;	/* from the signal of a planned stop until the process is killed */
	bool cost_aware;	/* balancing by the cost of calls */
	bool fair_shares;	/* of client accounts, at the receiver */
	uint32_t retry_percent; /* retry budget, as a percentage of calls */
	/* Part of memory_mb for the account of waiting bytes. */
	uint32_t waiting_memory_percent;
	/* While that is full, a caller that has read nothing for this long may be closed. */
	uint32_t slow_reader_ms;
} proxy_settings_t;

typedef struct {
	role_t role;
	GArray *control_replicas;     /* control_replica_t, every listed control replica */
	GPtrArray *control_addresses; /* char *, their addresses; strings owned by control_replicas */
	char *log_level;
	char *metrics_listen; /* HOST:PORT that serves counters and histograms; empty: none */
	keys_t *keys;
	control_settings_t control;
	proxy_settings_t proxy;
} settings_t;

/* Loads and validates all settings of a daemon. */
cw_status_t settings_load(const char *file, settings_t **settings);
/* Loads only the list of control replicas and the keys, for clients of the control replicas. */
cw_status_t settings_load_client(const char *file, GArray **replicas, keys_t **keys);
void settings_free(settings_t *settings);
/* Returns the bytes that the bodies of all requests in progress may take; 0: without limit. */
size_t settings_body_memory(const proxy_settings_t *settings);
/* Returns the bytes that the body of one answer may take; 0: without limit. */
size_t settings_answer_memory(const proxy_settings_t *settings);
/* Returns the limit of the account of waiting bytes; 0: without limit. */
size_t settings_waiting_memory(const proxy_settings_t *settings);

#endif
