/*
 * Data plane of a proxy: one thread with an event loop that serves callers,
 * other proxies and the target.
 */
#include "traffic.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#include "clock.h"
#include "counters.h"
#include "forward.h"
#include "http_frontend.h"
#include "log.h"
#include "receiver.h"

enum {
	MAX_WAIT_MS = 100,	   /* of the event loop; the view and the target are polled this often */
	IDLE_BEFORE_CLOSE_MS = 50, /* time without a call in flight until the ports are closed */
	/* The same while callers are connected: requests that they have sent may still be in transit. */
	IDLE_BEFORE_CLOSE_CONNECTED_MS = 150,
	MAX_VERSION_BYTES = 128, /* a longer version of a target counts as not announced */
	MAX_BATCH_MESSAGES = 256 /* read from one socket before the others are served */
};

struct traffic {
	proxy_settings_t settings; /* its strings are borrowed */
	pthread_t thread;
	int wake_fd; /* eventfd that ends a wait of the event loop */
	poller_t *poller;
	const gateway_t *gateway; /* may be NULL */
	void *gateway_state;
	link_server_t *server;	 /* port for the calls of other proxies */
	link_clients_t *clients; /* connections for calls to other proxies */
	target_pool_t *pool;
	receiver_t *receiver;
	forward_t *forward;
	http_frontend_t *http_frontend;
	GQueue to_receiver; /* Caraway__Message *, of this proxy's sending side */
	GQueue to_forward;  /* Caraway__Message *, of this proxy's receiving side */
	/* Requests of other threads to the traffic thread. */
	_Atomic bool drain_callers;
	_Atomic bool drain_target;
	_Atomic bool stop;
	int64_t accept_until_ms;  /* until when new calls are accepted during the shutdown; set before stop */
	int64_t stop_deadline_ms; /* end of the shutdown; set before stop */
	/* State that publish_state() sets for other threads. */
	_Atomic uint32_t in_flight; /* calls from callers and to the target */
	_Atomic bool target_ready;
	GMutex version_mutex;
	char target_version[MAX_VERSION_BYTES + 1]; /* under version_mutex */
};

/* Queues a message of the sending side for the receiving side of this proxy. */
static void send_local(void *data, Caraway__Message *message)
{
	traffic_t *traffic = data;

	g_queue_push_tail(&traffic->to_receiver, message);
}

/* Sends a reply of the receiving side to the sender of the call, which may be this proxy. */
static void send_reply(void *data, GBytes *peer, Caraway__Message *message)
{
	traffic_t *traffic = data;

	if (!peer) {
		g_queue_push_tail(&traffic->to_forward, message);
		return;
	}
	if (link_server_send(traffic->server, peer, message) != CW_OK)
		counter_add(COUNTER_REPLY_LOST, 1);
	g_bytes_unref(peer);
	cw_message_free(message);
}

/* Applies the caller limits and the health check path of a new view. */
static void apply_view(void *data, const view_t *view)
{
	const traffic_t *traffic = data;

	if (view->limits)
		http_frontend_set_limits(traffic->http_frontend, view->limits);
	receiver_set_health_path(traffic->receiver, view->health_path);
}

/* Stores the present load of this proxy's target; returns false if it takes no calls. */
static bool own_load(void *data, uint64_t route, uint32_t priority, cw_pick_load_t *load)
{
	const traffic_t *traffic = data;

	*load = receiver_load(traffic->receiver, route, priority);
	return receiver_target_ready(traffic->receiver);
}

/* Passes the outcome of a call to its caller. */
static void call_done(void *data, void *cookie, const forward_outcome_t *outcome)
{
	const traffic_t *traffic = data;

	http_frontend_respond(traffic->http_frontend, cookie, outcome);
}

/* Answers a request for tokens; takes ownership of the arguments. */
static void answer_allotment(traffic_t *traffic, Caraway__Message *message, GBytes *peer)
{
	uint64_t origin = g_bytes_hash(peer) + 1;

	send_reply(traffic, peer,
		   forward_answer_allotment(traffic->forward, message->allotment_request, origin));
	cw_message_free(message);
}

