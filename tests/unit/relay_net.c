/* Relays on a network of virtual time. */
#include "relay_net.h"

#include <string.h>

enum { US_PER_MS = 1000, CONFIRM_US = 1000, LATE_FACTOR = 40, NEWS_BYTES = 65536 };

typedef enum { EV_TICK, EV_MESSAGE, EV_FAILED, EV_CONFIRMED, EV_APPLY } net_event_type_t;

typedef struct {
	int64_t time_us;
	uint64_t order;
	net_event_type_t type;
	int to;
	int from;
	uint64_t to_incarnation;
	uint64_t token; /* TICK, CONFIRMED */
	size_t read_index;
	bool down;	 /* MESSAGE: an answer, from parent to child */
	GBytes *message; /* MESSAGE */
} net_event_t;

typedef enum { LOG_STAGE, LOG_ACTIVATE, LOG_VM } log_type_t;

typedef struct {
	log_type_t type;
	uint64_t number;
	Caraway__Content *content;
	Caraway__Vm *vm;
} log_entry_t;

typedef struct {
	int from;
	int to;
} cut_t;

struct net {
	net_options_t options;
	net_watch_t watch;
	GRand *random;
	int64_t now_us;
	uint64_t order;
	uint64_t incarnations;
	GSequence *events;
	GPtrArray *nodes;
	GHashTable *by_name;
	GPtrArray *log;
	GArray *cuts;
	int leader;
	uint64_t term;
};

static const char *const zone_names[] = {"miskolc", "eger",    "salgotarjan", "ozd",
					 "bole",    "piassa",  "merkato",     "kazanchis",
					 "zone-9",  "zone-10", "zone-11",     "zone-12"};

/* Returns the options of a small net. */
net_options_t net_defaults(void)
{
	return (net_options_t){
		.controls = 3,
		.zones = 4,
		.proxies = 12,
		.seed = 1,
		.link_us = 500,
		.jitter_us = 200,
		.freshness_ms = 3000,
		.hold_ms = 5000,
		.batch_ms = 100,
		.stamp_ms = 1000,
		.report_ms = 10000,
		.lease_ms = 30000,
		.children = 16,
		.heads = 1,
		.keep_records = 1000,
	};
}

/* Orders events by time, then by when they were made. */
static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const net_event_t *left = a;
	const net_event_t *right = b;

	(void)data;
	if (left->time_us != right->time_us)
		return left->time_us < right->time_us ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

/* Frees one event. */
static void event_free(void *data)
{
	net_event_t *event = data;

	if (event->message)
		g_bytes_unref(event->message);
	g_free(event);
}

/* Puts an event in line. */
static void add_event(net_t *net, net_event_t event, int64_t delay_us)
{
	net_event_t *copy = g_memdup2(&event, sizeof(event));

	copy->time_us = net->now_us + delay_us;
	copy->order = net->order++;
	copy->to_incarnation = net_node(net, (size_t)event.to)->incarnation;
	g_sequence_insert_sorted(net->events, copy, compare_events, NULL);
}

/* Frees one entry of the log. */
static void entry_free(void *data)
{
	log_entry_t *entry = data;

	cw_message_free(entry->content);
	cw_message_free(entry->vm);
	g_free(entry);
}

/* Applies the log to the feed of a control replica up to a length. */
static void apply_log(net_t *net, net_node_t *node, size_t length)
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

/* Returns true while messages from one node to another are lost. */
static bool is_cut(const net_t *net, int from, int to)
{
	for (guint i = 0; i < net->cuts->len; i++) {
		const cut_t *cut = &g_array_index(net->cuts, cut_t, i);

		if ((cut->from == from || cut->from == NET_NO_NODE) &&
		    (cut->to == to || cut->to == NET_NO_NODE))
			return true;
	}
	return false;
}

/* Returns the time a message takes. */
static int64_t link_delay(net_t *net)
{
	int64_t delay_us = net->options.link_us;

	if (net->options.jitter_us)
		delay_us += g_rand_int_range(net->random, 0, (gint32)net->options.jitter_us);
	if (net->options.late_percent &&
	    (uint32_t)g_rand_int_range(net->random, 0, 100) < net->options.late_percent)
		delay_us *= LATE_FACTOR;
	return delay_us;
}

