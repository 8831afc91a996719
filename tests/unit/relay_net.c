/* Simulation of relays: its nodes, their processes and the replicated log. */
#include "relay_net_internal.h"

enum { MAX_UPDATE_BYTES = 65536 }; /* per answer: the default of the daemon */

static const char *const zone_names[] = {"miskolc", "eger",    "salgotarjan", "ozd",
					 "bole",    "piassa",  "merkato",     "kazanchis",
					 "zone-9",  "zone-10", "zone-11",     "zone-12"};

/* Returns the options of a small network. */
net_options_t net_default_options(void)
{
	return (net_options_t){
		.control_replicas = 3,
		.zones = 4,
		.proxies = 12,
		.seed = 1,
		.link_delay_us = 500,
		.jitter_us = 200,
		.freshness_ms = 3000,
		.hold_ms = 5000,
		.batch_ms = 100,
		.stamp_ms = 1000,
		.report_ms = 10000,
		.lease_ms = 30000,
		.max_children = 16,
		.zone_heads = 1,
		.keep_records = 1000,
	};
}

/* Frees a log entry. */
static void log_entry_free(void *data)
{
	log_entry_t *entry = data;

	cw_message_free(entry->content);
	cw_message_free(entry->vm);
	g_free(entry);
}

/* Applies log entries to the feed of a control replica until it has applied the given number. */
void net_apply_log(net_t *net, net_node_t *node, size_t length)
{
	for (; node->applied < length; node->applied++) {
		const log_entry_t *entry = g_ptr_array_index(net->log, node->applied);

		if (entry->type == LOG_STAGE)
			cw_feed_stage(node->feed, entry->number, entry->content);
		else if (entry->type == LOG_ACTIVATE)
			cw_feed_activate(node->feed, entry->number, 0, 0);
		else
			cw_feed_set_vm(node->feed, entry->vm);
	}
}

/*
 * Creates the relay of a node.  A control replica, and with direct pulls every relay,
 * accepts all nodes as children.
 */
static cw_relay_t *create_relay(const net_t *net, const net_node_t *node)
{
	const char **controls = g_new0(const char *, net->options.control_replicas + 1);
	cw_relay_options_t options = {
		.kind = node->is_control_replica ? CW_RELAY_REPLICA : CW_RELAY_PROXY,
		.vm = node->name,
		.zone = node->zone,
		.incarnation = node->incarnation,
		.control_addresses = controls,
		.control_address_count = net->options.control_replicas,
		.freshness_ms = net->options.freshness_ms,
		.hold_ms = net->options.hold_ms,
		.batch_ms = net->options.batch_ms,
		.stamp_ms = net->options.stamp_ms,
		.report_ms = net->options.report_ms,
		.max_children = net->options.max_children,
		.zone_heads = net->options.zone_heads,
		.max_update_bytes = MAX_UPDATE_BYTES,
		.seed = net->options.seed * 1000003 + node->incarnation * 7919 + (uint64_t)node->id,
	};
	cw_relay_t *relay;

	if (net->options.direct || node->is_control_replica)
		options.max_children = net->options.proxies + net->options.control_replicas;
	if (net->options.direct)
		options.zone_heads = net->options.proxies;
	for (uint32_t i = 0; i < net->options.control_replicas; i++)
		controls[i] = net_node(net, i)->name;
	relay = cw_relay_new(&options, node->feed, node->members, net->now_us / US_PER_MS);
	g_free(controls);
	return relay;
}

/* Notifies a control replica of the current leader. */
static void notify_of_leader(net_t *net, net_node_t *node)
{
	cw_relay_event_t event = {.type = CW_RELAY_EV_FOLLOW};

	if (net->leader == node->id) {
		event.type = CW_RELAY_EV_LEAD;
		event.term = net->term;
	} else if (net->leader != NET_NO_NODE) {
		event.address = net_node(net, (size_t)net->leader)->name;
	}
	net_step(net, node, &event);
}

void net_announce_endpoint(net_t *net, net_node_t *node, Caraway__EndpointState state)
{
	Caraway__Endpoint endpoint = CARAWAY__ENDPOINT__INIT;
	cw_relay_event_t event = {.type = CW_RELAY_EV_ENDPOINT, .endpoint = &endpoint};

	endpoint.vm = node->name;
	endpoint.zone = node->zone;
	endpoint.region = "eszak";
	endpoint.service = "sorompo";
	endpoint.incarnation = node->incarnation;
	endpoint.sequence = ++node->sequence;
	endpoint.state = state;
	endpoint.call_address = "192.0.2.200:7201";
	endpoint.feed_address = node->name;
	endpoint.slots = 12;
	net_step(net, node, &event);
}

void net_start(net_t *net, net_node_t *node)
{
	cw_relay_event_t tick = {.type = CW_RELAY_EV_TICK};

	node->incarnation = ++net->process_starts * 1000000;
	node->feed = cw_feed_new(net->options.keep_records);
	node->members = cw_members_new(0, net->options.lease_ms);
	node->applied = 0;
	node->tick_us = -1;
	node->used_version = 0;
	node->relay = create_relay(net, node);
	if (net->callbacks.process_started)
		net->callbacks.process_started(net->callbacks.data, node, net->now_us);
	if (node->is_control_replica) {
		net_apply_log(net, node, net->log->len);
		notify_of_leader(net, node);
	} else if (!net->options.no_announcements) {
		net_announce_endpoint(net, node, CARAWAY__ENDPOINT_STATE__ENDPOINT_UP);
	} else {
		net_step(net, node, &tick);
	}
}

