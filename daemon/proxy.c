/* The control thread of a proxy: holds the configuration, passes it on, and speaks for the target beside it. */
#include "clock.h"
#include "counters.h"
#include "log.h"
#include "operator_reply.h"
#include "relay_io.h"
#include "run.h"
#include "traffic.h"

enum {
	MAX_WAIT_MS = 50,
	MAX_MESSAGES_PER_ROUND = 1000,
	REPORT_MS = 3000,
	GOODBYE_MS = 300 /* for the news of leaving to be sent before the process ends */
};

typedef struct {
	const settings_t *settings;
	const proxy_settings_t *own;
	link_context_t *context;
	link_server_t *server;
	link_clients_t *clients;
	cw_feed_t *feed;
	cw_members_t *members;
	relay_io_t io;
	view_slot_t *views;
	traffic_t *traffic;
	uint64_t incarnation;
	uint64_t sequence;  /* of the endpoint's state */
	uint64_t published; /* version of the view */
	bool view_outdated;
} proxy_t;

/* Announces the state of the target beside this proxy. */
static void announce(proxy_t *proxy, Caraway__EndpointState state)
{
	Caraway__Endpoint endpoint = CARAWAY__ENDPOINT__INIT;
	cw_relay_event_t event = {.type = CW_RELAY_EV_ENDPOINT, .endpoint = &endpoint};

	endpoint.vm = proxy->own->vm;
	endpoint.zone = proxy->own->zone;
	endpoint.region = proxy->own->region;
	endpoint.service = proxy->own->service;
	endpoint.incarnation = proxy->incarnation;
	endpoint.sequence = ++proxy->sequence;
	endpoint.state = state;
	endpoint.call_address = (char *)traffic_call_address(proxy->traffic);
	endpoint.feed_address = (char *)link_server_address(proxy->server);
	endpoint.slots = proxy->own->slots;
	relay_io_step(&proxy->io, &event);
}

/* Carries out an action of the relay that is this role's own. */
static void carry_out(void *data, const cw_relay_action_t *action)
{
	proxy_t *proxy = data;

	switch (action->type) {
	case CW_RELAY_AC_CONFIGURATION:
	case CW_RELAY_AC_ENDPOINTS:
		proxy->view_outdated = true;
		break;
	case CW_RELAY_AC_PARENT:
		log_info("parent", LOG_STR("address", action->address), LOG_END);
		break;
	default:
		break;
	}
}

/* Publishes the view that follows from feed and members, once the configuration may be used. */
static void publish(proxy_t *proxy)
{
	const cw_catalog_t *catalog = cw_feed_catalog(proxy->feed);
	const Caraway__Vm *vm = cw_catalog_vm(catalog, proxy->own->vm);
	uint64_t version = cw_feed_version(proxy->feed);
	GPtrArray *endpoints;

	if (!proxy->view_outdated || !vm || !cw_relay_ready(proxy->io.relay))
		return;
	proxy->view_outdated = false;
	endpoints = cw_members_endpoints(proxy->members);
	view_slot_publish(proxy->views, view_new(catalog, vm, endpoints));
	g_ptr_array_free(endpoints, TRUE);
	if (version == proxy->published)
		return;
	proxy->published = version;
	log_info("configuration", LOG_UINT("version", version), LOG_END);
}

/* Fills in how this proxy stands. */
static void fill_status(const proxy_t *proxy, Caraway__OperatorReply *reply)
{
	Caraway__StatusReport *report = g_new(Caraway__StatusReport, 1);
	const Caraway__Stamp *stamp = cw_relay_stamp(proxy->io.relay);

	caraway__status_report__init(report);
	report->role = g_strdup(cw_relay_fresh(proxy->io.relay, clock_now_ms()) ? "proxy" : "proxy (stale)");
	report->term = stamp ? stamp->term : 0;
	report->version = proxy->published;
	report->feed_index = cw_feed_index(proxy->feed);
	reply->report = report;
}

/* Answers an operator: a proxy tells its status and its counters. */
static void answer_operator(proxy_t *proxy, GBytes *peer, const Caraway__OperatorRequest *request)
{
	Caraway__OperatorReply *reply = g_new(Caraway__OperatorReply, 1);

	caraway__operator_reply__init(reply);
	reply->request = request->request;
	switch (request->body_case) {
	case CARAWAY__OPERATOR_REQUEST__BODY_STATUS:
		fill_status(proxy, reply);
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_COUNTERS:
		operator_reply_counters(reply);
		break;
	default:
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		reply->status = CW_ERR_USAGE;
		reply->message = g_strdup("a proxy answers only status and counters: ask a control replica");
		break;
	}
	operator_reply_send(proxy->server, peer, reply);
	cw_message_free(reply);
}

/* Takes one message that came to the feed's port. */
static void receive(proxy_t *proxy, GBytes *peer, const Caraway__Message *message)
{
	switch (message->body_case) {
	case CARAWAY__MESSAGE__BODY_PULL:
		relay_io_pull(&proxy->io, peer, message->pull);
		break;
	case CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST:
		answer_operator(proxy, peer, message->operator_request);
		break;
	default:
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		break;
	}
}

/* Takes the messages that wait, from children and operators, then from parents. */
static void receive_all(proxy_t *proxy)
{
	Caraway__Message *message;
	const char *address;
	GBytes *peer;

	for (int i = 0; i < MAX_MESSAGES_PER_ROUND; i++) {
		message = link_server_receive(proxy->server, &peer);
		if (!message)
			break;
		receive(proxy, peer, message);
		cw_message_free(message);
		g_bytes_unref(peer);
	}
	while ((message = link_clients_receive(proxy->clients, &address))) {
		relay_io_answer(&proxy->io, address, message);
		cw_message_free(message);
	}
}