/* Puts a packed message on its way, perhaps twice. */
static void transmit(net_t *net, net_node_t *from, net_node_t *to, const Caraway__Message *message)
{
	bool delivered = to->relay && !is_cut(net, from->id, to->id);
	net_event_t event = {.type = EV_MESSAGE, .to = to->id, .from = from->id};
	bool twice = net->options.double_percent &&
		     (uint32_t)g_rand_int_range(net->random, 0, 100) < net->options.double_percent;

	event.down = message->body_case != CARAWAY__MESSAGE__BODY_PULL;
	event.message = cw_message_pack(&message->base);
	from->sent_messages++;
	from->sent_bytes += g_bytes_get_size(event.message);
	if (event.down)
		from->sent_down_bytes += g_bytes_get_size(event.message);
	if (net->watch.message)
		net->watch.message(net->watch.data, from, to, message, delivered, net->now_us);
	if (delivered)
		add_event(net, event, link_delay(net));
	if (delivered && twice) {
		g_bytes_ref(event.message);
		add_event(net, event, link_delay(net));
	}
	if (!delivered)
		g_bytes_unref(event.message);
}

/* Asks for the next tick of a node. */
static void schedule_tick(net_t *net, net_node_t *node)
{
	int64_t deadline_us = cw_relay_deadline_ms(node->relay) * US_PER_MS;
	net_event_t event = {.type = EV_TICK, .to = node->id, .from = node->id};

	if (deadline_us == node->tick_us)
		return;
	node->tick_us = deadline_us;
	event.token = ++node->tick_token;
	if (deadline_us < INT64_MAX / 2)
		add_event(net, event, MAX(0, deadline_us - net->now_us));
}

/* Uses the configuration that a proxy holds, and shows it to the observer. */
static void use_configuration(net_t *net, net_node_t *node)
{
	const cw_catalog_t *catalog = cw_feed_catalog(node->feed);
	const Caraway__Vm *vm = cw_catalog_vm(catalog, node->name);
	cw_config_t *config;

	if (!vm || (!cw_relay_ready(node->relay) && !net->options.no_floor))
		return;
	node->used_version = cw_feed_version(node->feed);
	if (!net->watch.use)
		return;
	config = cw_catalog_resolve(catalog, vm);
	net->watch.use(net->watch.data, node, config, net->now_us);
	cw_config_free(config);
}

/* Sends a pull; a process that is down refuses the connection. */
static void send_up(net_t *net, net_node_t *node, const cw_relay_action_t *action)
{
	net_node_t *to = net_find(net, action->address);
	net_event_t event = {.type = EV_FAILED, .to = node->id, .from = to->id};

	if (to->relay)
		transmit(net, node, to, action->message);
	else
		add_event(net, event, net->options.link_us);
}

/* Begins a confirmation by the quorum. */
static void begin_confirm(net_t *net, const net_node_t *node, uint64_t cookie)
{
	net_event_t event = {.type = EV_CONFIRMED, .to = node->id, .from = node->id};

	event.token = cookie;
	event.read_index = net->log->len;
	add_event(net, event, CONFIRM_US);
}

/* Carries out one action of a node. */
static void act(net_t *net, net_node_t *node, const cw_relay_action_t *action)
{
	switch (action->type) {
	case CW_RELAY_AC_SEND:
		send_up(net, node, action);
		break;
	case CW_RELAY_AC_ANSWER:
		transmit(net, node, net_find(net, g_bytes_get_data(action->peer, NULL)), action->message);
		break;
	case CW_RELAY_AC_CONFIGURATION:
		use_configuration(net, node);
		break;
	case CW_RELAY_AC_CONFIRM:
		begin_confirm(net, node, action->cookie);
		break;
	case CW_RELAY_AC_DROP:
		if (net->watch.leave && !node->control)
			net->watch.leave(net->watch.data, node);
		break;
	case CW_RELAY_AC_COUNT:
		node->counts[action->count]++;
		break;
	default:
		break;
	}
}

/* Steps the relay of a node and carries out what it asks for. */
static void step(net_t *net, net_node_t *node, const cw_relay_event_t *event)
{
	cw_relay_actions_t actions;
	uint64_t index = cw_feed_index(node->feed);

	cw_relay_actions_init(&actions);
	cw_relay_step(node->relay, event, net->now_us / US_PER_MS, &actions);
	for (guint i = 0; i < actions.items->len; i++)
		act(net, node, &g_array_index(actions.items, cw_relay_action_t, i));
	cw_relay_actions_clear(&actions);
	if (net->options.no_floor && !node->control && cw_feed_index(node->feed) != index)
		use_configuration(net, node);
	schedule_tick(net, node);
}

/* Changes a record on its way down: content that its digest does not match. */
static void damage(Caraway__Message *message)
{
	Caraway__News *news;

	if (message->body_case != CARAWAY__MESSAGE__BODY_NEWS)
		return;
	news = message->news;
	if (news->snapshot.len)
		news->snapshot.data[news->snapshot.len / 2] ^= 1;
	if (news->n_records)
		news->records[news->n_records - 1]->chain ^= 1;
}

