/* The control role: one replica of the replicated control state, run by a single thread. */
#ifndef CONTROL_H
#define CONTROL_H

#include "gateway.h"
#include "metrics.h"
#include "relay_io.h"
#include "run.h"
#include "settings.h"
#include "store.h"

typedef enum {
	PENDING_COMMAND,      /* an operator's command */
	PENDING_QUERY,	      /* an operator's query, answered once a quorum has confirmed leadership */
	PENDING_ACTIVATION,   /* the activation of a change whose due time has come */
	PENDING_REGISTRATION, /* the registration of a VM that its proxy announced */
	PENDING_CONFIRMATION, /* a confirmation of leadership, requested by the relay */
	PENDING_REPLACEMENT,  /* a complete configuration proposed to the log */
	PENDING_RELEASE,      /* a confirmation of the release in force, for a read or a replacement */
	PENDING_ROLLOUT,      /* an order of a roll-out, or a confirmation of its state for a read */
	PENDING_ROLLOUT_STEP  /* a step or the verdict of a roll-out, proposed by this leader */
} pending_request_type_t;

/* Called once with the outcome of a gateway request; message is set unless status is CW_OK. */
typedef void (*control_callback_t)(void *data, cw_status_t status, const char *message);

/* A complete configuration that was submitted to the gateway, to replace the release in force. */
typedef struct {
	uint64_t release;	   /* number of the new release */
	uint64_t base_release;	   /* the release that it builds on */
	Caraway__Content *content; /* all sections of the configuration; owned */
	GPtrArray *owners;	   /* of the sections of content; NULL: content owns them */
	uint64_t digest;	   /* of the fields above; identifies a repeated submission */
} control_replacement_t;

/* A gateway request that waits for the replicated log. */
typedef struct {
	control_callback_t callback;
	void *data;			    /* argument of callback */
	control_replacement_t *replacement; /* owned; NULL: the request only reads the release in force */
} control_gateway_request_t;

/* A request to the replicated log that has no outcome yet. */
typedef struct {
	pending_request_type_t type;
	uint64_t cookie; /* identifies the request in Raft events and actions */
	uint64_t index;	 /* of the proposed log entry; 0 until the log has assigned one */
	uint64_t term;	 /* of that entry */
	int64_t deadline_ms;
	union {
		struct {
			GBytes *peer; /* identity of the operator's connection */
			Caraway__OperatorRequest *request;
		} operator_request;			   /* COMMAND, QUERY */
		char *vm;				   /* REGISTRATION */
		uint64_t relay_cookie;			   /* CONFIRMATION: of the relay action */
		control_gateway_request_t gateway_request; /* REPLACEMENT, RELEASE, ROLLOUT */
		uint64_t rollout;			   /* ROLLOUT_STEP: sequence number of the order */
	};
} pending_request_t;

/* What an iteration of the event loop spends its time on, as it is logged for a long one. */
typedef enum {
	WORK_DECODE,	 /* reading a configuration that was submitted */
	WORK_DIFFERENCE, /* between the release in force and a submitted one */
	WORK_APPLY,	 /* applying entries of the log */
	WORK_ENCODE,	 /* writing the release in force for a reader */
	WORK_SNAPSHOT,	 /* saving the ledger */
	WORK_RELAY,	 /* timers of the feed, of registrations and of due activations */
	WORK_KINDS
} work_kind_t;

enum {
	LATE_ACTIVATION_MS = 1000, /* an activation delayed by more than this counts as late */
	FIRST_INCARNATION = 1
};

