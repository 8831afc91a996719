/* Runs the scripts of tests/raft on simulated Raft replicas. */
#include "raft_faults.h"
#include "script.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum { TIMEOUT_S = 120 };

static const char *const roles[] = {"learner", "follower", "pre-candidate", "candidate", "leader", "failed"};

static const struct {
	const char *name;
	raft_sim_variant_t variant;
} variants[] = {
	{"keep-identity", VARIANT_KEEP_IDENTITY}, {"format-again", VARIANT_REFORMAT},
	{"forget-vote", VARIANT_FORGET_VOTE},	  {"no-sync", VARIANT_NO_SYNC},
	{"long-lease", VARIANT_LONG_LEASE},	  {"local-read", VARIANT_LOCAL_READ},
};

/* Returns the variant of a name; none for an unknown name or NULL. */
static raft_sim_variant_t parse_variant(const char *name)
{
	for (size_t i = 0; name && i < G_N_ELEMENTS(variants); i++)
		if (!strcmp(name, variants[i].name))
			return variants[i].variant;
	return VARIANT_NONE;
}

/* Returns an argument as a number; 0 if it is missing. */
static uint32_t parse_number(int argc, char **argv, int position)
{
	return position < argc ? (uint32_t)strtoul(argv[position], NULL, 10) : 0;
}

/*
 * sweep REPLICAS FIRST_SEED SEEDS [VARIANT]: runs random faults with many seeds.  A variant with a
 * defect runs until the first violation, and it is an error if there is none.
 */
static void run_sweep(int argc, char **argv, GString *out)
{
	raft_sim_variant_t variant = parse_variant(argc > 4 ? argv[4] : NULL);
	uint32_t seeds = parse_number(argc, argv, 3);
	faults_totals_t totals = {0};
	uint32_t violations = 0;
	bool expect_violation = variant && variant != VARIANT_REFORMAT;

	for (uint32_t i = 0; i < seeds && !(expect_violation && violations); i++) {
		char *failure = faults_run(parse_number(argc, argv, 1), parse_number(argc, argv, 2) + i,
					   variant, &totals);

		if (!failure)
			continue;
		violations++;
		if (expect_violation)
			g_string_append_printf(out, "%.*s\n", (int)strcspn(failure, ":"), failure);
		else
			g_string_append_printf(out, "seed %u: %s\n", parse_number(argc, argv, 2) + i,
					       failure);
		g_free(failure);
	}
	if (expect_violation && !violations)
		g_string_append(out, "no violation found\n");
	else if (!expect_violation)
		g_string_append_printf(out, "%u runs, %u violations%s\n", seeds, violations,
				       totals.acknowledged && totals.reads && totals.disks_lost
					       ? ""
					       : ", but no proposals, reads or lost disks");
	if (g_getenv("RAFT_SWEEP_VERBOSE"))
		g_printerr("%" G_GUINT64_FORMAT " acknowledged, %" G_GUINT64_FORMAT
			   " reads, %" G_GUINT64_FORMAT " disks lost, %" G_GUINT64_FORMAT " faults\n",
			   totals.acknowledged, totals.reads, totals.disks_lost, totals.faults);
}

/* Prints the role of each replica, the counts of proposals and the violation, if any. */
static void print_status(const raft_sim_t *sim, GString *out)
{
	const char *violation = raft_observer_violation(sim->observer);

	for (uint32_t id = 1; id <= sim->replica_count; id++) {
		const raft_sim_replica_t *replica = &sim->replicas[id];

		if (!replica->raft) {
			g_string_append_printf(out, "%u down\n", id);
			continue;
		}
		g_string_append_printf(out, "%u %s%s, %s\n", id, roles[cw_raft_role(replica->raft)],
				       cw_raft_has_lease(replica->raft, sim->now_ms) ? " with lease" : "",
				       replica->applied == raft_observer_commit_index(sim->observer)
					       ? "up to date"
					       : "behind");
	}
	g_string_append_printf(out, "%" G_GUINT64_FORMAT " acknowledged, %" G_GUINT64_FORMAT " refused, %s\n",
			       sim->acknowledged, sim->refused, violation ? violation : "no violation");
}

/* Blocks the links between a replica and all others; messages are lost silently. */
static void isolate_replica(raft_sim_t *sim, uint32_t id)
{
	for (uint32_t other = 1; other <= sim->replica_count; other++)
		sim->blocked[id][other] = sim->blocked[other][id] = true;
}

/* Sends requests to a replica, 10 ms apart. */
static void send_requests(raft_sim_t *sim, const char *name, uint32_t id, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(name, "propose"))
			raft_sim_propose(sim, id);
		else
			raft_sim_read(sim, id);
		raft_sim_run(sim, 10);
	}
}

