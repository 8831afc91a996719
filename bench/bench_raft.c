/*
 * Benchmark of the replicated log.  Prints JSON lines: processor time per
 * committed entry, bytes on disk and on the wire, size and time of snapshots,
 * and in simulations with virtual time how long an election takes, and how long
 * the readmission of a replica that has lost its disk.
 *
 * Usage: bench_raft [FOLDER].  Data folders are made below FOLDER, by default
 * "/tmp".  Elections and readmissions use the daemon's default timing.
 */
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../tests/unit/raft_sim.h"
#include "store.h"

enum {
	ENTRIES = 20000,    /* committed in each measurement of processor time */
	APPENDS = 200,	    /* each synced on its own */
	SIMULATIONS = 1000, /* in each measurement of virtual time, one per seed */
	IDLE_MS = 100000,
	SETTLE_MS = 5000, /* time for the simulated replicas to become stable */
	STEP_MS = 1,
	TIMEOUT_MS = 60000, /* of an election or a readmission */
	MAX_DELAY_MS = 1    /* maximum one-way delay on top of 1 ms */
};

static const raft_sim_timing_t default_timing = {
	.heartbeat_ms = 100, .election_ms = 1000, .lease_ms = 700}; /* the daemon's defaults */

/* Three replicas in this process, the messages between them, and the processor time of each. */
typedef struct {
	cw_raft_t *raft[4]; /* by id */
	double cpu_us[4];
	uint64_t applied[4]; /* number of entries */
	GQueue messages;     /* GBytes *, packed, not delivered yet */
	int64_t now_ms;
} replicas_t;

/* Returns the time of a clock in microseconds. */
static double clock_us(clockid_t clock)
{
	struct timespec time;

	clock_gettime(clock, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Passes an event to a replica; its processor time includes packing the messages that it sends. */
static void replicas_step(replicas_t *replicas, uint32_t id, const cw_raft_event_t *event)
{
	double start_us = clock_us(CLOCK_THREAD_CPUTIME_ID);
	cw_raft_actions_t actions;

	cw_raft_actions_init(&actions);
	cw_raft_step(replicas->raft[id], event, replicas->now_ms, &actions);
	for (guint i = 0; i < actions.items->len; i++) {
		const cw_raft_action_t *action = &g_array_index(actions.items, cw_raft_action_t, i);

		if (action->type == CW_RAFT_AC_SEND)
			g_queue_push_tail(&replicas->messages, cw_message_pack(&action->message->base));
		else if (action->type == CW_RAFT_AC_APPLY)
			replicas->applied[id]++;
	}
	cw_raft_actions_clear(&actions);
	g_array_free(actions.items, TRUE);
	replicas->cpu_us[id] += clock_us(CLOCK_THREAD_CPUTIME_ID) - start_us;
}

/* Delivers messages until none is left; the receiver's processor time includes unpacking them. */
static void replicas_deliver(replicas_t *replicas)
{
	GBytes *packed;

	while ((packed = g_queue_pop_head(&replicas->messages))) {
		double start_us = clock_us(CLOCK_THREAD_CPUTIME_ID);
		gsize length;
		const uint8_t *data = g_bytes_get_data(packed, &length);
		Caraway__RaftMessage *message = caraway__raft_message__unpack(NULL, length, data);
		cw_raft_event_t event = {.type = CW_RAFT_EV_MESSAGE, .message = message};
		uint32_t to = message->to_id;

		replicas->cpu_us[to] += clock_us(CLOCK_THREAD_CPUTIME_ID) - start_us;
		replicas_step(replicas, to, &event);
		cw_message_free(message);
		g_bytes_unref(packed);
	}
}

/* Creates three replicas and has the first elected leader. */
static void replicas_start(replicas_t *replicas)
{
	Caraway__Membership *membership = raft_sim_membership(3);
	cw_raft_stored_t stored = {.membership = membership};
	cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};

	g_queue_init(&replicas->messages);
	for (uint32_t id = 1; id <= 3; id++) {
		cw_raft_options_t options = {.id = id,
					     .incarnation = id,
					     .address = "127.0.0.1:1",
					     .heartbeat_ms = default_timing.heartbeat_ms,
					     .election_ms = default_timing.election_ms,
					     .lease_ms = default_timing.lease_ms};

		replicas->raft[id] = cw_raft_new(&options, &stored, 0);
	}
	replicas->now_ms = cw_raft_next_tick_ms(replicas->raft[1]);
	replicas_step(replicas, 1, &tick);
	replicas_deliver(replicas);
	memset(replicas->cpu_us, 0, sizeof(replicas->cpu_us));
	cw_message_free(membership);
}

/* Measures the processor time per committed entry of a size, at the leader and at a follower. */
static void measure_commit(size_t bytes)
{
	replicas_t replicas = {0};
	cw_raft_event_t event = {CW_RAFT_EV_PROPOSE, .cookie = 1, .data = g_malloc0(bytes), .length = bytes};

	replicas_start(&replicas);
	for (int i = 0; i < ENTRIES; i++) {
		replicas_step(&replicas, 1, &event);
		replicas_deliver(&replicas);
	}
	printf("{\"measure\":\"entry\",\"bytes\":%zu,\"committed\":%" G_GUINT64_FORMAT
	       ",\"leader_us\":%.2f,\"follower_us\":%.2f}\n",
	       bytes, replicas.applied[1], replicas.cpu_us[1] / ENTRIES,
	       (replicas.cpu_us[2] + replicas.cpu_us[3]) / 2 / ENTRIES);
	for (uint32_t id = 1; id <= 3; id++)
		cw_raft_free(replicas.raft[id]);
	g_free((void *)event.data);
}

/* Comparison function for qsort(). */
static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Returns a quantile of sorted values. */
static double quantile(const double *values, size_t count, double fraction)
{
	return values[(size_t)((double)(count - 1) * fraction)];
}

/* Returns the total size of the files in a folder in bytes; removes the folder if remove is set. */
static size_t folder_bytes(const char *folder, bool remove)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	size_t bytes = 0;

	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);
		GStatBuf info;

		if (!g_stat(path, &info))
			bytes += (size_t)info.st_size;
		if (remove)
			g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	if (remove)
		g_rmdir(folder);
	return bytes;
}

