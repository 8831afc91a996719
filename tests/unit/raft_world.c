/* See raft_world.h. */
#include "raft_world.h"

#include <string.h>

#include "raft_network.h"

enum { START_MS = 1000, APPEND_BYTES = 512, STATE_BYTES = 1500, NO_SYNC_ENTRIES = 3, DEFAULT_DELAY_MS = 5 };

typedef struct {
	uint64_t term;
	uint64_t cookie;
} world_pending_t;

/* The state of a replica, as in its snapshots; padded so that a snapshot takes several parts. */
typedef struct {
	uint64_t index;
	uint64_t digest;
	uint8_t padding[STATE_BYTES];
} world_state_t;

static void carry_out(world_t *world, world_replica_t *replica, cw_raft_actions_t *actions);

/* Takes over the state in a snapshot. */
static void load_state(world_t *world, world_replica_t *replica, GBytes *snapshot)
{
	world_state_t state = {0};

	if (snapshot)
		memcpy(&state, g_bytes_get_data(snapshot, NULL), sizeof(state));
	replica->applied = state.index;
	replica->digest = state.digest;
	raft_observer_started(world->observer, replica->id, state.index, state.digest);
}

/* Snapshots a replica's state and drops the log before it. */
static void take_snapshot(world_t *world, world_replica_t *replica)
{
	world_state_t state = {.index = replica->applied, .digest = replica->digest};
	GBytes *packed = g_bytes_new(&state, sizeof(state));
	cw_raft_event_t event = {CW_RAFT_EV_SNAPSHOT_TAKEN, .index = replica->applied};

	world_disk_snapshot(&replica->disk, replica->applied,
			    cw_raft_term_at(replica->raft, replica->applied),
			    cw_raft_membership_at(replica->raft, replica->applied), packed, true);
	event.data = &state;
	event.length = sizeof(state);
	world_event(world, replica->id, &event);
	g_bytes_unref(packed);
}

/* Applies a committed entry and settles the proposal that was given its index. */
static void apply(world_t *world, world_replica_t *replica, const Caraway__Entry *entry)
{
	world_pending_t *pending = g_hash_table_lookup(replica->pending, GSIZE_TO_POINTER(entry->index));

	replica->digest = raft_observer_digest(replica->digest, entry->index, entry->term, entry->data.data,
					       entry->data.len);
	replica->applied = entry->index;
	raft_observer_applied(world->observer, replica->id, entry->index, replica->digest,
			      cw_raft_term(replica->raft));
	if (!pending)
		return;
	if (pending->term == entry->term)
		world->acknowledged++;
	else
		world->lost++;
	g_hash_table_remove(replica->pending, GSIZE_TO_POINTER(entry->index));
}

/* Tells the observer of a new leader and of its log on disk, up to what was committed before its term. */
static void observe_role(world_t *world, const world_replica_t *replica)
{
	const cw_raft_stored_t *disk = &replica->disk;
	world_state_t state = {0};
	uint64_t term = cw_raft_term(replica->raft);
	uint64_t committed = raft_observer_committed_before(world->observer, term);

	if (cw_raft_role(replica->raft) != CW_RAFT_LEADER)
		return;
	raft_observer_leads(world->observer, replica->id, term, replica->incarnation);
	if (disk->snapshot)
		memcpy(&state, g_bytes_get_data(disk->snapshot, NULL), sizeof(state));
	for (guint i = 0; i < disk->entries->len && state.index < committed; i++) {
		const Caraway__Entry *entry = g_ptr_array_index(disk->entries, i);

		state.digest = raft_observer_digest(state.digest, entry->index, entry->term, entry->data.data,
						    entry->data.len);
		state.index = entry->index;
	}
	raft_observer_leader_log(world->observer, replica->id, term, state.index, state.digest);
}

