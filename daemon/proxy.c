/*
 * The control thread of a proxy: runs the relay over its sockets, publishes
 * views for the traffic thread, and shuts the proxy down in steps.
 */
#include "clock.h"
#include "counters.h"
#include "histogram.h"
#include "log.h"
#include "proxy_internal.h"
#include "reload.h"

enum {
	MAX_WAIT_MS = 100, /* longest wait before the stop flag is checked */
	VIEW_WAIT_MS = 50, /* delay to collect further changes of endpoints before a view is built */
	TARGET_ANNOUNCE_INTERVAL_MS = 1000, /* minimum between announcements of the target's state */
	MAX_UPDATE_BYTES = 65536,	    /* of the records in one update to a child */
	CLOCK_DRIFT_DIVISOR =
		50, /* a key lease is shortened by this part, for clocks that run at other rates */
	ENDPOINT_LEASE_MS = 30000 /* an endpoint missing from a new leader's table is kept this long */
};

/* Schedules the publication of a view, no later than the deadline. */
static void schedule_view(proxy_t *proxy, int64_t deadline_ms)
{
	proxy->view_deadline_ms = MIN(proxy->view_deadline_ms, deadline_ms);
}

/* Handles the relay actions that are specific to a proxy. */
static void handle_relay_action(void *data, const cw_relay_action_t *action)
{
	proxy_t *proxy = data;

	switch (action->type) {
	case CW_RELAY_AC_CONFIGURATION:
		schedule_view(proxy, clock_now_ms());
		break;
	case CW_RELAY_AC_ENDPOINTS:
		schedule_view(proxy, clock_now_ms() + VIEW_WAIT_MS);
		break;
	case CW_RELAY_AC_PARENT:
		log_info("parent", LOG_STR("address", action->address),
			 LOG_UINT("depth", cw_relay_depth(proxy->relay_io.relay)), LOG_END);
		break;
	default:
		break;
	}
}

/* Returns the address to announce: that of the settings, or else the listening address. */
static char *announced_address(char *setting, const char *bound)
{
	return *setting ? setting : (char *)bound;
}

/* Announces the state of this proxy's endpoint. */
static void announce_endpoint(proxy_t *proxy, Caraway__EndpointState state)
{
	const proxy_settings_t *settings = &proxy->settings->proxy;
	Caraway__Endpoint endpoint = CARAWAY__ENDPOINT__INIT;
	cw_relay_event_t event = {.type = CW_RELAY_EV_ENDPOINT, .endpoint = &endpoint};

	endpoint.vm = settings->vm;
	endpoint.zone = settings->zone;
	endpoint.region = settings->region;
	endpoint.service = settings->service;
	endpoint.incarnation = proxy->incarnation;
	endpoint.sequence = ++proxy->endpoint_sequence;
	endpoint.state = state;
	endpoint.call_address =
		announced_address(settings->call_announce, traffic_call_address(proxy->traffic));
	endpoint.feed_address =
		announced_address(settings->feed_announce, link_server_address(proxy->server));
	endpoint.slots = settings->slots;
	g_free(proxy->announced_version);
	proxy->announced_version = traffic_target_version(proxy->traffic);
	endpoint.target_version = proxy->announced_version;
	relay_io_step(&proxy->relay_io, &event);
}

/* Handles a message received on the feed port. */
static void handle_message(proxy_t *proxy, GBytes *peer, const Caraway__Message *message)
{
	switch (message->body_case) {
	case CARAWAY__MESSAGE__BODY_PULL:
		relay_io_handle_pull(&proxy->relay_io, peer, message->pull);
		break;
	case CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST:
		proxy_answer_query(proxy, peer, message->operator_request);
		break;
	default:
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		break;
	}
}

/* Handles all waiting messages. */
static void receive_messages(proxy_t *proxy)
{
	Caraway__Message *message;
	const char *address;
	GBytes *peer;

	while ((message = link_server_receive(proxy->server, &peer))) {
		handle_message(proxy, peer, message);
		g_bytes_unref(peer);
		cw_message_free(message);
	}
	while ((message = link_clients_receive(proxy->clients, &address))) {
		relay_io_handle_answer(&proxy->relay_io, address, message);
		cw_message_free(message);
	}
}