/* Opens a data folder, which is created if missing; exits on failure. */
static store_t *open_store(const char *folder)
{
	cw_raft_stored_t stored;
	GBytes *snapshot;
	store_t *store;

	if (store_open(folder, &store, &stored, &snapshot) != CW_OK) {
		fprintf(stderr, "bench_raft: %s\n", cw_last_error_message());
		exit(EXIT_FAILURE);
	}
	if (snapshot)
		g_bytes_unref(snapshot);
	store_clear_raft_state(&stored);
	return store;
}

/* Appends and syncs one entry; returns the time that it took, in microseconds. */
static double append_entry(store_t *store, uint64_t index, const void *data, size_t bytes)
{
	Caraway__Entry entry = CARAWAY__ENTRY__INIT;
	GPtrArray *entries = g_ptr_array_new();
	double start_us = clock_us(CLOCK_MONOTONIC);

	entry.index = index;
	entry.term = 1;
	entry.kind = CARAWAY__ENTRY_KIND__ENTRY_COMMAND;
	entry.data.data = (uint8_t *)data;
	entry.data.len = bytes;
	g_ptr_array_add(entries, &entry);
	if (store_append_entries(store, entries) != CW_OK)
		exit(EXIT_FAILURE);
	g_ptr_array_free(entries, TRUE);
	return clock_us(CLOCK_MONOTONIC) - start_us;
}

/* Measures bytes on disk and time of a synced append. */
static void measure_append(const char *parent, size_t bytes)
{
	char *folder = g_build_filename(parent, "append", NULL);
	store_t *store = open_store(folder);
	size_t before = folder_bytes(folder, false);
	void *data = g_malloc0(bytes);
	double times[APPENDS];

	for (uint64_t i = 0; i < APPENDS; i++)
		times[i] = append_entry(store, i + 1, data, bytes);
	qsort(times, APPENDS, sizeof(times[0]), compare_doubles);
	printf("{\"measure\":\"append\",\"bytes\":%zu,\"log_bytes_per_entry\":%.1f,\"median_us\":%.0f,\"p99_us\":%.0f}\n",
	       bytes, (double)(folder_bytes(folder, false) - before) / APPENDS, quantile(times, APPENDS, 0.5),
	       quantile(times, APPENDS, 0.99));
	store_close(store);
	folder_bytes(folder, true);
	g_free(data);
	g_free(folder);
}

/* Measures the size of a snapshot on disk and the times to write it and to read it. */
static void measure_snapshot(const char *parent, size_t bytes)
{
	char *folder = g_build_filename(parent, "snapshot", NULL);
	store_t *store = open_store(folder);
	Caraway__Membership *membership = raft_sim_membership(3);
	void *data = g_malloc0(bytes);
	double start_us;
	double write_us;

	append_entry(store, 1, data, 100);
	start_us = clock_us(CLOCK_MONOTONIC);
	if (store_save_snapshot(store, 1, 1, membership, data, bytes, true) != CW_OK)
		exit(EXIT_FAILURE);
	write_us = clock_us(CLOCK_MONOTONIC) - start_us;
	store_close(store);
	start_us = clock_us(CLOCK_MONOTONIC);
	store_close(open_store(folder));
	printf("{\"measure\":\"snapshot\",\"state_bytes\":%zu,\"disk_bytes\":%zu,\"write_ms\":%.1f,\"open_ms\":%.1f}\n",
	       bytes, folder_bytes(folder, false), write_us / 1e3,
	       (clock_us(CLOCK_MONOTONIC) - start_us) / 1e3);
	folder_bytes(folder, true);
	cw_message_free(membership);
	g_free(data);
	g_free(folder);
}

