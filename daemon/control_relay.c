/* The relay of a control replica, which serves the proxies; VM registrations and due activations. */
#include "clock.h"
#include "control.h"
#include "counters.h"
#include "log.h"

#include <string.h>

enum {
	BATCH_MS = 100, /* longest time that an endpoint change waits to be sent with others */
	MAX_UPDATE_BYTES = 1 << 16,
	REPORTS_PER_LEASE = 3,		/* only an own endpoint is reported, which a replica has none of */
	REGISTRATION_INTERVAL_MS = 100, /* between comparisons of endpoints with registered VMs */
	/* Proposals in progress: hundreds at once would hold the thread for longer than an election timeout. */
	MAX_PENDING_REGISTRATIONS = 8,
	COMMAND_TIMEOUT_MS = 5000, /* for a proposal or confirmation to get an outcome */
	STAMP_DELAY_MS = 1000, /* of a stamp that is missed: then children should switch to another parent */
	HOLD_MS = 1000	       /* longest time that a pull is held when there is nothing to send */
};

/* Returns true when a VM has no record, or its record differs from the announced endpoint. */
static bool needs_registration(const Caraway__Vm *recorded, const Caraway__Endpoint *endpoint)
{
	if (!recorded)
		return true;
	return strcmp(recorded->zone, endpoint->zone) != 0 ||
	       strcmp(recorded->region, endpoint->region) != 0 ||
	       strcmp(recorded->service, endpoint->service) != 0;
}

/* Proposes the registration of a VM that is new or differs from its record. */
static void register_vm(control_t *control, const Caraway__Endpoint *endpoint)
{
	const cw_catalog_t *catalog = cw_feed_catalog(cw_ledger_feed(control->ledger));
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Register registration = CARAWAY__REGISTER__INIT;
	Caraway__Vm vm = CARAWAY__VM__INIT;
	pending_request_t *pending;

	if (!needs_registration(cw_catalog_vm(catalog, endpoint->vm), endpoint))
		return;
	if (!g_hash_table_add(control->pending_registrations, g_strdup(endpoint->vm)))
		return;
	vm.name = endpoint->vm;
	vm.zone = endpoint->zone;
	vm.region = endpoint->region;
	vm.service = endpoint->service;
	registration.vm = &vm;
	command.body_case = CARAWAY__COMMAND__BODY_REGISTER_VM;
	command.register_vm = &registration;
	pending = pending_request_new(PENDING_REGISTRATION, clock_now_ms() + COMMAND_TIMEOUT_MS);
	pending->vm = g_strdup(endpoint->vm);
	control_propose(control, pending, &command);
}

/*
 * Registers the known endpoints that still need it, a limited number at a time:
 * those announced, before this replica became leader too, and those whose
 * registration failed.  It goes on where it stopped, so that those that are
 * refused again and again do not keep the others from their turn.
 */
static void register_endpoints(control_t *control)
{
	GPtrArray *endpoints;

	if (clock_now_ms() < control->next_registration_ms || !control_has_leader_lease(control))
		return;
	control->next_registration_ms = clock_now_ms() + REGISTRATION_INTERVAL_MS;
	endpoints = cw_members_endpoints(control->members);
	for (guint i = 0; i < endpoints->len &&
			  g_hash_table_size(control->pending_registrations) < MAX_PENDING_REGISTRATIONS;
	     i++)
		register_vm(control,
			    g_ptr_array_index(endpoints, control->next_registration++ % endpoints->len));
	g_ptr_array_free(endpoints, TRUE);
}

/* Requests a confirmation of leadership for the relay. */
static void confirm_leadership(control_t *control, uint64_t cookie)
{
	pending_request_t *pending =
		pending_request_new(PENDING_CONFIRMATION, clock_now_ms() + COMMAND_TIMEOUT_MS);

	pending->relay_cookie = cookie;
	control_confirm_leadership(control, pending);
}

/* Handles the relay actions that are specific to a control replica. */
static void handle_relay_action(void *data, const cw_relay_action_t *action)
{
	control_t *control = data;

	switch (action->type) {
	case CW_RELAY_AC_CONFIRM:
		confirm_leadership(control, action->cookie);
		break;
	default:
		break;
	}
}