/* Prints the voters of a replica's newest membership; "+" marks an incarnation other than the initial one. */
static void print_voters(const raft_sim_t *sim, uint32_t id, GString *out)
{
	const Caraway__Membership *membership = cw_raft_membership(sim->replicas[id].raft);

	for (size_t i = 0; i < membership->n_voters; i++)
		g_string_append_printf(out, "%s%u%s", i ? " " : "", membership->voters[i]->id,
				       membership->voters[i]->incarnation > RAFT_SIM_MAX_REPLICAS ? "+" : "");
	g_string_append_c(out, '\n');
}

/* Passes an event of a type to a replica; subject_id: the replica to add or remove, 0 for other events. */
static void send_event(raft_sim_t *sim, uint32_t id, cw_raft_event_type_t type, uint32_t subject_id)
{
	cw_raft_event_t event = {.type = type, .cookie = ++sim->last_cookie, .replica_id = subject_id};

	raft_sim_step(sim, id, &event);
}

/* Replaces a disk with an empty one, or one that is formatted as for the first start; changes the variant. */
static void lose_disk(raft_sim_t *sim, uint32_t id, bool format)
{
	sim->variant = format ? VARIANT_REFORMAT : VARIANT_NONE;
	raft_sim_lose_disk(sim, id);
}

/*
 * Runs a command on the current simulation.  Its first argument is the id of a replica, except for
 * run DURATION_MS and network DROP_PERCENT DUPLICATE_PERCENT LONG_DELAY_PERCENT LONG_DELAY_MS.
 */
static void run_sim_command(raft_sim_t *sim, int argc, char **argv, GString *out)
{
	const char *name = argv[0];
	uint32_t id = parse_number(argc, argv, 1);

	if (!strcmp(name, "run"))
		raft_sim_run(sim, id);
	else if (!strcmp(name, "crash"))
		raft_sim_crash(sim, id);
	else if (!strcmp(name, "start"))
		raft_sim_start_replica(sim, id);
	else if (!strcmp(name, "lose-disk"))
		lose_disk(sim, id, argc > 2);
	else if (!strcmp(name, "freeze"))
		raft_sim_freeze(sim, id, parse_number(argc, argv, 2));
	else if (!strcmp(name, "isolate"))
		isolate_replica(sim, id);
	else if (!strcmp(name, "cut"))
		sim->blocked[id][parse_number(argc, argv, 2)] = true;
	else if (!strcmp(name, "heal"))
		raft_sim_heal_network(sim);
	else if (!strcmp(name, "network"))
		sim->network =
			(raft_sim_network_t){id, parse_number(argc, argv, 2), parse_number(argc, argv, 3),
					     parse_number(argc, argv, 4), 5};
	else if (!strcmp(name, "disk-fails"))
		sim->replicas[id].write_fails = true;
	else if (!strcmp(name, "step-down"))
		send_event(sim, id, CW_RAFT_EV_STEP_DOWN, 0);
	else if (!strcmp(name, "remove"))
		send_event(sim, id, CW_RAFT_EV_REMOVE_REPLICA, parse_number(argc, argv, 2));
	else if (!strcmp(name, "add"))
		send_event(sim, id, CW_RAFT_EV_ADD_REPLICA, parse_number(argc, argv, 2));
	else if (!strcmp(name, "propose") || !strcmp(name, "read"))
		send_requests(sim, name, id, parse_number(argc, argv, 2));
	else if (!strcmp(name, "applied"))
		g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n", sim->replicas[id].applied);
	else if (!strcmp(name, "voters"))
		print_voters(sim, id, out);
	else if (!strcmp(name, "status"))
		print_status(sim, out);
	else
		g_string_append(out, "no such command\n");
}

/* Runs one command of a script; world REPLICAS SEED [VARIANT] creates the simulation. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	raft_sim_t **sim = data;

	if (!strcmp(argv[0], "sweep")) {
		run_sweep(argc, argv, out);
	} else if (!strcmp(argv[0], "world")) {
		if (*sim)
			raft_sim_free(*sim);
		*sim = raft_sim_new(parse_number(argc, argv, 1), parse_number(argc, argv, 2),
				    parse_variant(argc > 3 ? argv[3] : NULL));
	} else {
		run_sim_command(*sim, argc, argv, out);
	}
}

START_TEST(test_script)
{
	raft_sim_t *sim = NULL;

	script_assert("tests/raft", _i, run_command, &sim);
	if (sim)
		raft_sim_free(sim);
}
END_TEST

int main(void)
{
	return script_main("tests/raft", test_script, TIMEOUT_S);
}
