/* The event loop of a control replica: one thread, a server socket, a connection to each other replica. */
#include "control.h"

#include <string.h>

#include "clock.h"
#include "counters.h"
#include "log.h"
#include "reload.h"

enum {
	MAX_WAIT_MS = 50, /* bounds the delay of the timers that do not end the wait */
	MAX_MESSAGES_PER_ITERATION = 1000,
	APPLIED_SECTIONS_PER_ITERATION = 250,
	LONG_TURN_MS = 200,	       /* a longer iteration is logged: timers and heartbeats were as late */
	LEADERSHIP_TRANSFER_MS = 1000, /* longest wait for another leader on a planned stop */
	FLUSH_MS = 100,		       /* lets the last messages be sent before the sockets close */
	DISK_RETRY_MS = 1000	       /* between attempts to open the data folder while its disk is full */
};

/* Passes a message of another replica to Raft; one without a sender is counted and dropped. */
static void handle_raft_message(control_t *control, const Caraway__RaftMessage *message)
{
	cw_raft_event_t event = {.type = CW_RAFT_EV_MESSAGE, .message = message};

	if (message->from)
		control_raft_step(control, &event);
	else
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
}

/* Handles one message of a peer. */
static void handle_message(control_t *control, GBytes *peer, Caraway__Message *message)
{
	switch (message->body_case) {
	case CARAWAY__MESSAGE__BODY_RAFT:
		handle_raft_message(control, message->raft);
		break;
	case CARAWAY__MESSAGE__BODY_PULL:
		relay_io_handle_pull(&control->relay_io, peer, message->pull);
		break;
	case CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST:
		control_handle_operator_request(control, peer, message->operator_request);
		break;
	default:
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		break;
	}
}

/*
 * Handles the waiting messages, up to a limit per iteration so that timers are
 * not delayed.  Returns how many there were.
 */
static unsigned receive_messages(control_t *control)
{
	Caraway__Message *message;
	GBytes *peer;
	unsigned count;

	for (count = 0; count < MAX_MESSAGES_PER_ITERATION; count++) {
		message = link_server_receive(control->server, &peer);
		if (!message)
			break;
		handle_message(control, peer, message);
		cw_message_free(message);
		g_bytes_unref(peer);
	}
	return count;
}

/* Handles the answers of another replica to the relay's pulls. */
static void receive_answers(control_t *control)
{
	const char *address;
	Caraway__Message *message;

	while ((message = link_clients_receive(control->clients, &address))) {
		relay_io_handle_answer(&control->relay_io, address, message);
		cw_message_free(message);
	}
}

/* Waits for an event or until the next Raft tick is due, at most MAX_WAIT_MS. */
static void wait_for_events(control_t *control)
{
	int64_t wait_ms = cw_raft_next_tick_ms(control->raft) - clock_now_ms();

	if (control->apply_items.length || control->gateway_busy)
		wait_ms = 0;
	link_wait(control->server, control->clients, control->poller, -1, CLAMP(wait_ms, 0, MAX_WAIT_MS));
}

/* Adds the time since start_ms to the work of the present iteration. */
void control_add_work(control_t *control, work_kind_t kind, int64_t start_ms)
{
	control->work_ms[kind] += clock_now_ms() - start_ms;
}

/* Logs an iteration that has held the thread for long, with what its time was spent on. */
static void log_long_turn(const control_t *control, int64_t start_ms, int64_t received_ms, unsigned messages)
{
	int64_t end_ms = clock_now_ms();

	if (end_ms - start_ms < LONG_TURN_MS)
		return;
	counter_add(COUNTER_LONG_TURN, 1);
	log_warning("long-turn", LOG_INT("took_ms", end_ms - start_ms),
		    LOG_INT("messages_ms", received_ms - start_ms), LOG_UINT("messages", messages),
		    LOG_INT("decode_ms", control->work_ms[WORK_DECODE]),
		    LOG_INT("difference_ms", control->work_ms[WORK_DIFFERENCE]),
		    LOG_INT("apply_ms", control->work_ms[WORK_APPLY]),
		    LOG_INT("encode_ms", control->work_ms[WORK_ENCODE]),
		    LOG_INT("snapshot_ms", control->work_ms[WORK_SNAPSHOT]),
		    LOG_INT("relay_ms", control->work_ms[WORK_RELAY]), LOG_END);
}

/* Runs one iteration of the event loop: messages first, then timers. */
void control_run_iteration(control_t *control)
{
	cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};
	int64_t start_ms, now_ms;
	unsigned messages;

	wait_for_events(control);
	start_ms = clock_now_ms();
	memset(control->work_ms, 0, sizeof(control->work_ms));
	control->apply_budget = APPLIED_SECTIONS_PER_ITERATION;
	messages = receive_messages(control);
	receive_answers(control);
	now_ms = clock_now_ms();
	if (cw_raft_next_tick_ms(control->raft) <= now_ms)
		control_raft_step(control, &tick);
	control_apply_continue(control);
	if (!control->storage_failed)
		control_take_snapshot_if_due(control);
	control_expire_pending(control, now_ms);
	control_rollout_notify(control);
	control_relay_tick(control);
	control_rollout_tick(control);
	control_add_work(control, WORK_RELAY, now_ms);
	poller_run_ready(control->poller);
	metrics_tick(control->metrics, now_ms);
	if (control->gateway_state)
		control->gateway_busy = control->gateway->tick_control(control->gateway_state, now_ms);
	log_long_turn(control, start_ms, now_ms, messages);
}

