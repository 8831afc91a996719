/* The replicated log of a control replica and the ledger that its entries are applied to. */
#include "clock.h"
#include "control.h"
#include "counters.h"
#include "log.h"
#include "run.h"
#include "settings_replicas.h"

#include <inttypes.h>

enum {
	MAX_APPEND_BYTES = 1 << 20,
	STORAGE_RETRY_MS = 1000 /* between attempts to reopen a failed data folder: one or two elections */
};

/* Stops this replica's part in Raft after a storage failure; queries of its status are still answered. */
static void fail_storage(control_t *control)
{
	cw_raft_event_t event = {.type = CW_RAFT_EV_STORAGE_FAILED};

	if (control->storage_failed)
		return;
	control->storage_failed = true;
	control->next_recovery_ms = clock_now_ms() + STORAGE_RETRY_MS;
	counter_add(COUNTER_STORAGE_FAILED, 1);
	log_error("storage-failed", LOG_STR("message", cw_last_error_message()), LOG_END);
	control_raft_step(control, &event);
}

/* Writes a snapshot of the ledger once enough entries have been applied, and removes them from the log. */
void control_take_snapshot_if_due(control_t *control)
{
	cw_raft_event_t event = {.type = CW_RAFT_EV_SNAPSHOT_TAKEN};
	int64_t start_ms = clock_now_ms();
	GBytes *state;
	cw_status_t status;

	if (control->applied_index < control->snapshot_index + control->settings->snapshot_entries)
		return;
	state = cw_ledger_save(control->ledger);
	event.data = g_bytes_get_data(state, &event.length);
	event.index = control->applied_index;
	status = store_save_snapshot(control->store, event.index, cw_raft_term_at(control->raft, event.index),
				     cw_raft_membership_at(control->raft, event.index), event.data,
				     event.length, true);
	if (status == CW_OK) {
		control->snapshot_index = control->applied_index;
		counter_add(COUNTER_SNAPSHOT_TAKEN, 1);
		control_raft_step(control, &event);
	} else {
		fail_storage(control);
	}
	g_bytes_unref(state);
	control_add_work(control, WORK_SNAPSHOT, start_ms);
}

/* Replaces the ledger and the log by a snapshot from the leader. */
static cw_status_t install_snapshot(control_t *control, const cw_raft_action_t *action)
{
	gsize length;
	const void *data = g_bytes_get_data(action->snapshot, &length);
	cw_status_t status = store_save_snapshot(control->store, action->index, action->term,
						 action->membership, data, length, false);

	if (status != CW_OK)
		return status;
	control_apply_restart(control); /* the ledger must not be loaded while one is in progress */
	status = cw_ledger_load(control->ledger, data, length);
	if (status != CW_OK)
		return status;
	control_apply_reset(control, action->index);
	control->snapshot_index = action->index;
	return CW_OK;
}

/* Sends a Raft message to another replica.  Raft retransmits, so a send error is ignored. */
static void send_raft(control_t *control, const cw_raft_action_t *action)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;

	message.body_case = CARAWAY__MESSAGE__BODY_RAFT;
	message.raft = action->message;
	link_clients_send(control->clients, action->address, &message);
}

/* Records the index and term that a proposal was given in the log. */
static void record_log_position(control_t *control, const cw_raft_action_t *action)
{
	pending_request_t *pending = g_hash_table_lookup(control->pending, &action->cookie);

	if (!pending)
		return;
	pending->index = action->index;
	pending->term = action->term;
	g_hash_table_insert(control->pending_by_index, &pending->index, pending);
}

/* Completes the pending request with this cookie, if there still is one. */
static void finish_by_cookie(control_t *control, uint64_t cookie, cw_status_t status, const char *message)
{
	pending_request_t *pending = g_hash_table_lookup(control->pending, &cookie);

	if (pending)
		control_finish_pending(control, pending, status, message, NULL);
}

/* Completes a read that a quorum has confirmed. */
void control_finish_read(control_t *control, uint64_t cookie)
{
	finish_by_cookie(control, cookie, CW_OK, "");
}

/* Returns the error message for a refusal by Raft. */
static const char *refusal_message(cw_status_t status)
{
	switch (status) {
	case CW_ERR_NOT_LEADER:
		return "this replica is not the leader";
	case CW_ERR_NO_QUORUM:
		return "no leader is known to this replica; there may be no quorum";
	default:
		return "the replicated log refused the command";
	}
}

