/* See raft_faults.h. */
#include "raft_faults.h"

enum {
	FAULTS_PER_RUN = 30, /* injected in one run */
	REQUEST_ROUNDS = 6,  /* between two faults */
	ROUND_MS = 35,	     /* upper limit of the duration of a round */
	FREEZE_MS = 1500,    /* longest freeze, ten leases */
	SETTLE_MS = 6000,    /* for the replicas to converge after the repair */
	LONG_DELAY_MS = 600  /* maximum delay of reordered messages */
};

/* Returns a random number below a limit. */
static uint32_t random_below(raft_sim_t *sim, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(sim->random, 0, (gint32)limit);
}

/*
 * Returns whether a replica may lose its disk: a quorum of the leader's newest
 * membership must keep intact disks.  A disk is intact if it has the incarnation
 * of that membership and a stored term; a newly formatted disk has no term.  The
 * variant that keeps the incarnation of a lost disk loses one disk per run.
 */
static bool can_lose_disk(const raft_sim_t *sim, uint32_t id)
{
	uint32_t leader = raft_sim_leader(sim);
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

/* Blocks the links of a replica to all others, in one or both directions. */
static void isolate_replica(raft_sim_t *sim, uint32_t id)
{
	uint32_t direction = random_below(sim, 3);

	for (uint32_t other = 1; other <= sim->replica_count; other++) {
		sim->blocked[id][other] |= direction != 1;
		sim->blocked[other][id] |= direction != 0;
	}
}

/* Stops all replicas at once and starts them again. */
static void restart_all(raft_sim_t *sim)
{
	for (uint32_t id = 1; id <= sim->replica_count; id++)
		raft_sim_crash(sim, id);
	for (uint32_t id = 1; id <= sim->replica_count; id++)
		raft_sim_start_replica(sim, id);
}

/* Sets random rates of lost, duplicated and delayed messages. */
static void randomize_network(raft_sim_t *sim)
{
	sim->network.drop_percent = random_below(sim, 25);
	sim->network.duplicate_percent = random_below(sim, 25);
	sim->network.long_delay_percent = random_below(sim, 25);
	sim->network.long_delay_ms = LONG_DELAY_MS;
}

/* Injects one random fault. */
static void inject_fault(raft_sim_t *sim, faults_totals_t *totals)
{
	uint32_t id = 1 + random_below(sim, sim->replica_count);
	cw_raft_event_t step_down = {.type = CW_RAFT_EV_STEP_DOWN};

	totals->faults++;
	switch (random_below(sim, 11)) {
	case 0:
		raft_sim_crash(sim, id);
		break;
	case 1:
		sim->crash_after_write = true;
		break;
	case 2:
	case 3:
		if (!can_lose_disk(sim, id))
			break;
		raft_sim_crash(sim, id);
		raft_sim_lose_disk(sim, id);
		raft_sim_start_replica(sim, id);
		break;
	case 4:
		isolate_replica(sim, id);
		break;
	case 5:
		sim->blocked[id][1 + random_below(sim, sim->replica_count)] = true;
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

/* Restarts stopped and failed replicas and heals the network, each with a probability of 1/3. */
static void repair_randomly(raft_sim_t *sim)
{
	for (uint32_t id = 1; id <= sim->replica_count; id++) {
		raft_sim_replica_t *replica = &sim->replicas[id];

		if (random_below(sim, 3))
			continue;
		if (replica->raft && cw_raft_role(replica->raft) == CW_RAFT_FAILED)
			raft_sim_crash(sim, id);
		raft_sim_start_replica(sim, id);
	}
	if (!random_below(sim, 3))
		raft_sim_heal_network(sim);
}

/* Sends proposals and reads to random replicas, and proposals to the leader, while time passes. */
static void send_requests(raft_sim_t *sim)
{
	for (int step = 0; step < REQUEST_ROUNDS; step++) {
		raft_sim_propose(sim, 1 + random_below(sim, sim->replica_count));
		raft_sim_read(sim, 1 + random_below(sim, sim->replica_count));
		raft_sim_propose(sim, raft_sim_leader(sim) ? raft_sim_leader(sim) : 1);
		raft_sim_run(sim, random_below(sim, ROUND_MS));
	}
}

/* Repairs all faults and waits for the replicas to converge, with further requests in between. */
static void repair_and_wait(raft_sim_t *sim)
{
	raft_sim_heal_network(sim);
	sim->crash_after_write = false;
	for (uint32_t id = 1; id <= sim->replica_count; id++) {
		sim->replicas[id].frozen_until_ms = 0;
		sim->replicas[id].write_fails = false;
		if (sim->replicas[id].raft && cw_raft_role(sim->replicas[id].raft) == CW_RAFT_FAILED)
			raft_sim_crash(sim, id);
		raft_sim_start_replica(sim, id);
	}
	raft_sim_run(sim, SETTLE_MS);
	send_requests(sim);
	raft_sim_run(sim, SETTLE_MS);
}

/* Returns why the replicas did not converge, or NULL. */
static char *find_divergence(const raft_sim_t *sim)
{
	uint32_t leader = raft_sim_leader(sim);

	if (!leader)
		return g_strdup("no leader after repair");
	if (cw_raft_membership(sim->replicas[leader].raft)->n_voters != sim->replica_count)
		return g_strdup("a replica was not readmitted");
	for (uint32_t id = 1; id <= sim->replica_count; id++)
		if (sim->replicas[id].applied != raft_observer_commit_index(sim->observer))
			return g_strdup_printf("replica %u did not catch up", id);
	return NULL;
}

char *faults_run(uint32_t replicas, uint64_t seed, raft_sim_variant_t variant, faults_totals_t *totals)
{
	raft_sim_t *sim = raft_sim_new(replicas, seed, variant);
	char *failure;

	raft_sim_run(sim, 2 * RAFT_SIM_ELECTION_MS);
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
	raft_sim_free(sim);
	return failure;
}
