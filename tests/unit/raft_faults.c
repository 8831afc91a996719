/* See raft_faults.h. */
#include "raft_faults.h"

enum {
	FAULTS = 30,	  /* in one run */
	STEPS = 6,	  /* of requests between two faults */
	STEP_MS = 35,	  /* longest time between two requests */
	FREEZE_MS = 1500, /* longest freeze, many leases */
	SETTLE_MS = 6000,
	LATE_MS = 600
};

/* Returns a random number below a limit. */
static uint32_t below(world_t *world, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(world->random, 0, (gint32)limit);
}

/*
 * Returns whether the newest membership of the leader keeps a quorum of intact
 * disks without a replica's.  Where the identity is kept one loss in a run must do.
 */
static bool may_lose_disk(const world_t *world, uint32_t id)
{
	uint32_t leader = world_leader(world);
	const Caraway__Membership *membership;
	size_t intact = 0;

	if (world->naive == NAIVE_KEEP_IDENTITY)
		return !world->disks_lost;
	if (!leader || leader == id)
		return false;
	membership = cw_raft_membership(world->replicas[leader].raft);
	for (size_t i = 0; i < membership->n_voters; i++) {
		const world_replica_t *voter = &world->replicas[membership->voters[i]->id];

		if (voter->id != id && voter->disk.term &&
		    voter->incarnation == membership->voters[i]->incarnation)
			intact++;
	}
	return intact > membership->n_voters / 2;
}

/* Cuts a replica off, both ways or one way only. */
static void isolate(world_t *world, uint32_t id)
{
	uint32_t ways = below(world, 3);

	for (uint32_t other = 1; other <= world->count; other++) {
		world->cut[id][other] |= ways != 1;
		world->cut[other][id] |= ways != 0;
	}
}

/* Kills every replica at once and starts them again. */
static void restart_herd(world_t *world)
{
	for (uint32_t id = 1; id <= world->count; id++)
		world_crash(world, id);
	for (uint32_t id = 1; id <= world->count; id++)
		world_start(world, id);
}

/* Draws another behaviour of the network. */
static void disturb_network(world_t *world)
{
	world->network.drop_percent = below(world, 25);
	world->network.duplicate_percent = below(world, 25);
	world->network.late_percent = below(world, 25);
	world->network.late_ms = LATE_MS;
}

/* Brings about one fault. */
static void cause_fault(world_t *world, faults_count_t *count)
{
	uint32_t id = 1 + below(world, world->count);
	cw_raft_event_t step_down = {.type = CW_RAFT_EV_STEP_DOWN};

	count->faults++;
	switch (below(world, 11)) {
	case 0:
		world_crash(world, id);
		break;
	case 1:
		world->crash_in_step = true;
		break;
	case 2:
	case 3:
		if (!may_lose_disk(world, id))
			break;
		world_crash(world, id);
		world_lose_disk(world, id);
		world_start(world, id);
		break;
	case 4:
		isolate(world, id);
		break;
	case 5:
		world->cut[id][1 + below(world, world->count)] = true;
		break;
	case 6:
		world_freeze(world, id, 1 + below(world, FREEZE_MS));
		break;
	case 7:
		world->replicas[id].write_fails = true;
		break;
	case 8:
		disturb_network(world);
		break;
	case 9:
		world_event(world, id, &step_down);
		break;
	default:
		restart_herd(world);
		break;
	}
}

/* Starts what does not run, or failed, and now and then mends the network. */
static void repair_some(world_t *world)
{
	for (uint32_t id = 1; id <= world->count; id++) {
		world_replica_t *replica = &world->replicas[id];

		if (below(world, 3))
			continue;
		if (replica->raft && cw_raft_role(replica->raft) == CW_RAFT_FAILED)
			world_crash(world, id);
		world_start(world, id);
	}
	if (!below(world, 3))
		world_heal(world);
}

/* Sends a few requests to random replicas while time passes. */
static void load(world_t *world)
{
	for (int step = 0; step < STEPS; step++) {
		world_propose(world, 1 + below(world, world->count));
		world_read(world, 1 + below(world, world->count));
		world_propose(world, world_leader(world) ? world_leader(world) : 1);
		world_run(world, below(world, STEP_MS));
	}
}

/* Mends everything and waits for the replicas to come together. */
static void settle(world_t *world)
{
	world_heal(world);
	world->crash_in_step = false;
	for (uint32_t id = 1; id <= world->count; id++) {
		world->replicas[id].frozen_until_ms = 0;
		world->replicas[id].write_fails = false;
		if (world->replicas[id].raft && cw_raft_role(world->replicas[id].raft) == CW_RAFT_FAILED)
			world_crash(world, id);
		world_start(world, id);
	}
	world_run(world, SETTLE_MS);
	load(world);
	world_run(world, SETTLE_MS);
}

/* Returns what keeps the replicas from being alike, or NULL. */
static char *difference(const world_t *world)
{
	uint32_t leader = world_leader(world);

	if (!leader)
		return g_strdup("no leader after repair");
	if (cw_raft_membership(world->replicas[leader].raft)->n_voters != world->count)
		return g_strdup("a replica was not readmitted");
	for (uint32_t id = 1; id <= world->count; id++)
		if (world->replicas[id].applied != raft_observer_committed(world->observer))
			return g_strdup_printf("replica %u did not catch up", id);
	return NULL;
}

char *faults_run(uint32_t replicas, uint64_t seed, naive_t naive, faults_count_t *count)
{
	world_t *world = world_new(replicas, seed, naive);
	char *found;

	world_run(world, 2 * WORLD_ELECTION_MS);
	for (int i = 0; i < FAULTS && !raft_observer_violation(world->observer); i++) {
		cause_fault(world, count);
		load(world);
		repair_some(world);
	}
	settle(world);
	found = g_strdup(raft_observer_violation(world->observer));
	if (!found)
		found = difference(world);
	count->acknowledged += world->acknowledged;
	count->reads += world->reads;
	count->disks_lost += world->disks_lost;
	world_free(world);
	return found;
}