/* Completes a request that Raft refused; counts it as no-quorum, or as not-leader for any other status. */
static void finish_refused(control_t *control, const cw_raft_action_t *action)
{
	counter_add(action->status == CW_ERR_NO_QUORUM ? COUNTER_NO_QUORUM : COUNTER_NOT_LEADER, 1);
	finish_by_cookie(control, action->cookie, action->status, refusal_message(action->status));
}

/* Logs a change of role; the next iteration of the event loop notifies the relay. */
static void log_role_change(const control_t *control)
{
	cw_raft_role_t role = cw_raft_role(control->raft);

	log_info("role", LOG_STR("role", control_role_name(role)),
		 LOG_UINT("term", cw_raft_term(control->raft)),
		 LOG_UINT("leader", cw_raft_leader_id(control->raft)), LOG_END);
	if (role == CW_RAFT_LEADER)
		counter_add(COUNTER_ELECTION, 1);
}

/* Executes one Raft action. */
static cw_status_t execute_action(control_t *control, const cw_raft_action_t *action)
{
	switch (action->type) {
	case CW_RAFT_AC_SAVE_TERM:
		return store_save_term(control->store, action->term, action->voted_id,
				       action->voted_incarnation);
	case CW_RAFT_AC_SAVE_INCARNATION:
		log_warning("identity-renewed", LOG_UINT("incarnation", action->incarnation), LOG_END);
		return store_save_incarnation(control->store, action->incarnation);
	case CW_RAFT_AC_APPEND:
		return store_append_entries(control->store, action->entries);
	case CW_RAFT_AC_INSTALL:
		return install_snapshot(control, action);
	case CW_RAFT_AC_SEND:
		send_raft(control, action);
		break;
	case CW_RAFT_AC_APPLY:
		control_apply_entry(control, action->entry);
		break;
	case CW_RAFT_AC_PROPOSED:
		record_log_position(control, action);
		break;
	case CW_RAFT_AC_READ_READY:
		control_apply_read(control, action->cookie);
		break;
	case CW_RAFT_AC_REFUSED:
		finish_refused(control, action);
		break;
	case CW_RAFT_AC_ROLE:
		log_role_change(control);
		break;
	}
	return CW_OK;
}

/* A proposal or a read that Raft has not been asked for yet. */
typedef struct {
	cw_raft_event_type_t type;
	uint64_t cookie;
	GBytes *data; /* the packed command of a proposal; NULL: a read */
} raft_request_t;

/* Passes an event to Raft and executes the resulting actions in order, up to the first that fails. */
static void execute_step(control_t *control, const cw_raft_event_t *event)
{
	cw_raft_actions_t actions;
	cw_status_t status = CW_OK;

	cw_raft_actions_init(&actions);
	cw_raft_step(control->raft, event, clock_now_ms(), &actions);
	control->executing_actions = true;
	for (guint i = 0; i < actions.items->len && status == CW_OK; i++)
		status = execute_action(control, &g_array_index(actions.items, cw_raft_action_t, i));
	control->executing_actions = false;
	cw_raft_actions_clear(&actions);
	if (status != CW_OK)
		fail_storage(control);
	else if (!control->storage_failed)
		control_take_snapshot_if_due(control);
}

/* Passes the queued proposals and reads to Raft, also those that their own actions lead to. */
static void execute_requests(control_t *control)
{
	raft_request_t *request;

	while ((request = g_queue_pop_head(&control->requests))) {
		cw_raft_event_t event = {.type = request->type, .cookie = request->cookie};

		if (request->data)
			event.data = g_bytes_get_data(request->data, &event.length);
		execute_step(control, &event);
		if (request->data)
			g_bytes_unref(request->data);
		g_free(request);
	}
}

/*
 * Executes an event, then the requests that its actions have led to.  A request is
 * no part of the step that leads to it: its entry would be written to the disk
 * before those that the step has still to append.
 */
void control_raft_step(control_t *control, const cw_raft_event_t *event)
{
	execute_step(control, event);
	execute_requests(control);
}

/* Passes a proposal or a read to Raft, at once or when the present step has ended; takes ownership of the data. */
static void request_from_raft(control_t *control, cw_raft_event_type_t type, uint64_t cookie, GBytes *data)
{
	raft_request_t *request = g_new(raft_request_t, 1);

	*request = (raft_request_t){.type = type, .cookie = cookie, .data = data};
	g_queue_push_tail(&control->requests, request);
	if (!control->executing_actions)
		execute_requests(control);
}