/* Builds a view from the current configuration and endpoints, and publishes it. */
static void publish_view(proxy_t *proxy)
{
	const proxy_settings_t *settings = &proxy->settings->proxy;
	const cw_catalog_t *catalog = cw_feed_catalog(proxy->feed);
	const Caraway__Vm *vm = cw_catalog_vm(catalog, settings->vm);
	Caraway__Vm unregistered = CARAWAY__VM__INIT;
	GPtrArray *endpoints;

	proxy->view_deadline_ms = INT64_MAX;
	if (!cw_relay_is_ready(proxy->relay_io.relay))
		return;
	if (!vm) {
		/* As it will be registered: labels are given to registered VMs only. */
		unregistered.name = settings->vm;
		unregistered.zone = settings->zone;
		unregistered.region = settings->region;
		unregistered.service = settings->service;
		vm = &unregistered;
	}
	if (cw_catalog_check_vm(catalog, vm) != CW_OK) {
		counter_add(COUNTER_VIEW_REFUSED, 1);
		log_error("configuration-refused", LOG_UINT("version", cw_catalog_version(catalog)),
			  LOG_STR("reason", cw_last_error_message()), LOG_END);
		return;
	}
	endpoints = cw_members_endpoints(proxy->members);
	published_view_replace(proxy->published_view, view_new(catalog, vm, endpoints));
	g_ptr_array_unref(endpoints);
	if (cw_catalog_version(catalog) == proxy->published_version)
		return;
	proxy->published_version = cw_catalog_version(catalog);
	log_info("configuration", LOG_UINT("version", proxy->published_version),
		 LOG_UINT("index", cw_feed_index(proxy->feed)), LOG_END);
}

/* Logs when the published configuration ceases to count as the newest and when it counts so again. */
static void log_currency(proxy_t *proxy, bool current)
{
	const cw_relay_t *relay = proxy->relay_io.relay;
	int64_t now_ms = clock_now_ms();

	if (!proxy->published_version || current == !proxy->unconfirmed_since_ms)
		return;
	if (!current) {
		proxy->unconfirmed_since_ms = now_ms;
		log_info("configuration-unconfirmed", LOG_UINT("version", proxy->published_version),
			 LOG_UINT("index", cw_feed_index(proxy->feed)),
			 LOG_UINT("confirmed_index", cw_relay_stamp(relay)->feed_index),
			 LOG_STR("parent", cw_relay_parent(relay)), LOG_END);
		return;
	}
	histogram_add(HISTOGRAM_UNCONFIRMED, now_ms - proxy->unconfirmed_since_ms);
	log_info("configuration-confirmed", LOG_UINT("version", proxy->published_version),
		 LOG_UINT("index", cw_feed_index(proxy->feed)),
		 LOG_INT("unconfirmed_ms", now_ms - proxy->unconfirmed_since_ms),
		 LOG_STR("parent", cw_relay_parent(relay)), LOG_END);
	proxy->unconfirmed_since_ms = 0;
}

/* Extends the time during which the keys in the published view may be accepted. */
static void extend_key_lease(proxy_t *proxy)
{
	uint32_t lease_ms = proxy->settings->proxy.key_lease_ms;
	int64_t confirmed_ms = cw_relay_confirmed_ms(proxy->relay_io.relay);

	int64_t keys_until_ms = INT64_MAX;

	if (lease_ms)
		keys_until_ms = confirmed_ms ? confirmed_ms + lease_ms - lease_ms / CLOCK_DRIFT_DIVISOR : 0;
	published_view_set_keys_until(proxy->published_view, keys_until_ms);
}

/* Tells the traffic thread until when the published view counts as the newest. */
static void publish_currency(proxy_t *proxy)
{
	bool published = cw_catalog_version(cw_feed_catalog(proxy->feed)) == proxy->published_version;
	int64_t current_until_ms = published ? cw_relay_current_until_ms(proxy->relay_io.relay) : 0;

	published_view_set_current_until(proxy->published_view, current_until_ms);
	if (published)
		extend_key_lease(proxy);
	log_currency(proxy, clock_now_ms() < current_until_ms);
}

/* Publishes the roll-outs that the relay knows, and passes on the evidence of the traffic thread. */
static void exchange_rollouts(proxy_t *proxy)
{
	rollouts_t *rollouts = published_view_rollouts(proxy->published_view);
	cw_relay_t *relay = proxy->relay_io.relay;
	g_autoptr(GPtrArray) evidence = rollouts_take_evidence(rollouts);

	rollouts_publish(rollouts, cw_relay_rollouts(relay), cw_relay_rollouts_confirmed_ms(relay));
	for (guint i = 0; i < evidence->len; i++)
		cw_relay_add_evidence(relay, evidence->pdata[i], clock_now_ms());
}