void net_kill(net_t *net, net_node_t *node)
{
	(void)net;
	if (!node->relay)
		return;
	cw_relay_free(node->relay);
	cw_feed_free(node->feed);
	cw_members_free(node->members);
	node->relay = NULL;
	node->feed = NULL;
	node->members = NULL;
}

void net_elect(net_t *net, net_node_t *node, bool notify_old)
{
	int old = net->leader;

	net->leader = node->id;
	net->term++;
	net_apply_log(net, node, net->log->len);
	for (uint32_t i = 0; i < net->options.control_replicas; i++)
		if (net_node(net, i)->relay && (notify_old || (int)i != old))
			notify_of_leader(net, net_node(net, i));
}

/* Schedules the application of the log: at once in the leader, after a round trip in the other replicas. */
static void replicate_log(net_t *net)
{
	for (uint32_t i = 0; i < net->options.control_replicas; i++) {
		net_event_t event = {.type = EV_APPLY, .to = (int)i, .from = net->leader};

		event.read_index = net->log->len;
		net_schedule_event(net, event, net->leader == (int)i ? 0 : 2 * net->options.link_delay_us);
	}
}

/* Appends an entry to the log and replicates it. */
static void commit(net_t *net, log_entry_t *entry)
{
	g_ptr_array_add(net->log, entry);
	replicate_log(net);
}

void net_stage(net_t *net, uint64_t number, const Caraway__Content *content)
{
	log_entry_t *entry = g_new0(log_entry_t, 1);

	entry->type = LOG_STAGE;
	entry->number = number;
	entry->content = cw_message_copy(&content->base);
	commit(net, entry);
}

void net_activate(net_t *net, uint64_t number)
{
	log_entry_t *entry = g_new0(log_entry_t, 1);

	entry->type = LOG_ACTIVATE;
	entry->number = number;
	commit(net, entry);
}

/* Appends the registration of a proxy's VM to the log. */
static void append_vm(net_t *net, const net_node_t *node)
{
	Caraway__Vm vm = CARAWAY__VM__INIT;
	log_entry_t *entry = g_new0(log_entry_t, 1);

	vm.name = node->name;
	vm.zone = node->zone;
	vm.region = "eszak";
	vm.service = "sorompo";
	entry->type = LOG_VM;
	entry->vm = cw_message_copy(&vm.base);
	g_ptr_array_add(net->log, entry);
}

/* Frees a node and its process. */
static void node_free(void *data)
{
	net_node_t *node = data;

	net_kill(NULL, node);
	g_free(node->name);
	g_free(node->zone);
	g_free(node);
}

/* Adds a node that is down. */
static net_node_t *add_node(net_t *net, char *name, const char *zone, bool control)
{
	net_node_t *node = g_new0(net_node_t, 1);

	node->id = (int)net->nodes->len;
	node->name = name;
	node->zone = g_strdup(zone);
	node->is_control_replica = control;
	g_ptr_array_add(net->nodes, node);
	g_hash_table_insert(net->nodes_by_name, node->name, node);
	return node;
}

/* Adds all nodes and registers the VMs of the proxies. */
static void add_nodes(net_t *net)
{
	for (uint32_t i = 0; i < net->options.control_replicas; i++)
		add_node(net, g_strdup_printf("control-%u", i + 1), "", true);
	for (uint32_t i = 0; i < net->options.proxies; i++) {
		const char *zone = zone_names[i % net->options.zones];

		append_vm(net, add_node(net, g_strdup_printf("%s-%u", zone, i / net->options.zones + 1), zone,
					false));
	}
}

net_t *net_new(const net_options_t *options, const net_callbacks_t *callbacks)
{
	net_t *net = g_new0(net_t, 1);

	net->options = *options;
	if (callbacks)
		net->callbacks = *callbacks;
	net->random = g_rand_new_with_seed((guint32)options->seed);
	net->events = g_sequence_new(net_event_free);
	net->nodes = g_ptr_array_new_with_free_func(node_free);
	net->nodes_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	net->log = g_ptr_array_new_with_free_func(log_entry_free);
	net->cut_links = g_array_new(FALSE, FALSE, sizeof(cut_link_t));
	net->leader = NET_NO_NODE;
	add_nodes(net);
	for (size_t i = 0; i < net->nodes->len; i++)
		net_start(net, net_node(net, i));
	net_elect(net, net_node(net, 0), true);
	return net;
}

void net_free(net_t *net)
{
	g_sequence_free(net->events);
	g_ptr_array_unref(net->nodes);
	g_hash_table_unref(net->nodes_by_name);
	g_ptr_array_unref(net->log);
	g_array_unref(net->cut_links);
	g_rand_free(net->random);
	g_free(net);
}

int64_t net_now_us(const net_t *net)
{
	return net->now_us;
}

size_t net_node_count(const net_t *net)
{
	return net->nodes->len;
}

net_node_t *net_node(const net_t *net, size_t id)
{
	return g_ptr_array_index(net->nodes, id);
}

net_node_t *net_find_node(const net_t *net, const char *name)
{
	return g_hash_table_lookup(net->nodes_by_name, name);
}

net_node_t *net_leader(const net_t *net)
{
	return net_node(net, (size_t)net->leader);
}

void net_cut(net_t *net, const net_node_t *from, const net_node_t *to)
{
	cut_link_t cut = {from ? from->id : NET_NO_NODE, to ? to->id : NET_NO_NODE};

	g_array_append_val(net->cut_links, cut);
}

void net_heal(net_t *net)
{
	g_array_set_size(net->cut_links, 0);
	replicate_log(net);
}

void net_inject(net_t *net, net_node_t *from, net_node_t *to, const Caraway__Message *message)
{
	net_transmit(net, from, to, message);
}