/* Delivers a message to the relay of a node. */
static void deliver(net_t *net, net_node_t *node, const net_event_t *event)
{
	net_node_t *from = net_node(net, (size_t)event->from);
	gsize length;
	const void *data = g_bytes_get_data(event->message, &length);
	Caraway__Message *message = caraway__message__unpack(NULL, length, data);
	cw_relay_event_t relay_event = {.address = from->name};

	node->received_bytes += length;
	if (from->damages && event->down)
		damage(message);
	switch (message->body_case) {
	case CARAWAY__MESSAGE__BODY_PULL:
		relay_event.type = CW_RELAY_EV_PULL;
		relay_event.pull = message->pull;
		relay_event.peer = g_bytes_new(from->name, strlen(from->name) + 1);
		relay_event.utc_ms = net->now_us / US_PER_MS;
		break;
	case CARAWAY__MESSAGE__BODY_NEWS:
		relay_event.type = CW_RELAY_EV_NEWS;
		relay_event.news = message->news;
		break;
	default:
		relay_event.type = CW_RELAY_EV_REFUSED;
		relay_event.refused = message->pull_refused;
		break;
	}
	step(net, node, &relay_event);
	if (relay_event.peer)
		g_bytes_unref(relay_event.peer);
	cw_message_free(message);
}

/* Returns true when a replica leads and reaches most of the others both ways. */
static bool has_quorum(const net_t *net, const net_node_t *node)
{
	uint32_t reached = 1;

	for (uint32_t i = 0; i < net->options.controls; i++) {
		const net_node_t *other = net_node(net, i);

		if (other != node && other->relay && !is_cut(net, node->id, other->id) &&
		    !is_cut(net, other->id, node->id))
			reached++;
	}
	return net->leader == node->id && 2 * reached > net->options.controls;
}

/* Takes the end of a confirmation. */
static void take_confirmed(net_t *net, net_node_t *node, const net_event_t *event)
{
	cw_relay_event_t confirmed = {.type = CW_RELAY_EV_CONFIRMED, .cookie = event->token};

	if (!has_quorum(net, node)) {
		confirmed.type = CW_RELAY_EV_UNCONFIRMED;
		step(net, node, &confirmed);
		return;
	}
	apply_log(net, node, event->read_index);
	step(net, node, &confirmed);
}

/* Takes one event. */
static void take(net_t *net, const net_event_t *event)
{
	net_node_t *node = net_node(net, (size_t)event->to);
	cw_relay_event_t relay_event = {.type = CW_RELAY_EV_TICK};

	/* A message may reach a process that was started after it was sent. */
	if (!node->relay || (event->type != EV_MESSAGE && node->incarnation != event->to_incarnation))
		return;
	switch (event->type) {
	case EV_TICK:
		if (event->token != node->tick_token)
			return;
		node->tick_us = -1;
		break;
	case EV_MESSAGE:
		deliver(net, node, event);
		return;
	case EV_FAILED:
		relay_event.type = CW_RELAY_EV_SEND_FAILED;
		relay_event.address = net_node(net, (size_t)event->from)->name;
		break;
	case EV_CONFIRMED:
		take_confirmed(net, node, event);
		return;
	case EV_APPLY:
		if (node->lags || is_cut(net, net->leader, node->id))
			return;
		apply_log(net, node, event->read_index);
		relay_event.type = CW_RELAY_EV_FEED;
		break;
	}
	step(net, node, &relay_event);
}

/* Runs for a time. */
void net_run(net_t *net, int64_t duration_us)
{
	int64_t end_us = net->now_us + duration_us;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(net->events);
		net_event_t *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->time_us > end_us)
			break;
		net->now_us = event->time_us;
		take(net, event);
		g_sequence_remove(first);
	}
	net->now_us = end_us;
}

/* Makes the relay of a node. */
static cw_relay_t *make_relay(const net_t *net, const net_node_t *node)
{
	const char **controls = g_new0(const char *, net->options.controls + 1);
	cw_relay_options_t options = {
		.kind = node->control ? CW_RELAY_REPLICA : CW_RELAY_PROXY,
		.vm = node->name,
		.zone = node->zone,
		.incarnation = node->incarnation,
		.controls = controls,
		.control_count = net->options.controls,
		.freshness_ms = net->options.freshness_ms,
		.hold_ms = net->options.hold_ms,
		.batch_ms = net->options.batch_ms,
		.stamp_ms = net->options.stamp_ms,
		.report_ms = net->options.report_ms,
		.children = net->options.children,
		.heads = net->options.heads,
		.max_news_bytes = NEWS_BYTES,
		.seed = net->options.seed * 1000003 + node->incarnation * 7919 + (uint64_t)node->id,
	};
	cw_relay_t *relay;

	if (net->options.direct || node->control)
		options.children = net->options.proxies + net->options.controls;
	if (net->options.direct)
		options.heads = net->options.proxies;
	for (uint32_t i = 0; i < net->options.controls; i++)
		controls[i] = net_node(net, i)->name;
	relay = cw_relay_new(&options, node->feed, node->members, net->now_us / US_PER_MS);
	g_free(controls);
	return relay;
}

