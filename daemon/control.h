/* The control role: one replica of the control state, run by one thread. */
#ifndef CONTROL_H
#define CONTROL_H

#include "gateway.h"
#include "metrics.h"
#include "relay_io.h"
#include "settings.h"
#include "store.h"

typedef enum {
	PENDING_COMMAND,      /* an operator's command */
	PENDING_QUERY,	      /* an operator's query that a quorum must confirm */
	PENDING_ACTIVATION,   /* a change that has fallen due */
	PENDING_REGISTRATION, /* a VM announced by its proxy */
	PENDING_CONFIRMATION, /* of leadership, for the relay */
	PENDING_REPLACEMENT,  /* a complete configuration on its way into the log */
	PENDING_RELEASE	      /* what a quorum must confirm about the release in force */
} pending_request_type_t;

/* Told once how a request of the gateway ended; the message is set unless the status is CW_OK. */
typedef void (*control_callback_t)(void *data, cw_status_t status, const char *message);

/* A complete configuration that an operator wants in force. */
typedef struct {
	uint64_t release;
	uint64_t base;
	Caraway__Content *complete; /* owned */
	uint64_t digest;
} control_replacement_t;

/* A request of the gateway that waits for the log. */
typedef struct {
	control_callback_t callback;
	void *data;
	control_replacement_t *replacement; /* owned; NULL when only the release in force is asked for */
} control_gateway_request_t;

/* Something asked of the replicated log and not yet answered. */
typedef struct {
	pending_request_type_t type;
	uint64_t cookie;
	uint64_t index; /* in the log; 0 until it has one */
	uint64_t term;
	int64_t deadline_ms;
	union {
		struct {
			GBytes *peer;
			Caraway__OperatorRequest *request;
		} operator_request;		   /* COMMAND, QUERY */
		char *vm;			   /* REGISTRATION */
		uint64_t relay_cookie;		   /* CONFIRMATION */
		control_gateway_request_t gateway; /* REPLACEMENT, RELEASE */
	};
} pending_request_t;

enum {
	LATE_ACTIVATION_MS = 1000, /* an activation later than this after its due time counts as late */
	FIRST_INCARNATION = 1
};

struct control {
	const control_settings_t *settings;
	link_server_t *server;
	link_clients_t *clients;
	poller_t *poller;
	const gateway_t *gateway; /* NULL: none */
	metrics_t *metrics;	  /* NULL: none */
	void *gateway_state;
	store_t *store;
	cw_raft_t *raft;
	cw_ledger_t *ledger;
	relay_io_t io; /* passes feed and members to the proxies */
	cw_members_t *members;
	GHashTable *pending;		   /* cookie -> pending_t */
	GHashTable *pending_by_index;	   /* log index -> borrowed pending_t */
	GHashTable *pending_registrations; /* VM -> the same, while a registration is pending */
	GArray *confirmed_cookies;	   /* relay cookies to hand on */
	GArray *unconfirmed_cookies;	   /* those of confirmations that were refused */
	uint64_t applied_index;
	uint64_t snapshot_index;
	uint64_t last_cookie;
	int64_t next_registration_ms; /* when endpoints are next compared with the registered VMs */
	uint64_t notified_feed_index; /* last told to the relay */
	uint64_t notified_term;
	uint32_t notified_leader_id;
	bool notified_is_leader;
	bool activation_pending;
	bool storage_failed;
	int64_t next_recovery_ms; /* when to open the failed data folder again */
};

/* control_replica.c: the replicated log and what it applies to. */
cw_status_t control_replica_open(control_t *control, const settings_t *settings);
void control_replica_close(control_t *control);
void control_replica_retry_storage(control_t *control, const settings_t *settings);
/* Takes the addresses of other settings. */
void control_set_replica_addresses(control_t *control, const settings_t *settings);
/* Gives an event to the replicated log and carries out what follows. */
void control_step(control_t *control, const cw_raft_event_t *event);
/* Proposes a command; the answer comes to the pending entry, which is taken over. */
void control_propose(control_t *control, pending_request_t *pending, Caraway__Command *command);
/* Asks a quorum to confirm leadership; the answer comes to the pending entry, which is taken over. */
void control_confirm_leadership(control_t *control, pending_request_t *pending);
bool control_is_leader(const control_t *control);
const char *control_voter_address(const control_t *control, uint32_t id);
const char *control_role_name(cw_raft_role_t role);

/* control_pending.c: what waits for the replicated log. */
pending_request_t *pending_request_new(pending_request_type_t type, int64_t deadline_ms);
void pending_request_free(gpointer pending);
void control_expire_pending(control_t *control, int64_t now_ms);
/* Ends a pending entry: with the outcome of its command, or with the failure that it met. */
void control_finish_pending(control_t *control, pending_request_t *pending, cw_status_t status,
			    const char *message, const Caraway__Change *change);

/* control_operator.c: requests of operators. */
void control_handle_operator_request(control_t *control, GBytes *peer,
				     const Caraway__OperatorRequest *request);
void control_reply_to_operator(control_t *control, GBytes *peer, const Caraway__OperatorRequest *request,
			       cw_status_t status, const char *message, const Caraway__Change *change);
/* control_query.c: answers to queries, read from the state as it stands. */
cw_status_t control_answer_query(control_t *control, const Caraway__OperatorRequest *request,
				 Caraway__OperatorReply *reply);

/* control_release.c: complete configurations. */
/* Takes the replacement over; done is told when it is in force, or why it is not. */
void control_replace(control_t *control, control_replacement_t *replacement, control_callback_t callback,
		     void *data);
control_replacement_t *control_replacement_new(uint64_t release, uint64_t base, Caraway__Content *complete);
/* Told CW_OK once a quorum has confirmed what control->ledger holds as the release in force. */
void control_confirm_release(control_t *control, control_callback_t callback, void *data);
/* Ends a request of the gateway; called by control_pending_finish(). */
void control_finish_gateway_request(control_t *control, pending_request_t *pending, cw_status_t status,
				    const char *message);
void control_replacement_free(control_replacement_t *replacement);

/* control_source.c: what a replica does for proxies: the relay, registrations, activations. */
void control_relay_open(control_t *control, const settings_t *settings);
void control_relay_close(control_t *control);
void control_relay_tick(control_t *control);
void control_relay_stop(control_t *control);

#endif
