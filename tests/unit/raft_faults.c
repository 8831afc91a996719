/* See raft_faults.h. */
#include "raft_faults.h"

enum {
	FAULTS_PER_RUN = 30,	  /* in one run */
	REQUEST_ROUNDS = 6,	  /* of requests between two faults */
	ROUND_MS = 35,	  /* longest time between two requests */
	FREEZE_MS = 1500, /* longest freeze, many leases */
	SETTLE_MS = 6000,
	LONG_DELAY_MS = 600
};

/* Returns a random number below a limit. */
static uint32_t random_below(world_t *sim, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(sim->random, 0, (gint32)limit);
}

/*
 * Returns whether the newest membership of the leader keeps a quorum of intact
 * disks without a replica's.  Where the identity is kept one loss in a run must do.
 */
static bool can_lose_disk(const world_t *sim, uint32_t id)
{
	uint32_t leader = world_leader(sim);
	const Caraway__Membership *membership;
	size_t intact = 0;

	if (sim->variant == VARIANT_KEEP_IDENTITY)
		return !sim->disks_lost;
	if (!leader || leader == id)
		return false;
	membership = cw_raft_membership(sim->replicas[leader].raft);
	for (size_t i = 0; i < membership->n_voters; i++) {
		const raft_sim_replica_t *voter = &sim->replicas[membership->voters[i]->id];

		if (voter->id != id && voter->disk.term &&
		    voter->incarnation == membership->voters[i]->incarnation)
			intact++;
	}
	return intact > membership->n_voters / 2;
}

/* Cuts a replica off, both ways or one way only. */
static void isolate_replica(world_t *sim, uint32_t id)
{
	uint32_t direction = random_below(sim, 3);

	for (uint32_t other = 1; other <= sim->count; other++) {
		sim->blocked[id][other] |= direction != 1;
		sim->blocked[other][id] |= direction != 0;
	}
}

/* Kills every replica at once and starts them again. */
static void restart_all(world_t *sim)
{
	for (uint32_t id = 1; id <= sim->count; id++)
		world_crash(sim, id);
	for (uint32_t id = 1; id <= sim->count; id++)
		world_start(sim, id);
}

/* Draws another behaviour of the network. */
static void randomize_network(world_t *sim)
{
	sim->network.drop_percent = random_below(sim, 25);
	sim->network.duplicate_percent = random_below(sim, 25);
	sim->network.late_percent = random_below(sim, 25);
	sim->network.late_ms = LONG_DELAY_MS;
}

/* Brings about one fault. */
static void inject_fault(world_t *sim, faults_totals_t *totals)
{
	uint32_t id = 1 + random_below(sim, sim->count);
	cw_raft_event_t step_down = {.type = CW_RAFT_EV_STEP_DOWN};

	totals->faults++;
	switch (random_below(sim, 11)) {
	case 0:
		world_crash(sim, id);
		break;
	case 1:
		sim->crash_after_write = true;
		break;
	case 2:
	case 3:
		if (!can_lose_disk(sim, id))
			break;
		world_crash(sim, id);
		world_lose_disk(sim, id);
		world_start(sim, id);
		break;
	case 4:
		isolate_replica(sim, id);
		break;
	case 5:
		sim->blocked[id][1 + random_below(sim, sim->count)] = true;
		break;
	case 6:
		raft_sim_freeze(sim, id, 1 + random_below(sim, FREEZE_MS));
		break;
	case 7:
		sim->replicas[id].write_fails = true;
		break;
	case 8:
		randomize_network(sim);
		break;
	case 9:
		raft_sim_step(sim, id, &step_down);
		break;
	default:
		restart_all(sim);
		break;
	}
}

/* Starts what does not run, or failed, and now and then mends the network. */
static void repair_randomly(world_t *sim)
{
	for (uint32_t id = 1; id <= sim->count; id++) {
		raft_sim_replica_t *replica = &sim->replicas[id];

		if (random_below(sim, 3))
			continue;
		if (replica->raft && cw_raft_role(replica->raft) == CW_RAFT_FAILED)
			world_crash(sim, id);
		world_start(sim, id);
	}
	if (!random_below(sim, 3))
		raft_sim_heal_network(sim);
}

/* Sends a few requests to random replicas while time passes. */
static void send_requests(world_t *sim)
{
	for (int step = 0; step < REQUEST_ROUNDS; step++) {
		raft_sim_propose(sim, 1 + random_below(sim, sim->count));
		raft_sim_read(sim, 1 + random_below(sim, sim->count));
		raft_sim_propose(sim, world_leader(sim) ? world_leader(sim) : 1);
		world_run(sim, random_below(sim, ROUND_MS));
	}
}

/* Mends everything and waits for the replicas to come together. */
static void repair_and_wait(world_t *sim)
{
	raft_sim_heal_network(sim);
	sim->crash_after_write = false;
	for (uint32_t id = 1; id <= sim->count; id++) {
		sim->replicas[id].frozen_until_ms = 0;
		sim->replicas[id].write_fails = false;
		if (sim->replicas[id].raft && cw_raft_role(sim->replicas[id].raft) == CW_RAFT_FAILED)
			world_crash(sim, id);
		world_start(sim, id);
	}
	world_run(sim, SETTLE_MS);
	send_requests(sim);
	world_run(sim, SETTLE_MS);
}

/* Returns what keeps the replicas from being alike, or NULL. */
static char *find_divergence(const world_t *sim)
{
	uint32_t leader = world_leader(sim);

	if (!leader)
		return g_strdup("no leader after repair");
	if (cw_raft_membership(sim->replicas[leader].raft)->n_voters != sim->count)
		return g_strdup("a replica was not readmitted");
	for (uint32_t id = 1; id <= sim->count; id++)
		if (sim->replicas[id].applied != raft_observer_commit_index(sim->observer))
			return g_strdup_printf("replica %u did not catch up", id);
	return NULL;
}

char *faults_run(uint32_t replicas, uint64_t seed, raft_sim_variant_t variant, faults_totals_t *totals)
{
	world_t *sim = raft_sim_new(replicas, seed, variant);
	char *failure;

	world_run(sim, 2 * RAFT_SIM_ELECTION_MS);
	for (int i = 0; i < FAULTS_PER_RUN && !raft_observer_violation(sim->observer); i++) {
		inject_fault(sim, totals);
		send_requests(sim);
		repair_randomly(sim);
	}
	repair_and_wait(sim);
	failure = g_strdup(raft_observer_violation(sim->observer));
	if (!failure)
		failure = find_divergence(sim);
	totals->acknowledged += sim->acknowledged;
	totals->reads += sim->reads;
	totals->disks_lost += sim->disks_lost;
	world_free(sim);
	return failure;
}
