/* See raft_sim.h. */
#include "raft_sim.h"

#include <string.h>

#include "raft_network.h"

enum {
	START_MS = 1000,	    /* virtual time at which a simulation starts */
	MAX_APPEND_BYTES = 512,	    /* less than a snapshot, which is therefore sent in several chunks */
	STATE_PADDING_BYTES = 1500, /* makes a snapshot larger than MAX_APPEND_BYTES */
	UNSYNCED_ENTRIES = 3,	    /* lost by a crash in VARIANT_NO_SYNC */
	DEFAULT_DELAY_MS = 5
};

typedef struct {
	uint64_t term;
	uint64_t cookie;
} pending_proposal_t;

/* The snapshot format of the state machine. */
typedef struct {
	uint64_t index;
	uint64_t digest;
	uint8_t padding[STATE_PADDING_BYTES];
} replica_state_t;

static void execute_actions(raft_sim_t *sim, raft_sim_replica_t *replica, cw_raft_actions_t *actions);

/* Sets the state of a replica to that of a snapshot; without one to the initial state. */
static void load_state(raft_sim_t *sim, raft_sim_replica_t *replica, GBytes *snapshot)
{
	replica_state_t state = {0};

	if (snapshot)
		memcpy(&state, g_bytes_get_data(snapshot, NULL), sizeof(state));
	replica->applied = state.index;
	replica->digest = state.digest;
	raft_observer_replica_started(sim->observer, replica->id, state.index, state.digest);
}

/* Takes a snapshot of a replica's state and removes the log entries that it covers. */
static void take_snapshot(raft_sim_t *sim, raft_sim_replica_t *replica)
{
	replica_state_t state = {.index = replica->applied, .digest = replica->digest};
	GBytes *packed = g_bytes_new(&state, sizeof(state));
	cw_raft_event_t event = {CW_RAFT_EV_SNAPSHOT_TAKEN, .index = replica->applied};

	raft_disk_save_snapshot(&replica->disk, replica->applied,
				cw_raft_term_at(replica->raft, replica->applied),
				cw_raft_membership_at(replica->raft, replica->applied), packed, true);
	event.data = &state;
	event.length = sizeof(state);
	raft_sim_step(sim, replica->id, &event);
	g_bytes_unref(packed);
}

/* Applies a committed entry; counts a proposal tracked for its index as acknowledged or overwritten. */
static void apply_entry(raft_sim_t *sim, raft_sim_replica_t *replica, const Caraway__Entry *entry)
{
	pending_proposal_t *pending = g_hash_table_lookup(replica->pending, GSIZE_TO_POINTER(entry->index));

	replica->digest = raft_observer_digest(replica->digest, entry->index, entry->term, entry->data.data,
					       entry->data.len);
	replica->applied = entry->index;
	raft_observer_applied(sim->observer, replica->id, entry->index, replica->digest,
			      cw_raft_term(replica->raft));
	if (!pending)
		return;
	if (pending->term == entry->term)
		sim->acknowledged++;
	else
		sim->overwritten++;
	g_hash_table_remove(replica->pending, GSIZE_TO_POINTER(entry->index));
}

/*
 * Reports a new leader to the observer, with the digest of the log on its disk up
 * to the last entry that was committed before its term.  Does nothing for other roles.
 */
static void report_new_leader(raft_sim_t *sim, const raft_sim_replica_t *replica)
{
	const cw_raft_stored_t *disk = &replica->disk;
	replica_state_t state = {0};
	uint64_t term = cw_raft_term(replica->raft);
	uint64_t committed = raft_observer_commit_index_before_term(sim->observer, term);

	if (cw_raft_role(replica->raft) != CW_RAFT_LEADER)
		return;
	raft_observer_leader_elected(sim->observer, replica->id, term, replica->incarnation);
	if (disk->snapshot)
		memcpy(&state, g_bytes_get_data(disk->snapshot, NULL), sizeof(state));
	for (guint i = 0; i < disk->entries->len && state.index < committed; i++) {
		const Caraway__Entry *entry = g_ptr_array_index(disk->entries, i);

		state.digest = raft_observer_digest(state.digest, entry->index, entry->term, entry->data.data,
						    entry->data.len);
		state.index = entry->index;
	}
	raft_observer_check_leader_log(sim->observer, replica->id, term, state.index, state.digest);
}

/*
 * Saves term and vote on the disk and reports a vote to the observer, with the id
 * and incarnation of the candidate combined into one number.
 */