/* Reads messages of other proxies' sending sides. */
static void read_server(traffic_t *traffic)
{
	Caraway__Message *message;
	GBytes *peer;

	for (int i = 0; i < MAX_BATCH_MESSAGES && (message = link_server_receive(traffic->server, &peer));
	     i++)
		if (message->body_case == CARAWAY__MESSAGE__BODY_ALLOTMENT_REQUEST)
			answer_allotment(traffic, message, peer);
		else
			receiver_handle_message(traffic->receiver, message, peer);
}

/* Makes room for further answers; called after each, as many long ones may come in one pass. */
static void close_slow_readers(traffic_t *traffic)
{
	http_server_close_slow_readers(http_frontend_server(traffic->http_frontend), clock_now_ms());
}

/* Reads replies of other proxies. */
static void read_clients(traffic_t *traffic)
{
	Caraway__Message *message;
	const char *address;

	for (int i = 0;
	     i < MAX_BATCH_MESSAGES && (message = link_clients_receive(traffic->clients, &address)); i++) {
		forward_handle_message(traffic->forward, message, address);
		cw_message_free(message);
		close_slow_readers(traffic);
	}
}

/* Delivers messages between the two sides of this proxy until none are left. */
static void deliver_local_messages(traffic_t *traffic)
{
	Caraway__Message *message;

	while (!g_queue_is_empty(&traffic->to_receiver) || !g_queue_is_empty(&traffic->to_forward)) {
		if ((message = g_queue_pop_head(&traffic->to_receiver)))
			receiver_handle_message(traffic->receiver, message, NULL);
		if ((message = g_queue_pop_head(&traffic->to_forward))) {
			forward_handle_message(traffic->forward, message, NULL);
			cw_message_free(message);
			close_slow_readers(traffic);
		}
	}
}

/* Returns how long the event loop may wait, in milliseconds. */
static long wait_ms(traffic_t *traffic)
{
	int64_t now_ms = clock_now_ms();
	int64_t wait = MAX_WAIT_MS;

	wait = MIN(wait, forward_next_tick_ms(traffic->forward) - now_ms);
	wait = MIN(wait, receiver_next_tick_ms(traffic->receiver) - now_ms);
	wait = MIN(wait, http_server_next_tick_ms(http_frontend_server(traffic->http_frontend)) - now_ms);
	return (long)MAX(wait, 0);
}

/* Publishes the state that other threads read. */
static void publish_state(traffic_t *traffic)
{
	uint32_t in_flight = receiver_in_flight(traffic->receiver) +
			     http_server_in_flight(http_frontend_server(traffic->http_frontend));

	atomic_store(&traffic->in_flight, in_flight);
	atomic_store(&traffic->target_ready, receiver_target_ready(traffic->receiver));
}

/* Waits for a socket event, a wake-up or a timer. */
static void wait_for_events(traffic_t *traffic)
{
	uint64_t wakes;

	if (link_wait(traffic->server, traffic->clients, traffic->poller, traffic->wake_fd,
		      wait_ms(traffic)) &&
	    read(traffic->wake_fd, &wakes, sizeof(wakes)) < 0 && errno != EAGAIN)
		log_error("wake-descriptor", LOG_STR("error", g_strerror(errno)), LOG_END);
}

/* Runs one pass of the event loop. */
static void run_once(traffic_t *traffic)
{
	poller_run_ready(traffic->poller);
	read_server(traffic);
	receiver_run(traffic->receiver);
	read_clients(traffic);
	deliver_local_messages(traffic);
	forward_run(traffic->forward);
	deliver_local_messages(traffic);
	receiver_run(traffic->receiver);
	deliver_local_messages(traffic);
	close_slow_readers(traffic);
	http_server_tick(http_frontend_server(traffic->http_frontend), clock_now_ms());
	if (traffic->gateway)
		traffic->gateway->tick_proxy(traffic->gateway_state, clock_now_ms());
}

/*
 * Returns whether a call is in flight, from a caller or from another proxy, or an
 * answer to one is not sent yet: callers may read slowly, and links be full.
 */
static bool is_busy(const traffic_t *traffic)
{
	const http_server_t *http_server = http_frontend_server(traffic->http_frontend);

	return http_server_in_flight(http_server) || receiver_in_flight(traffic->receiver) ||
	       http_server_has_unsent(http_server) || link_server_has_unsent(traffic->server);
}