/* Assigns a new cookie to a pending request and adds it to the table. */
static void add_pending(control_t *control, pending_request_t *pending)
{
	pending->cookie = ++control->last_cookie;
	g_hash_table_insert(control->pending, &pending->cookie, pending);
}

/* Proposes a command, with the current time, to be appended to the replicated log. */
void control_propose(control_t *control, pending_request_t *pending, Caraway__Command *command)
{
	GBytes *data;

	command->proposed_ms = clock_utc_ms();
	data = cw_message_pack(&command->base);
	control_spend_on_command(control, g_bytes_get_size(data));
	add_pending(control, pending);
	request_from_raft(control, CW_RAFT_EV_PROPOSE, pending->cookie, data);
}

/* Asks a quorum to confirm that this replica is the leader. */
void control_confirm_leadership(control_t *control, pending_request_t *pending)
{
	add_pending(control, pending);
	request_from_raft(control, CW_RAFT_EV_READ, pending->cookie, NULL);
}

/* Returns true while this replica is the leader and a quorum has confirmed that within the lease. */
bool control_has_leader_lease(const control_t *control)
{
	return cw_raft_role(control->raft) == CW_RAFT_LEADER &&
	       cw_raft_has_lease(control->raft, clock_now_ms());
}

/* Returns the address of a voter, borrowed from Raft; NULL when no voter has this id. */
const char *control_voter_address(const control_t *control, uint32_t id)
{
	const Caraway__Membership *membership = cw_raft_membership(control->raft);

	for (size_t i = 0; membership && i < membership->n_voters; i++)
		if (membership->voters[i]->id == id)
			return membership->voters[i]->address;
	return NULL;
}

/* Returns the name of a role, as logged and as shown to operators. */
const char *control_role_name(cw_raft_role_t role)
{
	switch (role) {
	case CW_RAFT_LEARNER:
		return "learner";
	case CW_RAFT_FOLLOWER:
		return "follower";
	case CW_RAFT_PRE_CANDIDATE:
	case CW_RAFT_CANDIDATE:
		return "candidate";
	case CW_RAFT_LEADER:
		return "leader";
	case CW_RAFT_FAILED:
		return "failed";
	}
	return "unassigned";
}

/* Returns a membership in which every replica of the settings is a voter with the given incarnation. */
static Caraway__Membership *membership_from_settings(const settings_t *settings, uint64_t incarnation)
{
	Caraway__Membership membership = CARAWAY__MEMBERSHIP__INIT;
	guint count = settings->control_replicas->len;
	Caraway__Replica *replicas = g_new(Caraway__Replica, count);
	Caraway__Replica **voters = g_new(Caraway__Replica *, count);
	Caraway__Membership *copy;

	for (guint i = 0; i < count; i++) {
		const control_replica_t *listed =
			&g_array_index(settings->control_replicas, control_replica_t, i);

		caraway__replica__init(&replicas[i]);
		replicas[i].id = listed->id;
		replicas[i].incarnation = incarnation;
		replicas[i].address = listed->address;
		voters[i] = &replicas[i];
	}
	membership.n_voters = count;
	membership.voters = voters;
	copy = cw_message_copy(&membership.base);
	g_free(voters);
	g_free(replicas);
	return copy;
}

/* Creates the Raft state machine from the state loaded from the data folder. */
static void create_raft(control_t *control, const settings_t *settings, const cw_raft_stored_t *stored)
{
	Caraway__Membership *membership = membership_from_settings(settings, 0);
	const char *listed_address = replica_list_find(settings->control_replicas, control->settings->id);
	cw_raft_options_t options = {
		.id = control->settings->id,
		.incarnation = store_incarnation(control->store),
		.address = (char *)(listed_address ? listed_address : control->settings->listen),
		.heartbeat_ms = control->settings->heartbeat_ms,
		.election_ms = control->settings->election_ms,
		.lease_ms = control->settings->leader_lease_ms,
		.seed = clock_incarnation() + control->settings->id,
		.max_append_bytes = MAX_APPEND_BYTES,
		.voter_count = control->settings->losses ? 2 * control->settings->losses + 1 : 0,
		.replicas = (const Caraway__Replica *const *)membership->voters,
		.replica_count = membership->n_voters,
	};

	control->raft = cw_raft_new(&options, stored, clock_now_ms());
	cw_message_free(membership);
}