static void save_term(raft_sim_t *sim, raft_sim_replica_t *replica, const cw_raft_action_t *action)
{
	replica->disk.term = action->term;
	replica->disk.voted_id = action->voted_id;
	replica->disk.voted_incarnation = action->voted_incarnation;
	if (action->voted_id)
		raft_observer_voted(sim->observer, replica->id, replica->incarnation, action->term,
				    action->voted_id * 1000003 + action->voted_incarnation,
				    raft_disk_last_index(&replica->disk));
}

/* Replaces log and state of a replica with a received snapshot. */
static void install_snapshot(raft_sim_t *sim, raft_sim_replica_t *replica, const cw_raft_action_t *action)
{
	raft_disk_save_snapshot(&replica->disk, action->index, action->term, action->membership,
				action->snapshot, false);
	g_hash_table_remove_all(replica->pending);
	load_state(sim, replica, action->snapshot);
}

/* Records a proposal until the entry at its index is applied or a snapshot is installed. */
static void track_proposal(raft_sim_replica_t *replica, const cw_raft_action_t *action)
{
	pending_proposal_t *pending = g_new0(pending_proposal_t, 1);

	pending->term = action->term;
	pending->cookie = action->cookie;
	g_hash_table_insert(replica->pending, GSIZE_TO_POINTER(action->index), pending);
}

/* Executes one action of a replica. */
static void execute_action(raft_sim_t *sim, raft_sim_replica_t *replica, const cw_raft_action_t *action)
{
	switch (action->type) {
	case CW_RAFT_AC_SEND:
		raft_network_send(sim, replica->id, action);
		break;
	case CW_RAFT_AC_APPLY:
		apply_entry(sim, replica, action->entry);
		break;
	case CW_RAFT_AC_PROPOSED:
		track_proposal(replica, action);
		break;
	case CW_RAFT_AC_READ_READY:
		sim->reads++;
		raft_observer_read_answered(sim->observer, action->cookie, replica->applied);
		break;
	case CW_RAFT_AC_REFUSED:
		sim->refused++;
		break;
	case CW_RAFT_AC_ROLE:
		report_new_leader(sim, replica);
		break;
	case CW_RAFT_AC_SAVE_INCARNATION:
		replica->incarnation = action->incarnation;
		break;
	case CW_RAFT_AC_SAVE_TERM:
		save_term(sim, replica, action);
		break;
	case CW_RAFT_AC_APPEND:
		raft_disk_append(&replica->disk, action->entries);
		break;
	case CW_RAFT_AC_INSTALL:
		install_snapshot(sim, replica, action);
		break;
	}
}

/* Returns whether an action writes to the disk. */
static bool is_write(const cw_raft_action_t *action)
{
	return action->type == CW_RAFT_AC_SAVE_TERM || action->type == CW_RAFT_AC_SAVE_INCARNATION ||
	       action->type == CW_RAFT_AC_APPEND || action->type == CW_RAFT_AC_INSTALL;
}

/* Executes actions in order, until a write fails or the replica crashes after a write. */
static void execute_actions(raft_sim_t *sim, raft_sim_replica_t *replica, cw_raft_actions_t *actions)
{
	for (guint i = 0; i < actions->items->len; i++) {
		const cw_raft_action_t *action = &g_array_index(actions->items, cw_raft_action_t, i);

		if (is_write(action) && replica->write_fails) {
			cw_raft_event_t event = {.type = CW_RAFT_EV_STORAGE_FAILED};

			replica->write_fails = false;
			raft_sim_step(sim, replica->id, &event);
			return;
		}
		execute_action(sim, replica, action);
		if (is_write(action) && sim->crash_after_write) {
			sim->crash_after_write = false;
			raft_sim_crash(sim, replica->id);
			return;
		}
	}
}

/* Reports to the observer how many replicas hold a lease at present. */
static void report_leases(raft_sim_t *sim)
{
	unsigned holders = 0;

	for (uint32_t id = 1; id <= sim->replica_count; id++)
		if (sim->replicas[id].raft && cw_raft_has_lease(sim->replicas[id].raft, sim->now_ms))
			holders++;
	raft_observer_check_leases(sim->observer, holders);
}

/* Passes an event to a replica, unless it is stopped; executes the actions and takes a snapshot if due. */
void raft_sim_step(raft_sim_t *sim, uint32_t id, const cw_raft_event_t *event)
{
	raft_sim_replica_t *replica = &sim->replicas[id];
	cw_raft_actions_t actions;

	if (!replica->raft)
		return;
	cw_raft_actions_init(&actions);
	cw_raft_step(replica->raft, event, sim->now_ms, &actions);
	execute_actions(sim, replica, &actions);
	cw_raft_actions_clear(&actions);
	g_array_free(actions.items, TRUE);
	report_leases(sim);
	if (replica->raft && cw_raft_role(replica->raft) != CW_RAFT_FAILED &&
	    replica->applied - replica->disk.snapshot_index >= sim->snapshot_entries)
		take_snapshot(sim, replica);
}