/* Waits for a message or the relay's next deadline. */
static void wait_for_work(const proxy_t *proxy)
{
	int64_t wait_ms = cw_relay_deadline_ms(proxy->io.relay) - clock_now_ms();

	link_wait(proxy->server, proxy->clients, CLAMP(wait_ms, 0, MAX_WAIT_MS));
}

/* Runs one round of messages and deadlines. */
static void run_round(proxy_t *proxy)
{
	wait_for_work(proxy);
	receive_all(proxy);
	relay_io_tick(&proxy->io);
	publish(proxy);
}

/* Runs rounds until a deadline. */
static void run_until(proxy_t *proxy, int64_t deadline_ms)
{
	while (clock_now_ms() < deadline_ms)
		run_round(proxy);
}

/* Leaves the mesh: takes no new work, finishes what is in flight, says goodbye. */
static void leave(proxy_t *proxy)
{
	cw_relay_event_t stopping = {.type = CW_RELAY_EV_STOPPING};
	int64_t deadline_ms = clock_now_ms() + proxy->own->drain_ms;

	log_info("draining", LOG_UINT("in_flight", traffic_in_flight(proxy->traffic)), LOG_END);
	traffic_drain(proxy->traffic);
	announce(proxy, CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING);
	run_until(proxy, clock_now_ms() + GOODBYE_MS);
	while (traffic_in_flight(proxy->traffic) && clock_now_ms() < deadline_ms)
		run_round(proxy);
	announce(proxy, CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE);
	relay_io_step(&proxy->io, &stopping);
	run_until(proxy, clock_now_ms() + GOODBYE_MS);
	log_info("stopped", LOG_UINT("in_flight", traffic_in_flight(proxy->traffic)), LOG_END);
}

/* Creates the relay of this proxy. */
static void open_relay(proxy_t *proxy)
{
	guint count = proxy->settings->controls->len;
	const char **controls = g_new(const char *, count);
	cw_relay_options_t options = {
		.kind = CW_RELAY_PROXY,
		.vm = proxy->own->vm,
		.zone = proxy->own->zone,
		.incarnation = proxy->incarnation,
		.controls = controls,
		.control_count = count,
		.freshness_ms = proxy->own->freshness_ms,
		.hold_ms = proxy->own->hold_ms,
		.batch_ms = RELAY_BATCH_MS,
		.stamp_ms = RELAY_STAMP_MS,
		.report_ms = REPORT_MS,
		.children = proxy->own->children,
		.heads = RELAY_HEADS,
		.max_news_bytes = RELAY_MAX_NEWS_BYTES,
		.seed = proxy->incarnation,
	};

	for (guint i = 0; i < count; i++)
		controls[i] = g_array_index(proxy->settings->controls, control_address_t, i).address;
	proxy->io.relay = cw_relay_new(&options, proxy->feed, proxy->members, clock_now_ms());
	proxy->io.server = proxy->server;
	proxy->io.clients = proxy->clients;
	proxy->io.action = carry_out;
	proxy->io.data = proxy;
	g_free(controls);
}

/* Opens the ports and starts the traffic.  CW_ERR_IO when a port cannot be bound. */
static cw_status_t proxy_open(proxy_t *proxy, const settings_t *settings)
{
	cw_status_t status;

	proxy->settings = settings;
	proxy->own = &settings->proxy;
	proxy->incarnation = clock_incarnation();
	proxy->context = link_context_new();
	proxy->clients = link_clients_new(proxy->context);
	proxy->feed = cw_feed_new(proxy->own->feed_keep_records);
	proxy->members = cw_members_new(0, 0);
	proxy->views = view_slot_new();
	status = link_server_open(proxy->context, proxy->own->feed_listen, &proxy->server);
	if (status == CW_OK)
		status = traffic_start(proxy->context, proxy->own, proxy->incarnation, proxy->views,
				       &proxy->traffic);
	if (status != CW_OK)
		return status;
	open_relay(proxy);
	log_info("listening", LOG_STR("vm", proxy->own->vm),
		 LOG_STR("http", traffic_http_address(proxy->traffic)),
		 LOG_STR("calls", traffic_call_address(proxy->traffic)),
		 LOG_STR("feed", link_server_address(proxy->server)), LOG_END);
	announce(proxy, CARAWAY__ENDPOINT_STATE__ENDPOINT_UP);
	return CW_OK;
}

/* Stops the traffic and frees everything. */
static void proxy_close(proxy_t *proxy)
{
	if (proxy->traffic)
		traffic_stop(proxy->traffic);
	if (proxy->io.relay)
		cw_relay_free(proxy->io.relay);
	view_slot_free(proxy->views);
	cw_members_free(proxy->members);
	cw_feed_free(proxy->feed);
	link_clients_free(proxy->clients);
	link_server_close(proxy->server);
	link_context_free(proxy->context);
}

/* Runs a proxy until *stop is set, then leaves the mesh.  CW_ERR_IO: it could not start. */
cw_status_t proxy_run(const settings_t *settings, const volatile sig_atomic_t *stop)
{
	proxy_t proxy = {0};
	cw_status_t status = proxy_open(&proxy, settings);

	if (status == CW_OK) {
		while (!*stop)
			run_round(&proxy);
		leave(&proxy);
	}
	proxy_close(&proxy);
	return status;
}