/* Makes a term and vote durable. */
static void save_term(world_t *world, world_replica_t *replica, const cw_raft_action_t *action)
{
	replica->disk.term = action->term;
	replica->disk.voted_id = action->voted_id;
	replica->disk.voted_incarnation = action->voted_incarnation;
	if (action->voted_id)
		raft_observer_voted(world->observer, replica->id, replica->incarnation, action->term,
				    action->voted_id * 1000003 + action->voted_incarnation,
				    world_disk_last_index(&replica->disk));
}

/* Replaces a replica's disk and state by a received snapshot. */
static void install(world_t *world, world_replica_t *replica, const cw_raft_action_t *action)
{
	world_disk_snapshot(&replica->disk, action->index, action->term, action->membership, action->snapshot,
			    false);
	g_hash_table_remove_all(replica->pending);
	load_state(world, replica, action->snapshot);
}

/* Remembers a proposal until its index is applied. */
static void remember(world_replica_t *replica, const cw_raft_action_t *action)
{
	world_pending_t *pending = g_new0(world_pending_t, 1);

	pending->term = action->term;
	pending->cookie = action->cookie;
	g_hash_table_insert(replica->pending, GSIZE_TO_POINTER(action->index), pending);
}

/* Carries out one action other than a write. */
static void carry_out_one(world_t *world, world_replica_t *replica, const cw_raft_action_t *action)
{
	switch (action->type) {
	case CW_RAFT_AC_SEND:
		raft_network_post(world, replica->id, action);
		break;
	case CW_RAFT_AC_APPLY:
		apply(world, replica, action->entry);
		break;
	case CW_RAFT_AC_PROPOSED:
		remember(replica, action);
		break;
	case CW_RAFT_AC_READ_READY:
		world->reads++;
		raft_observer_read_answered(world->observer, action->cookie, replica->applied);
		break;
	case CW_RAFT_AC_REFUSED:
		world->refused++;
		break;
	case CW_RAFT_AC_ROLE:
		observe_role(world, replica);
		break;
	case CW_RAFT_AC_SAVE_INCARNATION:
		replica->incarnation = action->incarnation;
		break;
	case CW_RAFT_AC_SAVE_TERM:
		save_term(world, replica, action);
		break;
	case CW_RAFT_AC_APPEND:
		world_disk_append(&replica->disk, action->entries);
		break;
	case CW_RAFT_AC_INSTALL:
		install(world, replica, action);
		break;
	}
}

/* Returns whether an action writes to the disk. */
static bool writes(const cw_raft_action_t *action)
{
	return action->type == CW_RAFT_AC_SAVE_TERM || action->type == CW_RAFT_AC_SAVE_INCARNATION ||
	       action->type == CW_RAFT_AC_APPEND || action->type == CW_RAFT_AC_INSTALL;
}

/* Carries out actions in order, until a write fails or the process is killed after one. */
static void carry_out(world_t *world, world_replica_t *replica, cw_raft_actions_t *actions)
{
	for (guint i = 0; i < actions->items->len; i++) {
		const cw_raft_action_t *action = &g_array_index(actions->items, cw_raft_action_t, i);

		if (writes(action) && replica->write_fails) {
			cw_raft_event_t event = {.type = CW_RAFT_EV_STORAGE_FAILED};

			replica->write_fails = false;
			world_event(world, replica->id, &event);
			return;
		}
		carry_out_one(world, replica, action);
		if (writes(action) && world->crash_in_step) {
			world->crash_in_step = false;
			world_crash(world, replica->id);
			return;
		}
	}
}

/* Counts the replicas that claim a lease at this instant. */
static void observe_leases(world_t *world)
{
	unsigned holders = 0;

	for (uint32_t id = 1; id <= world->count; id++)
		if (world->replicas[id].raft && cw_raft_has_lease(world->replicas[id].raft, world->now_ms))
			holders++;
	raft_observer_leases(world->observer, holders);
}