raft_sim_t *raft_sim_new(uint32_t count, uint64_t seed, raft_sim_variant_t variant)
{
	raft_sim_timing_t timing = {RAFT_SIM_HEARTBEAT_MS, RAFT_SIM_ELECTION_MS, RAFT_SIM_LEASE_MS};

	if (variant == VARIANT_LONG_LEASE)
		timing.lease_ms = 3 * RAFT_SIM_ELECTION_MS;
	return raft_sim_new_with_timing(count, seed, variant, timing);
}

raft_sim_t *raft_sim_new_with_timing(uint32_t count, uint64_t seed, raft_sim_variant_t variant,
				     raft_sim_timing_t timing)
{
	raft_sim_t *sim = g_new0(raft_sim_t, 1);

	sim->variant = variant;
	sim->timing = timing;
	sim->now_ms = START_MS;
	sim->replica_count = count;
	sim->messages = raft_network_new();
	sim->random = g_rand_new_with_seed((guint32)seed);
	sim->observer = raft_observer_new();
	sim->last_incarnation = RAFT_SIM_MAX_REPLICAS;
	sim->snapshot_entries = 40;
	raft_sim_heal_network(sim);
	for (uint32_t id = 1; id <= count; id++) {
		sim->replicas[id].id = id;
		sim->replicas[id].incarnation = id;
		sim->replicas[id].pending = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		raft_disk_format(&sim->replicas[id].disk, raft_sim_membership(count));
		raft_sim_start_replica(sim, id);
	}
	return sim;
}

void raft_sim_free(raft_sim_t *sim)
{
	for (uint32_t id = 1; id <= sim->replica_count; id++) {
		raft_sim_replica_t *replica = &sim->replicas[id];

		raft_sim_crash(sim, id);
		raft_disk_format(&replica->disk, NULL);
		g_ptr_array_free(replica->disk.entries, TRUE);
		g_hash_table_destroy(replica->pending);
	}
	g_sequence_free(sim->messages);
	g_rand_free(sim->random);
	raft_observer_free(sim->observer);
	g_free(sim);
}

/* Starts a replica from the state on its disk. */
void raft_sim_start_replica(raft_sim_t *sim, uint32_t id)
{
	raft_sim_replica_t *replica = &sim->replicas[id];
	Caraway__Replica peers[RAFT_SIM_MAX_REPLICAS];
	const Caraway__Replica *list[RAFT_SIM_MAX_REPLICAS];
	char addresses[RAFT_SIM_MAX_REPLICAS][4];
	cw_raft_options_t options = {
		.id = id, .incarnation = replica->incarnation, .address = addresses[id - 1]};

	if (replica->raft)
		return;
	for (uint32_t i = 0; i < sim->replica_count; i++) {
		caraway__replica__init(&peers[i]);
		peers[i].id = i + 1;
		g_snprintf(addresses[i], sizeof(addresses[i]), "%u", i + 1);
		peers[i].address = addresses[i];
		list[i] = &peers[i];
	}
	options.heartbeat_ms = sim->timing.heartbeat_ms;
	options.election_ms = sim->timing.election_ms;
	options.lease_ms = sim->timing.lease_ms;
	options.seed = g_rand_int(sim->random);
	options.max_append_bytes = MAX_APPEND_BYTES;
	options.replicas = list;
	options.replica_count = sim->replica_count;
	replica->frozen_until_ms = 0;
	replica->write_fails = false;
	load_state(sim, replica, replica->disk.snapshot);
	replica->raft = cw_raft_new(&options, &replica->disk, sim->now_ms);
}

/* Stops a replica without notice.  Its disk is kept, except for what a defect of the variant loses. */
void raft_sim_crash(raft_sim_t *sim, uint32_t id)
{
	raft_sim_replica_t *replica = &sim->replicas[id];

	cw_raft_free(replica->raft);
	replica->raft = NULL;
	g_hash_table_remove_all(replica->pending);
	if (sim->variant == VARIANT_NO_SYNC)
		g_ptr_array_set_size(replica->disk.entries,
				     MAX(0, (gint)replica->disk.entries->len - UNSYNCED_ENTRIES));
	if (sim->variant == VARIANT_FORGET_VOTE)
		replica->disk.voted_id = 0;
}

/*
 * Replaces the disk of a stopped replica with an empty or newly formatted one, depending on the variant.
 * With VARIANT_KEEP_IDENTITY a stored term of 1 makes the replica take part in elections at once; with
 * term 0 and no log it would wait for all voters, as in the first election of a group.
 */
