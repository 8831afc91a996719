/* Settings of a daemon, read from one INI file and validated as a whole. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "headers.h"
#include "keys.h"
#include "libcaraway.h"

typedef enum { ROLE_CONTROL, ROLE_PROXY } role_t;

/* A control replica as named in the settings: "1=127.0.0.1:7101". */
typedef struct {
	uint32_t id;
	char *address;
} control_address_t;

typedef struct {
	uint32_t id;
	char *listen; /* HOST:PORT */
	char *data_folder;
	uint32_t heartbeat_ms;
	uint32_t election_ms;
	uint32_t leader_lease_ms;
	uint32_t endpoint_lease_ms;
	uint32_t snapshot_entries; /* applied entries between snapshots */
	uint32_t feed_keep_records;
	uint32_t children;   /* most proxies that pull from this replica */
	uint32_t zone_heads; /* most of them in one availability zone */
	uint32_t stamp_ms;   /* between the stamps of a leader */
	uint32_t
		losses; /* replicas lost at once that are borne: twice as many and one vote; 0: those of the list */
	bool bootstrap; /* an empty data folder is that of a new mesh, whose first voters are the seeds */
	char *operator_listen; /* HOST:PORT of the gateway's operators; empty: none */
	char *operator_name;   /* of the account that the gateway's requests are recorded under */
	char *approval;	       /* the standing approval of complete configurations of that account */
} control_settings_t;

typedef struct {
	char *vm;
	char *zone;
	char *region;
	char *service;	       /* of the target beside this proxy */
	char *listen;	       /* HOST:PORT for callers, HTTP */
	char *call_listen;     /* HOST:PORT for calls from other proxies */
	char *feed_listen;     /* HOST:PORT for children and queries */
	char *call_announce;   /* HOST:PORT where others reach call_listen; empty: there */
	char *feed_announce;   /* HOST:PORT where others reach feed_listen; empty: there */
	char *target;	       /* HOST:PORT of the target beside this proxy */
	uint32_t slots;	       /* calls the target runs at once */
	uint32_t connections;  /* most callers' connections */
	uint32_t queue;	       /* calls that may wait for a slot */
	uint32_t timeout_ms;   /* of a call whose caller and service give none */
	uint32_t freshness_ms; /* a parent without a newer stamp for this long is left */
	uint32_t hold_ms;      /* longest time a pull is held without news */
	uint32_t batch_ms;     /* longest time a change of endpoints waits for others */
	uint32_t report_ms;    /* between reports that renew the lease of the endpoint */
	uint32_t children;     /* most proxies that pull from this one */
	uint32_t zone_heads;   /* proxies of a zone that pull from each control replica */
	uint32_t feed_keep_records;
	char *target_listen; /* HOST:PORT where the target announces itself; empty: it does not */
	char *ready_listen; /* HOST:PORT where this proxy is asked whether callers may be sent; empty: none */
	header_names_t headers;
	uint32_t grace_ms;	/* from the signal of a planned stop until the process is killed */
	uint32_t retry_percent; /* retries allowed, as a share of calls */
} proxy_settings_t;

typedef struct {
	role_t role;
	GArray *controls;	      /* control_address_t, every replica */
	GPtrArray *control_addresses; /* char *, of the same, owned by the list above */
	char *log_level;
	char *metrics_listen; /* HOST:PORT where counters and histograms are served; empty: nowhere */
	keys_t *keys;
	control_settings_t control;
	proxy_settings_t proxy;
} settings_t;

cw_status_t settings_load(const char *file, settings_t **settings);
/* Reads the list of control replicas and the keys, for programs that only talk to them. */
cw_status_t settings_load_access(const char *file, GArray **controls, keys_t **keys);
void settings_free(settings_t *settings);

#endif