/* Gives an event to a replica that runs. */
void world_event(world_t *world, uint32_t id, const cw_raft_event_t *event)
{
	world_replica_t *replica = &world->replicas[id];
	cw_raft_actions_t actions;

	if (!replica->raft)
		return;
	cw_raft_actions_init(&actions);
	cw_raft_step(replica->raft, event, world->now_ms, &actions);
	carry_out(world, replica, &actions);
	cw_raft_actions_clear(&actions);
	g_array_free(actions.items, TRUE);
	observe_leases(world);
	if (replica->raft && cw_raft_role(replica->raft) != CW_RAFT_FAILED &&
	    replica->applied - replica->disk.snapshot_index >= world->snapshot_entries)
		take_snapshot(world, replica);
}

world_t *world_new(uint32_t count, uint64_t seed, naive_t naive)
{
	world_timing_t timing = {WORLD_HEARTBEAT_MS, WORLD_ELECTION_MS, WORLD_LEASE_MS};

	if (naive == NAIVE_LONG_LEASE)
		timing.lease_ms = 3 * WORLD_ELECTION_MS;
	return world_new_timed(count, seed, naive, timing);
}

world_t *world_new_timed(uint32_t count, uint64_t seed, naive_t naive, world_timing_t timing)
{
	world_t *world = g_new0(world_t, 1);

	world->naive = naive;
	world->timing = timing;
	world->now_ms = START_MS;
	world->count = count;
	world->messages = raft_network_new();
	world->random = g_rand_new_with_seed((guint32)seed);
	world->observer = raft_observer_new();
	world->next_incarnation = WORLD_MAX;
	world->snapshot_entries = 40;
	world_heal(world);
	for (uint32_t id = 1; id <= count; id++) {
		world->replicas[id].id = id;
		world->replicas[id].incarnation = id;
		world->replicas[id].pending = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		world_disk_format(&world->replicas[id].disk, world_membership(count));
		world_start(world, id);
	}
	return world;
}

void world_free(world_t *world)
{
	for (uint32_t id = 1; id <= world->count; id++) {
		world_replica_t *replica = &world->replicas[id];

		world_crash(world, id);
		world_disk_format(&replica->disk, NULL);
		g_ptr_array_free(replica->disk.entries, TRUE);
		g_hash_table_destroy(replica->pending);
	}
	g_sequence_free(world->messages);
	g_rand_free(world->random);
	raft_observer_free(world->observer);
	g_free(world);
}

/* Starts a replica from its disk. */
void world_start(world_t *world, uint32_t id)
{
	world_replica_t *replica = &world->replicas[id];
	Caraway__Replica peers[WORLD_MAX];
	const Caraway__Replica *list[WORLD_MAX];
	char addresses[WORLD_MAX][4];
	cw_raft_options_t options = {
		.id = id, .incarnation = replica->incarnation, .address = addresses[id - 1]};

	if (replica->raft)
		return;
	for (uint32_t i = 0; i < world->count; i++) {
		caraway__replica__init(&peers[i]);
		peers[i].id = i + 1;
		g_snprintf(addresses[i], sizeof(addresses[i]), "%u", i + 1);
		peers[i].address = addresses[i];
		list[i] = &peers[i];
	}
	options.heartbeat_ms = world->timing.heartbeat_ms;
	options.election_ms = world->timing.election_ms;
	options.lease_ms = world->timing.lease_ms;
	options.seed = g_rand_int(world->random);
	options.max_append_bytes = APPEND_BYTES;
	options.replicas = list;
	options.replica_count = world->count;
	replica->frozen_until_ms = 0;
	replica->write_fails = false;
	load_state(world, replica, replica->disk.snapshot);
	replica->raft = cw_raft_new(&options, &replica->disk, world->now_ms);
}

/* Kills a replica; what it has written stays. */
void world_crash(world_t *world, uint32_t id)
{
	world_replica_t *replica = &world->replicas[id];

	cw_raft_free(replica->raft);
	replica->raft = NULL;
	g_hash_table_remove_all(replica->pending);
	if (world->naive == NAIVE_NO_SYNC)
		g_ptr_array_set_size(replica->disk.entries,
				     MAX(0, (gint)replica->disk.entries->len - NO_SYNC_ENTRIES));
	if (world->naive == NAIVE_FORGET_VOTE)
		replica->disk.voted_id = 0;
}