void raft_sim_lose_disk(raft_sim_t *sim, uint32_t id)
{
	raft_sim_replica_t *replica = &sim->replicas[id];
	bool reformat = sim->variant == VARIANT_REFORMAT;
	bool keep_identity = sim->variant == VARIANT_KEEP_IDENTITY;

	sim->disks_lost++;
	if (!keep_identity)
		raft_observer_disk_lost(sim->observer, id, raft_disk_last_index(&replica->disk));
	raft_disk_format(&replica->disk,
			 keep_identity || reformat ? raft_sim_membership(sim->replica_count) : NULL);
	replica->disk.term = keep_identity ? 1 : 0;
	if (reformat)
		replica->incarnation = id;
	else if (!keep_identity)
		replica->incarnation = ++sim->last_incarnation;
}

/* Suspends a replica for a time, as SIGSTOP does; messages to it are delivered afterwards. */
void raft_sim_freeze(raft_sim_t *sim, uint32_t id, int64_t duration_ms)
{
	sim->replicas[id].frozen_until_ms = sim->now_ms + duration_ms;
}

/* Unblocks all links and resets the network to short delays without loss. */
void raft_sim_heal_network(raft_sim_t *sim)
{
	memset(sim->blocked, 0, sizeof(sim->blocked));
	sim->network = (raft_sim_network_t){.delay_ms = DEFAULT_DELAY_MS};
}

/* Proposes a new command at a replica, unless it is stopped or frozen. */
void raft_sim_propose(raft_sim_t *sim, uint32_t id)
{
	uint64_t cookie = ++sim->last_cookie;
	cw_raft_event_t event = {CW_RAFT_EV_PROPOSE, .cookie = cookie, .data = &cookie,
				 .length = sizeof(cookie)};

	if (sim->now_ms >= sim->replicas[id].frozen_until_ms)
		raft_sim_step(sim, id, &event);
}

/* Sends a read to a replica, unless it is stopped or frozen. */
void raft_sim_read(raft_sim_t *sim, uint32_t id)
{
	raft_sim_replica_t *replica = &sim->replicas[id];
	uint64_t cookie = ++sim->last_cookie;
	cw_raft_event_t event = {CW_RAFT_EV_READ, .cookie = cookie};

	if (!replica->raft || sim->now_ms < replica->frozen_until_ms)
		return;
	raft_observer_read_started(sim->observer, cookie);
	if (sim->variant != VARIANT_LOCAL_READ)
		raft_sim_step(sim, id, &event);
	else if (cw_raft_role(replica->raft) == CW_RAFT_LEADER)
		raft_observer_read_answered(sim->observer, cookie, replica->applied);
}

/* Returns the time of the next tick of a replica; INT64_MAX: it is stopped. */
static int64_t next_tick_ms(const raft_sim_replica_t *replica)
{
	if (!replica->raft)
		return INT64_MAX;
	return MAX(cw_raft_next_tick_ms(replica->raft), replica->frozen_until_ms);
}

/* Returns the replica with the earliest next tick. */
static raft_sim_replica_t *next_replica(raft_sim_t *sim)
{
	raft_sim_replica_t *first = &sim->replicas[1];

	for (uint32_t id = 2; id <= sim->replica_count; id++)
		if (next_tick_ms(&sim->replicas[id]) < next_tick_ms(first))
			first = &sim->replicas[id];
	return first;
}

/* Runs the simulation for a time, or until the observer has found a violation. */
void raft_sim_run(raft_sim_t *sim, int64_t duration_ms)
{
	int64_t end_ms = sim->now_ms + duration_ms;
	cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};

	while (!raft_observer_violation(sim->observer)) {
		raft_sim_replica_t *next = next_replica(sim);
		int64_t message_ms = raft_network_next_delivery_ms(sim);
		int64_t next_ms = MIN(message_ms, next_tick_ms(next));

		if (next_ms > end_ms)
			break;
		sim->now_ms = MAX(sim->now_ms, next_ms);
		if (message_ms <= next_ms)
			raft_network_deliver(sim);
		else
			raft_sim_step(sim, next->id, &tick);
	}
	sim->now_ms = MAX(sim->now_ms, end_ms);
	report_leases(sim);
}

uint32_t raft_sim_leader(const raft_sim_t *sim)
{
	for (uint32_t id = 1; id <= sim->replica_count; id++)
		if (sim->replicas[id].raft && cw_raft_has_lease(sim->replicas[id].raft, sim->now_ms))
			return id;
	return 0;
}