struct control {
	const control_settings_t *settings;
	link_server_t *server;	 /* receives from replicas, proxies and operators */
	link_clients_t *clients; /* connections to the other replicas */
	poller_t *poller;
	const gateway_t *gateway; /* NULL: none */
	metrics_t *metrics;	  /* NULL: none */
	void *gateway_state;	  /* NULL: the gateway is not open */
	store_t *store;
	cw_raft_t *raft;
	cw_ledger_t *ledger;
	relay_io_t relay_io;		   /* sends the feed and the members to the proxies */
	cw_members_t *members;		   /* the endpoints of the proxies */
	GHashTable *pending;		   /* cookie -> pending_request_t */
	GHashTable *pending_by_index;	   /* log index -> borrowed pending_request_t */
	GQueue requests;		   /* raft_request_t *, for Raft once the present step has ended */
	bool executing_actions;		   /* of a step: requests wait */
	GHashTable *pending_registrations; /* set of names of VMs whose registration is pending */
	GArray *confirmed_cookies;	   /* uint64_t, of relay actions: leadership was confirmed */
	GArray *unconfirmed_cookies;	   /* uint64_t, of relay actions: leadership was not confirmed */
	GQueue apply_items;		   /* what waits to be applied, in order; see control_apply.c */
	cw_ledger_job_t *apply_job;	   /* of the first of them; NULL: not begun */
	size_t apply_budget;		   /* sections that may still be applied in this iteration */
	uint64_t applied_index;		   /* of the last log entry applied to the ledger */
	uint64_t delivered_index;	   /* of the last log entry that Raft has given out to be applied */
	uint64_t snapshot_index;	   /* of the last log entry in the newest snapshot */
	uint64_t last_cookie;		   /* of the newest pending request */
	GHashTable *rollouts;		   /* sequence number -> judged_rollout_t; see control_rollout.c */
	uint64_t noticed_rollouts;    /* revision of the roll-outs that the relay was given last, plus 1 */
	int64_t next_notices_ms;      /* when those are collected again, as ended ones are dropped */
	int64_t next_rollout_ms;      /* when roll-outs are judged next */
	int64_t next_registration_ms; /* when endpoints are next compared with the registered VMs */
	guint next_registration;      /* place in the list of endpoints at which that comparison begins */
	/* Feed index, term, leader and role as last passed to the relay. */
	uint64_t notified_feed_index;
	uint64_t notified_term;
	uint32_t notified_leader_id;
	bool notified_is_leader;
	int64_t work_ms[WORK_KINDS]; /* time spent in the present iteration */
	bool gateway_busy;	     /* its tick is to be called again at once */
	bool applying;		     /* items are being carried out: further ones wait */
	bool activation_pending;     /* an activation was proposed and has no outcome yet */
	bool storage_failed;	  /* this replica takes no part in Raft until the data folder is reopened */
	int64_t next_recovery_ms; /* when to reopen the data folder after a storage failure */
};

/* control.c: the parts of control_run(); *control is zero but for the gateway before control_open(). */
cw_status_t control_open(control_t *control, const settings_t *settings, link_context_t *context,
			 const run_signals_t *signals);
void control_run_iteration(control_t *control);
void control_close(control_t *control, link_context_t *context);
/* Adds the time since start_ms to the work of the present iteration. */
void control_add_work(control_t *control, work_kind_t kind, int64_t start_ms);

/* control_replica.c: the replicated log and the ledger that its entries are applied to. */
cw_status_t control_replica_open(control_t *control, const settings_t *settings);
void control_replica_close(control_t *control);
void control_replica_retry_storage(control_t *control, const settings_t *settings);
/* Replaces the list of replicas, from which Raft takes their addresses, by that of the settings. */
void control_set_replicas(control_t *control, const settings_t *settings);
/* Passes an event to the Raft state machine and executes the resulting actions; not called by one of them. */
void control_raft_step(control_t *control, const cw_raft_event_t *event);
/*
 * Proposes a command; takes ownership of the pending request, which receives the
 * outcome.  While the actions of a step are executed, this waits for their end.
 */
void control_propose(control_t *control, pending_request_t *pending, Caraway__Command *command);
/*
 * Asks a quorum to confirm that this replica is the leader; takes ownership of
 * the pending request, which receives the outcome.
 */