/* Creates the relay, which serves the ledger's feed and the member table. */
void control_relay_open(control_t *control, const settings_t *settings)
{
	cw_relay_t *relay;
	char *name = g_strdup_printf("replica-%u", control->settings->id);
	cw_relay_options_t options = {
		.kind = CW_RELAY_REPLICA,
		.vm = name,
		.zone = "",
		.incarnation = clock_incarnation(),
		.freshness_ms = settings->control.stamp_ms + STAMP_DELAY_MS,
		.hold_ms = HOLD_MS,
		.batch_ms = BATCH_MS,
		.stamp_ms = settings->control.stamp_ms,
		.report_ms = settings->control.endpoint_lease_ms / REPORTS_PER_LEASE,
		.max_children = settings->control.children,
		.zone_heads = settings->control.zone_heads,
		.max_update_bytes = MAX_UPDATE_BYTES,
		.seed = clock_incarnation(),
	};

	control->members = cw_members_new(0, settings->control.endpoint_lease_ms);
	relay = cw_relay_new(&options, cw_ledger_feed(control->ledger), control->members, clock_now_ms());
	relay_io_init(&control->relay_io, relay, control->server, control->clients);
	control->relay_io.on_action = handle_relay_action;
	control->relay_io.data = control;
	control->pending_registrations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	control->confirmed_cookies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	control->unconfirmed_cookies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_free(name);
}

/* Frees the relay; does nothing if control_relay_open() was never called. */
void control_relay_close(control_t *control)
{
	if (!control->relay_io.relay)
		return;
	relay_io_clear(&control->relay_io);
	cw_members_free(control->members);
	g_hash_table_destroy(control->pending_registrations);
	g_array_free(control->confirmed_cookies, TRUE);
	g_array_free(control->unconfirmed_cookies, TRUE);
}

/* Notifies the relay when the role, the term or the leader has changed. */
static void notify_role(control_t *control)
{
	bool is_leader = cw_raft_role(control->raft) == CW_RAFT_LEADER;
	uint64_t term = cw_raft_term(control->raft);
	uint32_t leader_id = cw_raft_leader_id(control->raft);
	cw_relay_event_t event = {.type = is_leader ? CW_RELAY_EV_LEAD : CW_RELAY_EV_FOLLOW, .term = term};

	if (is_leader == control->notified_is_leader && term == control->notified_term &&
	    leader_id == control->notified_leader_id)
		return;
	control->notified_is_leader = is_leader;
	control->notified_term = term;
	control->notified_leader_id = leader_id;
	if (!is_leader && leader_id)
		event.address = control_voter_address(control, leader_id);
	relay_io_step(&control->relay_io, &event);
}

/* Notifies the relay of the confirmations with one outcome, and clears their list. */
static void notify_confirmations(control_t *control, GArray *cookies, cw_relay_event_type_t type)
{
	for (guint i = 0; i < cookies->len; i++) {
		cw_relay_event_t event = {.type = type};

		event.cookie = g_array_index(cookies, uint64_t, i);
		relay_io_step(&control->relay_io, &event);
	}
	g_array_set_size(cookies, 0);
}

/* Notifies the relay when the feed has new records. */
static void notify_feed(control_t *control)
{
	cw_relay_event_t event = {.type = CW_RELAY_EV_FEED};
	uint64_t index = cw_feed_index(cw_ledger_feed(control->ledger));

	if (index == control->notified_feed_index)
		return;
	control->notified_feed_index = index;
	relay_io_step(&control->relay_io, &event);
}

/* Proposes the activation of the next due change; one at a time, to keep the order of due times. */
static void propose_due_activation(control_t *control)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Activate activate = CARAWAY__ACTIVATE__INIT;
	uint64_t number;

	if (control->activation_pending || !control_has_leader_lease(control))
		return;
	number = cw_ledger_due_change(control->ledger, clock_utc_ms());
	if (!number)
		return;
	activate.number = number;
	command.body_case = CARAWAY__COMMAND__BODY_ACTIVATE;
	command.activate = &activate;
	control->activation_pending = true;
	control_propose(control, pending_request_new(PENDING_ACTIVATION, clock_now_ms() + COMMAND_TIMEOUT_MS),
			&command);
}

/* Notifies the relay of what the Raft actions have changed, then runs the timers. */
void control_relay_tick(control_t *control)
{
	notify_role(control);
	notify_feed(control);
	notify_confirmations(control, control->confirmed_cookies, CW_RELAY_EV_CONFIRMED);
	notify_confirmations(control, control->unconfirmed_cookies, CW_RELAY_EV_UNCONFIRMED);
	register_endpoints(control);
	propose_due_activation(control);
	relay_io_tick(&control->relay_io);
}

/* Makes the relay refuse children from now on. */
void control_relay_stop(control_t *control)
{
	cw_relay_event_t event = {.type = CW_RELAY_EV_STOPPING};

	relay_io_step(&control->relay_io, &event);
}