/*
 * Prepares a planned stop: makes the relay refuse children, then transfers
 * leadership, which spares the other replicas an election timeout.
 */
static void prepare_stop(control_t *control)
{
	cw_raft_event_t event = {.type = CW_RAFT_EV_STEP_DOWN};
	int64_t deadline_ms = clock_now_ms() + LEADERSHIP_TRANSFER_MS;

	control_relay_stop(control);
	if (cw_raft_role(control->raft) != CW_RAFT_LEADER)
		return;
	control_raft_step(control, &event);
	while (cw_raft_role(control->raft) == CW_RAFT_LEADER && clock_now_ms() < deadline_ms)
		control_run_iteration(control);
	for (deadline_ms = clock_now_ms() + FLUSH_MS; clock_now_ms() < deadline_ms;)
		control_run_iteration(control);
}

/* Connects to the other replicas before the first message is sent. */
static void connect_replicas(control_t *control, const settings_t *settings)
{
	for (guint i = 0; i < settings->control_replicas->len; i++) {
		const control_replica_t *replica =
			&g_array_index(settings->control_replicas, control_replica_t, i);

		if (replica->id != control->settings->id)
			link_clients_connect(control->clients, replica->address);
	}
}

/* Frees everything that control_open() created. */
void control_close(control_t *control, link_context_t *context)
{
	if (control->gateway_state)
		control->gateway->close_control(control->gateway_state);
	metrics_close(control->metrics);
	control_relay_close(control);
	control_rollout_close(control);
	g_hash_table_destroy(control->pending_by_index);
	g_hash_table_destroy(control->pending);
	control_replica_close(control);
	link_clients_free(control->clients);
	link_server_close(control->server);
	poller_free(control->poller);
	link_context_free(context);
}

/* Serves the metrics until a time or a planned stop. */
static void serve_metrics_until(control_t *control, int64_t end_ms, const run_signals_t *signals)
{
	int64_t now_ms;

	while (!*signals->stop && (now_ms = clock_now_ms()) < end_ms) {
		link_wait(NULL, NULL, control->poller, -1, MIN(end_ms - now_ms, MAX_WAIT_MS));
		poller_run_ready(control->poller);
		metrics_tick(control->metrics, now_ms);
	}
}

/*
 * Opens the data folder.  While its disk is full the replica waits: it takes no
 * part in Raft, as it can promise nothing.
 */
static cw_status_t open_replica(control_t *control, const settings_t *settings, const run_signals_t *signals)
{
	cw_status_t status;

	while ((status = control_replica_open(control, settings)) == CW_ERR_DISK_FULL && !*signals->stop) {
		counter_add(COUNTER_STORAGE_FULL, 1);
		log_warning("storage-full", LOG_STR("message", cw_last_error_message()), LOG_END);
		serve_metrics_until(control, clock_now_ms() + DISK_RETRY_MS, signals);
	}
	return status;
}

/* Opens the metrics port, the data folder and the other ports. */
cw_status_t control_open(control_t *control, const settings_t *settings, link_context_t *context,
			 const run_signals_t *signals)
{
	cw_status_t status;

	control->settings = &settings->control;
	control->clients = link_clients_new(context);
	control->poller = poller_new();
	control->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, pending_request_free);
	control->pending_by_index = g_hash_table_new(g_int64_hash, g_int64_equal);
	/* control_replica_open() already sends messages, so the keys must be set up before it. */
	status = link_context_enable_encryption(context, settings->keys, settings->control_addresses);
	if (status == CW_OK && *settings->metrics_listen)
		status = metrics_open(control->poller, settings->metrics_listen, &control->metrics);
	if (status == CW_OK)
		status = open_replica(control, settings, signals);
	if (status == CW_OK)
		status = link_server_open(context, control->settings->listen, &control->server);
	if (status != CW_OK)
		return status;
	control_relay_open(control, settings);
	connect_replicas(control, settings);
	if (control->gateway && *control->settings->operator_listen)
		status = control->gateway->open_control(control->settings, control->poller, control,
							&control->gateway_state);
	if (status != CW_OK)
		return status;
	log_info("listening", LOG_STR("address", link_server_address(control->server)),
		 LOG_UINT("replica", control->settings->id),
		 LOG_UINT("incarnation", store_incarnation(control->store)), LOG_END);
	return CW_OK;
}

/* Applies changed settings at run time; only changes of the list of replicas take effect. */
static void apply_changed_settings(control_t *control, reload_t *reload)
{
	settings_t *settings = reload_poll(reload, clock_now_ms());

	if (!settings)
		return;
	control_set_replicas(control, settings);
	connect_replicas(control, settings);
	settings_free(settings);
}

/* Runs a control replica until *signals->stop is set; an error status means that it could not start. */
cw_status_t control_run(const settings_t *settings, const gateway_t *gateway, const run_signals_t *signals)
{
	link_context_t *context = link_context_new();
	control_t control = {.gateway = gateway};
	reload_t reload;
	cw_status_t status = control_open(&control, settings, context, signals);

	if (status == CW_ERR_DISK_FULL && *signals->stop)
		status = CW_OK; /* a planned stop, before there was space */
	else if (status == CW_OK) {
		reload_init(&reload, signals);
		while (!*signals->stop) {
			control_run_iteration(&control);
			control_replica_retry_storage(&control, settings);
			apply_changed_settings(&control, &reload);
		}
		prepare_stop(&control);
		log_info("stopped", LOG_END);
	}
	control_close(&control, context);
	return status;
}