/* Replaces the disk of a replica that does not run by an empty one. */
void world_lose_disk(world_t *world, uint32_t id)
{
	world_replica_t *replica = &world->replicas[id];
	bool format = world->naive == FORMAT_AGAIN;
	bool keep = world->naive == NAIVE_KEEP_IDENTITY;

	world->disks_lost++;
	if (!keep)
		raft_observer_disk_lost(world->observer, id, world_disk_last_index(&replica->disk));
	world_disk_format(&replica->disk, keep || format ? world_membership(world->count) : NULL);
	replica->disk.term = keep ? 1 : 0;
	if (format)
		replica->incarnation = id;
	else if (!keep)
		replica->incarnation = ++world->next_incarnation;
}

/* Stops a replica for a while, as by SIGSTOP; messages wait for it. */
void world_freeze(world_t *world, uint32_t id, int64_t duration_ms)
{
	world->replicas[id].frozen_until_ms = world->now_ms + duration_ms;
}

/* Ends every cut and makes the network calm. */
void world_heal(world_t *world)
{
	memset(world->cut, 0, sizeof(world->cut));
	world->network = (world_network_t){.delay_ms = DEFAULT_DELAY_MS};
}

/* Proposes a new command at a replica. */
void world_propose(world_t *world, uint32_t id)
{
	uint64_t cookie = ++world->next_cookie;
	cw_raft_event_t event = {CW_RAFT_EV_PROPOSE, .cookie = cookie, .data = &cookie,
				 .length = sizeof(cookie)};

	if (world->now_ms >= world->replicas[id].frozen_until_ms)
		world_event(world, id, &event);
}

/* Reads at a replica. */
void world_read(world_t *world, uint32_t id)
{
	world_replica_t *replica = &world->replicas[id];
	uint64_t cookie = ++world->next_cookie;
	cw_raft_event_t event = {CW_RAFT_EV_READ, .cookie = cookie};

	if (!replica->raft || world->now_ms < replica->frozen_until_ms)
		return;
	raft_observer_read(world->observer, cookie);
	if (world->naive != NAIVE_LOCAL_READ)
		world_event(world, id, &event);
	else if (cw_raft_role(replica->raft) == CW_RAFT_LEADER)
		raft_observer_read_answered(world->observer, cookie, replica->applied);
}

/* Returns when a replica wants its next tick. */
static int64_t deadline_ms(const world_replica_t *replica)
{
	if (!replica->raft)
		return INT64_MAX;
	return MAX(cw_raft_next_tick_ms(replica->raft), replica->frozen_until_ms);
}

/* Returns the replica whose tick is due first. */
static world_replica_t *first_due(world_t *world)
{
	world_replica_t *first = &world->replicas[1];

	for (uint32_t id = 2; id <= world->count; id++)
		if (deadline_ms(&world->replicas[id]) < deadline_ms(first))
			first = &world->replicas[id];
	return first;
}

/* Runs until a time has passed or the observer has seen a violation. */
void world_run(world_t *world, int64_t duration_ms)
{
	int64_t end_ms = world->now_ms + duration_ms;
	cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};

	while (!raft_observer_violation(world->observer)) {
		world_replica_t *due = first_due(world);
		int64_t message_ms = raft_network_due_ms(world);
		int64_t next_ms = MIN(message_ms, deadline_ms(due));

		if (next_ms > end_ms)
			break;
		world->now_ms = MAX(world->now_ms, next_ms);
		if (message_ms <= next_ms)
			raft_network_deliver(world);
		else
			world_event(world, due->id, &tick);
	}
	world->now_ms = MAX(world->now_ms, end_ms);
	observe_leases(world);
}

uint32_t world_leader(const world_t *world)
{
	for (uint32_t id = 1; id <= world->count; id++)
		if (world->replicas[id].raft && cw_raft_has_lease(world->replicas[id].raft, world->now_ms))
			return id;
	return 0;
}