/* Returns how long no call must have been in flight before the ports are closed. */
static int64_t idle_time_ms(const traffic_t *traffic)
{
	return http_server_connections(http_frontend_server(traffic->http_frontend))
		       ? IDLE_BEFORE_CLOSE_CONNECTED_MS
		       : IDLE_BEFORE_CLOSE_MS;
}

/*
 * Closes the callers' port and keeps serving until no call has been in flight
 * for a while or the shutdown deadline has passed.  The idle time lets requests
 * arrive on connections already open, and replies queued for other proxies be
 * sent.
 */
static void finish_in_flight(traffic_t *traffic)
{
	int64_t last_busy_ms = clock_now_ms();
	int64_t end_ms = traffic->stop_deadline_ms;
	int64_t now_ms;

	receiver_drain(traffic->receiver);
	http_server_drain(http_frontend_server(traffic->http_frontend));
	http_server_stop_accepting(http_frontend_server(traffic->http_frontend));
	for (now_ms = last_busy_ms; now_ms < end_ms && now_ms < last_busy_ms + idle_time_ms(traffic);
	     now_ms = clock_now_ms()) {
		if (now_ms >= traffic->accept_until_ms)
			http_frontend_refuse_requests(traffic->http_frontend);
		wait_for_events(traffic);
		run_once(traffic);
		if (is_busy(traffic))
			last_busy_ms = clock_now_ms();
	}
}

/* Main function of the traffic thread. */
static void *run_thread(void *data)
{
	traffic_t *traffic = data;

	urcu_memb_register_thread();
	while (!atomic_load(&traffic->stop)) {
		wait_for_events(traffic);
		if (atomic_load(&traffic->drain_callers))
			http_server_drain(http_frontend_server(traffic->http_frontend));
		if (atomic_load(&traffic->drain_target))
			receiver_drain(traffic->receiver);
		run_once(traffic);
		publish_state(traffic);
	}
	finish_in_flight(traffic);
	urcu_memb_unregister_thread();
	return NULL;
}

/* Closes the ports and frees everything; the thread must not be running. */
static void free_traffic(traffic_t *traffic)
{
	if (traffic->gateway_state)
		traffic->gateway->close_proxy(traffic->gateway_state);
	if (traffic->http_frontend)
		http_frontend_free(traffic->http_frontend);
	if (traffic->forward)
		forward_free(traffic->forward);
	if (traffic->pool)
		target_pool_free(traffic->pool);
	if (traffic->receiver)
		receiver_free(traffic->receiver);
	poller_free(traffic->poller);
	link_clients_free(traffic->clients);
	link_server_close(traffic->server);
	g_queue_clear_full(&traffic->to_receiver, cw_message_free);
	g_queue_clear_full(&traffic->to_forward, cw_message_free);
	close(traffic->wake_fd);
	g_free(traffic);
}

/* Opens the ports, the connections to the target and the gateway. */
static cw_status_t open_all(traffic_t *traffic, link_context_t *context, uint64_t incarnation,
			    published_view_t *published_view)
{
	const proxy_settings_t *settings = &traffic->settings;
	forward_callbacks_t callbacks = {.send_local = send_local,
					 .done = call_done,
					 .view_changed = apply_view,
					 .own_load = own_load,
					 .data = traffic};
	cw_status_t status;

	memory_account_set_limit(settings_waiting_memory(settings));
	status = link_server_open(context, settings->call_listen, &traffic->server);

	if (status != CW_OK)
		return status;
	traffic->poller = poller_new();
	status = http_frontend_new(traffic->poller, settings, &traffic->http_frontend);
	if (status != CW_OK)
		return status;
	status = target_pool_new(settings->target, &settings->headers, traffic->poller, &traffic->pool);
	if (status != CW_OK)
		return status;
	if (settings_answer_memory(settings))
		target_pool_set_max_answer_bytes(traffic->pool, settings_answer_memory(settings));
	traffic->clients = link_clients_new(context);
	traffic->receiver = receiver_new(settings, incarnation, traffic->pool, send_reply, traffic);
	traffic->forward = forward_new(settings, incarnation, published_view, traffic->clients, &callbacks);
	http_frontend_set_forward(traffic->http_frontend, traffic->forward);
	if (traffic->gateway)
		return traffic->gateway->open_proxy(settings, traffic->poller, traffic,
						    &traffic->gateway_state);
	return CW_OK;
}