/* Tells a control replica who leads. */
static void tell_leader(net_t *net, net_node_t *node)
{
	cw_relay_event_t event = {.type = CW_RELAY_EV_FOLLOW};

	if (net->leader == node->id) {
		event.type = CW_RELAY_EV_LEAD;
		event.term = net->term;
	} else if (net->leader != NET_NO_NODE) {
		event.address = net_node(net, (size_t)net->leader)->name;
	}
	step(net, node, &event);
}

void net_announce(net_t *net, net_node_t *node, Caraway__EndpointState state)
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
	step(net, node, &event);
}

void net_start(net_t *net, net_node_t *node)
{
	cw_relay_event_t tick = {.type = CW_RELAY_EV_TICK};

	node->incarnation = ++net->incarnations * 1000000;
	node->feed = cw_feed_new(net->options.keep_records);
	node->members = cw_members_new(0, net->options.lease_ms);
	node->applied = 0;
	node->tick_us = -1;
	node->used_version = 0;
	node->relay = make_relay(net, node);
	if (net->watch.start)
		net->watch.start(net->watch.data, node, net->now_us);
	if (node->control) {
		apply_log(net, node, net->log->len);
		tell_leader(net, node);
	} else if (!net->options.no_members) {
		net_announce(net, node, CARAWAY__ENDPOINT_STATE__ENDPOINT_UP);
	} else {
		step(net, node, &tick);
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

void net_elect(net_t *net, net_node_t *node, bool tell_old)
{
	int old = net->leader;

	net->leader = node->id;
	net->term++;
	apply_log(net, node, net->log->len);
	for (uint32_t i = 0; i < net->options.controls; i++)
		if (net_node(net, i)->relay && (tell_old || (int)i != old))
			tell_leader(net, net_node(net, i));
}

/* Has the control replicas apply the log: the leader at once, the others when they hear of it. */
static void spread_log(net_t *net)
{
	for (uint32_t i = 0; i < net->options.controls; i++) {
		net_event_t event = {.type = EV_APPLY, .to = (int)i, .from = net->leader};

		event.read_index = net->log->len;
		add_event(net, event, net->leader == (int)i ? 0 : 2 * net->options.link_us);
	}
}

/* Commits an entry. */
static void commit(net_t *net, log_entry_t *entry)
{
	g_ptr_array_add(net->log, entry);
	spread_log(net);
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

/* Records the VM of a proxy, as registration does. */
static void commit_vm(net_t *net, const net_node_t *node)
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
	node->control = control;
	g_ptr_array_add(net->nodes, node);
	g_hash_table_insert(net->by_name, node->name, node);
	return node;
}

/* Adds every node and records the VMs. */
static void add_nodes(net_t *net)
{
	for (uint32_t i = 0; i < net->options.controls; i++)
		add_node(net, g_strdup_printf("control-%u", i + 1), "", true);
	for (uint32_t i = 0; i < net->options.proxies; i++) {
		const char *zone = zone_names[i % net->options.zones];

		commit_vm(net, add_node(net, g_strdup_printf("%s-%u", zone, i / net->options.zones + 1), zone,
					false));
	}
}

net_t *net_new(const net_options_t *options, const net_watch_t *watch)
{
	net_t *net = g_new0(net_t, 1);

	net->options = *options;
	if (watch)
		net->watch = *watch;
	net->random = g_rand_new_with_seed((guint32)options->seed);
	net->events = g_sequence_new(event_free);
	net->nodes = g_ptr_array_new_with_free_func(node_free);
	net->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	net->log = g_ptr_array_new_with_free_func(entry_free);
	net->cuts = g_array_new(FALSE, FALSE, sizeof(cut_t));
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
	g_hash_table_unref(net->by_name);
	g_ptr_array_unref(net->log);
	g_array_unref(net->cuts);
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

net_node_t *net_find(const net_t *net, const char *name)
{
	return g_hash_table_lookup(net->by_name, name);
}

net_node_t *net_leader(const net_t *net)
{
	return net_node(net, (size_t)net->leader);
}

void net_cut(net_t *net, const net_node_t *from, const net_node_t *to)
{
	cut_t cut = {from ? from->id : NET_NO_NODE, to ? to->id : NET_NO_NODE};

	g_array_append_val(net->cuts, cut);
}

void net_heal(net_t *net)
{
	g_array_set_size(net->cuts, 0);
	spread_log(net);
}

void net_inject(net_t *net, net_node_t *from, net_node_t *to, const Caraway__Message *message)
{
	transmit(net, from, to, message);
}