/* Runs one iteration of the event loop: waits for messages or the next timer, then handles both. */
static void run_iteration(proxy_t *proxy)
{
	int64_t deadline_ms = MIN(cw_relay_next_tick_ms(proxy->relay_io.relay), proxy->view_deadline_ms);
	int64_t wait_ms = CLAMP(deadline_ms - clock_now_ms(), 0, MAX_WAIT_MS);

	link_wait(proxy->server, proxy->clients, proxy->poller, -1, wait_ms);
	poller_run_ready(proxy->poller);
	metrics_tick(proxy->metrics, clock_now_ms());
	receive_messages(proxy);
	exchange_rollouts(proxy);
	relay_io_tick(&proxy->relay_io);
	if (clock_now_ms() >= proxy->view_deadline_ms)
		publish_view(proxy);
	publish_currency(proxy);
}

/* Creates the relay of a proxy. */
static cw_relay_t *create_relay(const proxy_t *proxy)
{
	const proxy_settings_t *settings = &proxy->settings->proxy;
	const GArray *replicas = proxy->settings->control_replicas;
	g_autofree const char **control_addresses = g_new0(const char *, replicas->len + 1);
	cw_relay_options_t options = {
		.kind = CW_RELAY_PROXY,
		.vm = settings->vm,
		.zone = settings->zone,
		.incarnation = proxy->incarnation,
		.control_addresses = control_addresses,
		.control_address_count = replicas->len,
		.freshness_ms = settings->freshness_ms,
		.hold_ms = settings->hold_ms,
		.batch_ms = settings->batch_ms,
		.report_ms = settings->report_ms,
		.max_children = settings->children,
		.zone_heads = settings->zone_heads,
		.max_update_bytes = MAX_UPDATE_BYTES,
		.seed = proxy->incarnation,
	};

	for (guint i = 0; i < replicas->len; i++)
		control_addresses[i] = g_array_index(replicas, control_replica_t, i).address;
	return cw_relay_new(&options, proxy->feed, proxy->members, clock_now_ms());
}

/* Opens the ports, starts the traffic thread and announces the endpoint. */
static cw_status_t start_proxy(proxy_t *proxy)
{
	const proxy_settings_t *settings = &proxy->settings->proxy;
	cw_status_t status = link_context_enable_encryption(proxy->context, proxy->settings->keys,
							    proxy->settings->control_addresses);

	if (status == CW_OK)
		status = link_server_open(proxy->context, settings->feed_listen, &proxy->server);
	if (status != CW_OK)
		return status;
	status = traffic_start(proxy->context, settings, proxy->incarnation, proxy->published_view,
			       proxy->gateway, &proxy->traffic);
	if (status != CW_OK)
		return status;
	if (*proxy->settings->metrics_listen)
		status = metrics_open(proxy->poller, proxy->settings->metrics_listen, &proxy->metrics);
	if (status != CW_OK)
		return status;
	relay_io_init(&proxy->relay_io, create_relay(proxy), proxy->server, proxy->clients);
	proxy->relay_io.on_action = handle_relay_action;
	proxy->relay_io.data = proxy;
	log_info("listening", LOG_STR("vm", settings->vm),
		 LOG_STR("http", traffic_http_address(proxy->traffic)),
		 LOG_STR("call", traffic_call_address(proxy->traffic)),
		 LOG_STR("feed", link_server_address(proxy->server)),
		 LOG_UINT("incarnation", proxy->incarnation), LOG_END);
	proxy->announced_ready = !*settings->target_listen;
	announce_endpoint(proxy, proxy->announced_ready ? CARAWAY__ENDPOINT_STATE__ENDPOINT_UP
							: CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING);
	return CW_OK;
}

/* Initializes the state of a proxy; the ports are opened later. */
static void init_proxy(proxy_t *proxy, const settings_t *settings)
{
	proxy->settings = settings;
	proxy->incarnation = clock_incarnation();
	proxy->poller = poller_new();
	proxy->context = link_context_new();
	proxy->clients = link_clients_new(proxy->context);
	proxy->feed = cw_feed_new(settings->proxy.feed_keep_records);
	proxy->members = cw_members_new(0, ENDPOINT_LEASE_MS);
	proxy->published_view = published_view_new();
	if (settings->proxy.key_lease_ms)
		published_view_set_keys_until(proxy->published_view, 0);
	proxy->view_deadline_ms = INT64_MAX;
}