/* Creates a simulation and runs it long enough to have a leader. */
static raft_sim_t *sim_with_leader(uint32_t replicas, uint64_t seed)
{
	raft_sim_t *sim = raft_sim_new_with_timing(replicas, seed, VARIANT_NONE, default_timing);

	sim->network.delay_ms = MAX_DELAY_MS;
	raft_sim_run(sim, SETTLE_MS);
	return sim;
}

/* Crashes the leader; returns the virtual time until another replica leads and holds the lease, in ms. */
static double election_time_ms(raft_sim_t *sim)
{
	int64_t start_ms = sim->now_ms;

	raft_sim_crash(sim, raft_sim_leader(sim));
	while (!raft_sim_leader(sim) && sim->now_ms < start_ms + TIMEOUT_MS)
		raft_sim_run(sim, STEP_MS);
	return (double)(sim->now_ms - start_ms);
}

/* Restarts a replica with an empty disk; returns the virtual time until it is a voter again, in ms. */
static double readmission_time_ms(raft_sim_t *sim)
{
	uint32_t leader = raft_sim_leader(sim);
	uint32_t id = leader == 1 ? 2 : 1;
	int64_t start_ms;

	raft_sim_crash(sim, id);
	raft_sim_lose_disk(sim, id);
	raft_sim_run(sim, SETTLE_MS);
	start_ms = sim->now_ms;
	raft_sim_start_replica(sim, id);
	while (cw_raft_role(sim->replicas[id].raft) != CW_RAFT_FOLLOWER &&
	       sim->now_ms < start_ms + TIMEOUT_MS)
		raft_sim_run(sim, STEP_MS);
	return (double)(sim->now_ms - start_ms);
}

/* Runs a measurement in simulations with different seeds and prints quantiles of the times. */
static void measure_virtual_time(const char *name, uint32_t replicas, double (*measure)(raft_sim_t *sim))
{
	double *times = g_new(double, SIMULATIONS);

	for (uint64_t seed = 1; seed <= SIMULATIONS; seed++) {
		raft_sim_t *sim = sim_with_leader(replicas, seed);

		times[seed - 1] = measure(sim);
		raft_sim_free(sim);
	}
	qsort(times, SIMULATIONS, sizeof(times[0]), compare_doubles);
	printf("{\"measure\":\"%s\",\"replicas\":%u,\"runs\":%d,\"median_ms\":%.0f,\"p99_ms\":%.0f,\"most_ms\":%.0f}\n",
	       name, replicas, SIMULATIONS, quantile(times, SIMULATIONS, 0.5),
	       quantile(times, SIMULATIONS, 0.99), times[SIMULATIONS - 1]);
	g_free(times);
}

/* Measures the messages and bytes that idle replicas send each other. */
static void measure_messages(uint32_t replicas)
{
	raft_sim_t *sim = sim_with_leader(replicas, 1);
	uint64_t messages = sim->messages_sent;
	uint64_t bytes = sim->bytes_sent;

	raft_sim_run(sim, IDLE_MS);
	printf("{\"measure\":\"idle\",\"replicas\":%u,\"messages_per_s\":%.1f,\"bytes_per_s\":%.0f}\n",
	       replicas, (double)(sim->messages_sent - messages) * 1e3 / IDLE_MS,
	       (double)(sim->bytes_sent - bytes) * 1e3 / IDLE_MS);
	raft_sim_free(sim);
}

int main(int argc, char **argv)
{
	char *parent = g_strdup_printf("%s/bench-raft-XXXXXX", argc > 1 ? argv[1] : "/tmp");

	if (!g_mkdtemp(parent)) {
		perror(parent);
		return EXIT_FAILURE;
	}
	for (size_t bytes = 100; bytes <= 10000; bytes *= 10) {
		measure_commit(bytes);
		measure_append(parent, bytes);
	}
	for (size_t bytes = 100000; bytes <= 100000000; bytes *= 10)
		measure_snapshot(parent, bytes);
	for (uint32_t replicas = 3; replicas <= 5; replicas += 2) {
		measure_messages(replicas);
		measure_virtual_time("election", replicas, election_time_ms);
		measure_virtual_time("readmission", replicas, readmission_time_ms);
	}
	g_rmdir(parent);
	g_free(parent);
	return EXIT_SUCCESS;
}