void control_confirm_leadership(control_t *control, pending_request_t *pending);
bool control_has_leader_lease(const control_t *control);
const char *control_voter_address(const control_t *control, uint32_t id);
const char *control_role_name(cw_raft_role_t role);

/* Writes a snapshot of the ledger when it is due; not called while the actions of a step are executed. */
void control_take_snapshot_if_due(control_t *control);
/* Completes a read that a quorum has confirmed. */
void control_finish_read(control_t *control, uint64_t cookie);

/* control_apply.c: applies the committed entries, each iteration as many as its budget allows. */
void control_apply_entry(control_t *control, const Caraway__Entry *entry);
void control_apply_read(control_t *control, uint64_t cookie);
void control_apply_continue(control_t *control);
/* Leaves less to be applied in this iteration, in which a command of a length is packed or unpacked. */
void control_spend_on_command(control_t *control, size_t length);
void control_apply_restart(control_t *control);
void control_apply_reset(control_t *control, uint64_t index);

/* control_pending.c: requests that wait for the replicated log. */
pending_request_t *pending_request_new(pending_request_type_t type, int64_t deadline_ms);
void pending_request_free(gpointer pending);
void control_expire_pending(control_t *control, int64_t now_ms);
/* Completes a pending request with the outcome of its command or with an error, and frees it. */
void control_finish_pending(control_t *control, pending_request_t *pending, cw_status_t status,
			    const char *message, const Caraway__Change *change);

/* control_operator.c: requests from operators. */
void control_handle_operator_request(control_t *control, GBytes *peer,
				     const Caraway__OperatorRequest *request);
void control_reply_to_operator(control_t *control, GBytes *peer, const Caraway__OperatorRequest *request,
			       cw_status_t status, const char *message, const Caraway__Change *change);
/* control_query.c: replies to queries, read from the current state. */
cw_status_t control_answer_query(control_t *control, const Caraway__OperatorRequest *request,
				 Caraway__OperatorReply *reply);

/* control_release.c: complete configurations. */
/* Takes ownership of the replacement; calls back once it is in force or was refused. */
void control_replace_configuration(control_t *control, control_replacement_t *replacement,
				   control_callback_t callback, void *data);
control_replacement_t *control_replacement_new(uint64_t release, uint64_t base_release,
					       Caraway__Content *content);
/* The same for a content whose services, routes and limits belong to owners; takes ownership of both. */
control_replacement_t *control_replacement_new_shared(uint64_t release, uint64_t base_release,
						      Caraway__Content *content, GPtrArray *owners);
/* Calls back with CW_OK once a quorum has confirmed that control->ledger holds the release in force. */
void control_confirm_release(control_t *control, control_callback_t callback, void *data);
/* Completes a gateway request; called by control_finish_pending(). */
void control_finish_gateway_request(control_t *control, pending_request_t *pending, cw_status_t status,
				    const char *message);
void control_replacement_free(control_replacement_t *replacement);

/* control_rollout.c: orders of roll-outs, and their steps and verdicts while this replica leads. */
/* Calls back once the order is committed or was refused. */
void control_begin_rollout(control_t *control, const Caraway__RolloutBegin *begin,
			   control_callback_t callback, void *data);
/* Calls back with CW_OK once a quorum has confirmed that control->ledger has the state of all roll-outs. */
void control_confirm_rollouts(control_t *control, control_callback_t callback, void *data);
/* Completes the proposal of a step or verdict; called by control_finish_pending(). */
void control_finish_rollout_step(control_t *control, uint64_t rollout, cw_status_t status,
				 const char *message);
/* Gives the relay the state of the roll-outs; to be called before it is told of confirmations. */
void control_rollout_notify(control_t *control);
void control_rollout_tick(control_t *control);
void control_rollout_close(control_t *control);

/* control_relay.c: the relay that serves the proxies, VM registrations and due activations. */
void control_relay_open(control_t *control, const settings_t *settings);
void control_relay_close(control_t *control);
void control_relay_tick(control_t *control);
void control_relay_stop(control_t *control);

#endif