/* Stops the traffic thread, closes the ports and frees the state. */
static void close_proxy(proxy_t *proxy)
{
	if (proxy->traffic)
		traffic_stop(proxy->traffic, clock_now_ms(), clock_now_ms());
	metrics_close(proxy->metrics);
	poller_free(proxy->poller);
	if (proxy->server)
		link_server_close(proxy->server);
	link_clients_free(proxy->clients);
	relay_io_clear(&proxy->relay_io);
	cw_members_free(proxy->members);
	cw_feed_free(proxy->feed);
	published_view_free(proxy->published_view);
	g_free(proxy->announced_version);
	link_context_free(proxy->context);
}

/* Announces a change of the target's readiness or version, at most every TARGET_ANNOUNCE_INTERVAL_MS. */
static void announce_target_state(proxy_t *proxy)
{
	bool ready = traffic_target_ready(proxy->traffic);
	g_autofree char *version = traffic_target_version(proxy->traffic);
	bool is_announced = ready == proxy->announced_ready && !g_strcmp0(version, proxy->announced_version);

	if (is_announced || clock_now_ms() < proxy->next_target_announce_ms)
		return;
	proxy->announced_ready = ready;
	proxy->next_target_announce_ms = clock_now_ms() + TARGET_ANNOUNCE_INTERVAL_MS;
	log_info("target", LOG_STR("state", ready ? "takes work" : "takes no work"),
		 LOG_STR("version", version), LOG_END);
	announce_endpoint(proxy, ready ? CARAWAY__ENDPOINT_STATE__ENDPOINT_UP
				       : CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING);
}

/*
 * Shuts down in steps.  First callers are directed to other proxies while all
 * calls are still accepted, so that the target is without work only briefly.
 * Then new calls to the target are refused, the calls in flight finish, and the
 * process stops.
 */
static void shut_down(proxy_t *proxy)
{
	int64_t now_ms = clock_now_ms();
	cw_stop_plan_t plan = cw_stop_plan(now_ms, proxy->settings->proxy.grace_ms);
	cw_relay_event_t stopping = {.type = CW_RELAY_EV_STOPPING};

	log_info("leaving", LOG_UINT("in-flight", traffic_in_flight(proxy->traffic)), LOG_END);
	traffic_drain_callers(proxy->traffic);
	for (; now_ms < plan.propagated_ms; now_ms = clock_now_ms()) {
		run_iteration(proxy);
		announce_target_state(proxy);
	}
	log_info("draining", LOG_UINT("in-flight", traffic_in_flight(proxy->traffic)), LOG_END);
	announce_endpoint(proxy, CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING);
	traffic_drain_target(proxy->traffic);
	for (; now_ms < plan.accept_until_ms && traffic_in_flight(proxy->traffic); now_ms = clock_now_ms())
		run_iteration(proxy);
	relay_io_step(&proxy->relay_io, &stopping);
	announce_endpoint(proxy, CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE);
	run_iteration(proxy);
	log_info("stopping", LOG_UINT("in-flight", traffic_in_flight(proxy->traffic)), LOG_END);
	traffic_stop(proxy->traffic, plan.accept_until_ms, plan.exit_by_ms);
	proxy->traffic = NULL;
	log_info("stopped", LOG_END);
}

/* Applies a change of the settings at run time: the addresses of the control replicas. */
static void apply_changed_settings(const proxy_t *proxy, reload_t *reload)
{
	settings_t *settings = reload_poll(reload, clock_now_ms());

	if (!settings)
		return;
	cw_relay_set_control_addresses(proxy->relay_io.relay,
				       (const char *const *)settings->control_addresses->pdata,
				       settings->control_addresses->len);
	settings_free(settings);
}

/* Runs a proxy until a stop is requested, then shuts it down.  CW_ERR_IO when a port cannot be bound. */
cw_status_t proxy_run(const settings_t *settings, const gateway_t *gateway, const run_signals_t *signals)
{
	proxy_t proxy = {0};
	reload_t reload;
	cw_status_t status;

	init_proxy(&proxy, settings);
	proxy.gateway = gateway;
	status = start_proxy(&proxy);
	if (status == CW_OK) {
		reload_init(&reload, signals);
		while (!*signals->stop) {
			run_iteration(&proxy);
			announce_target_state(&proxy);
			apply_changed_settings(&proxy, &reload);
		}
		shut_down(&proxy);
	}
	close_proxy(&proxy);
	return status;
}