/* Opens the ports and starts the traffic thread; CW_ERR_IO or CW_ERR_SETTINGS when opening a port fails. */
cw_status_t traffic_start(link_context_t *context, const proxy_settings_t *settings, uint64_t incarnation,
			  published_view_t *published_view, const gateway_t *gateway, traffic_t **out)
{
	traffic_t *traffic = g_new0(traffic_t, 1);
	cw_status_t status;

	traffic->settings = *settings;
	traffic->gateway = gateway;
	traffic->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	g_queue_init(&traffic->to_receiver);
	g_queue_init(&traffic->to_forward);
	status = open_all(traffic, context, incarnation, published_view);
	if (status == CW_OK && pthread_create(&traffic->thread, NULL, run_thread, traffic))
		status = cw_fail(CW_ERR_INTERNAL, "cannot start the traffic thread");
	if (status != CW_OK) {
		free_traffic(traffic);
		return status;
	}
	*out = traffic;
	return CW_OK;
}

/* Returns the HOST:PORT that callers connect to. */
const char *traffic_http_address(const traffic_t *traffic)
{
	return http_server_address(http_frontend_server(traffic->http_frontend));
}

/* Returns the HOST:PORT that other proxies connect to. */
const char *traffic_call_address(const traffic_t *traffic)
{
	return link_server_address(traffic->server);
}

/* Wakes the traffic thread, so that it sees a request of another thread at once. */
static void wake(const traffic_t *traffic)
{
	uint64_t one = 1;

	if (write(traffic->wake_fd, &one, sizeof(one)) < 0)
		counter_add(COUNTER_SEND_REFUSED, 1);
}

/* Tells callers to use another proxy. */
void traffic_drain_callers(traffic_t *traffic)
{
	atomic_store(&traffic->drain_callers, true);
	wake(traffic);
}

/* Refuses new calls to the target from now on. */
void traffic_drain_target(traffic_t *traffic)
{
	atomic_store(&traffic->drain_target, true);
	wake(traffic);
}

/* Returns the number of calls in flight, as of the last pass of the traffic thread. */
uint32_t traffic_in_flight(const traffic_t *traffic)
{
	return atomic_load(&traffic->in_flight);
}

/* Stores the version of the target for the control thread; an invalid or too long one counts as not announced. */
static void store_version(traffic_t *traffic, const char *version)
{
	bool valid = strlen(version) <= MAX_VERSION_BYTES && g_utf8_validate(version, -1, NULL);

	g_mutex_lock(&traffic->version_mutex);
	g_strlcpy(traffic->target_version, valid ? version : "", sizeof(traffic->target_version));
	g_mutex_unlock(&traffic->version_mutex);
}

/* Handles an announcement of the target, on the traffic thread. */
cw_target_verdict_t traffic_handle_announcement(traffic_t *traffic, const cw_announcement_t *announcement)
{
	cw_target_verdict_t verdict = receiver_handle_announcement(traffic->receiver, announcement);

	if (verdict == CW_TARGET_APPLIED && !announcement->leaving)
		store_version(traffic, announcement->version ? announcement->version : "");
	return verdict;
}

/* Returns the version that the target announced last, owned by the caller. */
char *traffic_target_version(traffic_t *traffic)
{
	char *version;

	g_mutex_lock(&traffic->version_mutex);
	version = g_strdup(traffic->target_version);
	g_mutex_unlock(&traffic->version_mutex);
	return version;
}

/* Returns whether this proxy is ready for callers: it has a configuration and is not shutting down. */
bool traffic_is_ready(const traffic_t *traffic)
{
	return !atomic_load(&traffic->drain_callers) && !atomic_load(&traffic->stop) &&
	       forward_has_routes(traffic->forward);
}

/* Returns whether the target can be given calls. */
bool traffic_target_ready(const traffic_t *traffic)
{
	return atomic_load(&traffic->target_ready);
}

/* Finishes the calls in flight, stops the thread and closes the ports. */
void traffic_stop(traffic_t *traffic, int64_t accept_until_ms, int64_t deadline_ms)
{
	traffic->accept_until_ms = accept_until_ms;
	traffic->stop_deadline_ms = deadline_ms;
	atomic_store(&traffic->stop, true);
	wake(traffic);
	pthread_join(traffic->thread, NULL);
	free_traffic(traffic);
}