/* Replaces the list of replicas, from which Raft takes their addresses, by that of the settings. */
void control_set_replicas(control_t *control, const settings_t *settings)
{
	Caraway__Membership *membership = membership_from_settings(settings, 0);

	cw_raft_set_replicas(control->raft, (const Caraway__Replica *const *)membership->voters,
			     membership->n_voters);
	cw_message_free(membership);
}

/*
 * Writes the initial state of this replica when the settings start a new mesh
 * and list it.  A data folder that holds state already is left unchanged.
 */
static cw_status_t bootstrap(const settings_t *settings)
{
	cw_status_t status;

	if (!settings->control.bootstrap ||
	    !replica_list_find(settings->control_replicas, settings->control.id))
		return CW_OK;
	status = control_format_data_folder(settings);
	return status == CW_ERR_STATE ? CW_OK : status;
}

/* Loads the ledger and the log from the data folder; an error status means that it cannot be used. */
cw_status_t control_replica_open(control_t *control, const settings_t *settings)
{
	const cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};
	cw_raft_stored_t stored = {0};
	GBytes *snapshot = NULL;
	cw_status_t status = bootstrap(settings);

	if (status == CW_OK)
		status = store_open(control->settings->data_folder, &control->store, &stored, &snapshot);

	if (status != CW_OK)
		return status;
	control->ledger = cw_ledger_new(control->settings->feed_keep_records);
	if (snapshot) {
		gsize length;
		const void *data = g_bytes_get_data(snapshot, &length);

		status = cw_ledger_load(control->ledger, data, length);
		g_bytes_unref(snapshot);
	}
	if (status == CW_OK) {
		control_apply_reset(control, stored.snapshot_index);
		control->snapshot_index = stored.snapshot_index;
		control->apply_budget = SIZE_MAX;
		create_raft(control, settings, &stored);
		/* Applies the entries known to be committed, while a replica that just started refuses votes. */
		control_raft_step(control, &tick);
	}
	store_clear_raft_state(&stored);
	return status;
}

/* Reopens the data folder and recreates Raft from it, as after a restart; the ledger in memory is kept. */
static cw_status_t reopen_storage(control_t *control, const settings_t *settings)
{
	const cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};
	cw_raft_stored_t stored = {0};
	GBytes *snapshot = NULL;
	cw_status_t status;

	store_close(control->store);
	control->store = NULL;
	status = store_open(control->settings->data_folder, &control->store, &stored, &snapshot);
	if (status != CW_OK)
		return status;
	if (snapshot)
		g_bytes_unref(snapshot);
	cw_raft_free(control->raft);
	create_raft(control, settings, &stored);
	control->notified_term = 0; /* the next tick notifies the relay of the role again */
	control->snapshot_index = stored.snapshot_index;
	control->storage_failed = false;
	store_clear_raft_state(&stored);
	control_raft_step(control, &tick);
	return CW_OK;
}

/*
 * Takes part in the replicated log again once the data folder is usable, for
 * example after a full disk.  Opening rewrites and syncs the log, so that
 * nothing left by a failed write or sync is assumed to be durable.
 */
void control_replica_retry_storage(control_t *control, const settings_t *settings)
{
	if (!control->storage_failed || clock_now_ms() < control->next_recovery_ms)
		return;
	control->next_recovery_ms = clock_now_ms() + STORAGE_RETRY_MS;
	if (reopen_storage(control, settings) == CW_OK)
		log_info("storage-recovered", LOG_UINT("applied", control->applied_index), LOG_END);
	else
		log_warning("storage-still-failed", LOG_STR("message", cw_last_error_message()), LOG_END);
}

/* Frees Raft and the ledger, and closes the data folder. */
void control_replica_close(control_t *control)
{
	if (control->raft)
		cw_raft_free(control->raft);
	control_apply_reset(control, 0);
	if (control->ledger)
		cw_ledger_free(control->ledger);
	if (control->store)
		store_close(control->store);
}

/* Writes the initial state of a replica: all replicas of the settings are voters with FIRST_INCARNATION. */
cw_status_t control_format_data_folder(const settings_t *settings)
{
	Caraway__Membership *membership = membership_from_settings(settings, FIRST_INCARNATION);
	cw_status_t status = store_format(settings->control.data_folder, FIRST_INCARNATION, membership);

	cw_message_free(membership);
	return status;
}
