/*
 * Cost of the replicated log, as JSON lines: processor time per committed
 * entry, bytes on disk and on the wire, snapshots, and in virtual time how
 * long an election and a readmission take.
 *
 * Usage: bench_raft [FOLDER].  Data folders are made below FOLDER, "/tmp" by
 * default; elections and readmissions use the daemon's default timing.
 */
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../tests/unit/raft_sim.h"
#include "store.h"

enum {
	ENTRIES = 20000, /* in a measurement of processor time */
	APPENDS = 200,	 /* synced one by one */
	RUNS = 1000,	 /* of a measurement in virtual time */
	IDLE_MS = 100000,
	SETTLE_MS = 5000,
	STEP_MS = 1,
	LIMIT_MS = 60000,
	NETWORK_MS = 1 /* most delay on top of 1 ms, one way */
};

static const raft_sim_timing_t default_timing = {100, 1000, 700}; /* as in the daemon's settings */

/* Three replicas that pass messages by hand, and the processor time of each. */
typedef struct {
	cw_raft_t *raft[4]; /* by id */
	double cpu_us[4];
	uint64_t applied[4];
	GQueue messages; /* GBytes *, packed */
	int64_t now_ms;
} trio_t;

/* Reads a clock in microseconds. */
static double read_us(clockid_t clock)
{
	struct timespec time;

	clock_gettime(clock, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Gives an event to a replica; its time includes packing what it sends. */
static void trio_step(trio_t *trio, uint32_t id, const cw_raft_event_t *event)
{
	double start_us = read_us(CLOCK_THREAD_CPUTIME_ID);
	cw_raft_actions_t actions;

	cw_raft_actions_init(&actions);
	cw_raft_step(trio->raft[id], event, trio->now_ms, &actions);
	for (guint i = 0; i < actions.items->len; i++) {
		const cw_raft_action_t *action = &g_array_index(actions.items, cw_raft_action_t, i);

		if (action->type == CW_RAFT_AC_SEND)
			g_queue_push_tail(&trio->messages, cw_message_pack(&action->message->base));
		else if (action->type == CW_RAFT_AC_APPLY)
			trio->applied[id]++;
	}
	cw_raft_actions_clear(&actions);
	g_array_free(actions.items, TRUE);
	trio->cpu_us[id] += read_us(CLOCK_THREAD_CPUTIME_ID) - start_us;
}

/* Delivers messages until none is left. */
static void trio_deliver(trio_t *trio)
{
	GBytes *packed;

	while ((packed = g_queue_pop_head(&trio->messages))) {
		double start_us = read_us(CLOCK_THREAD_CPUTIME_ID);
		gsize length;
		const uint8_t *data = g_bytes_get_data(packed, &length);
		Caraway__RaftMessage *message = caraway__raft_message__unpack(NULL, length, data);
		cw_raft_event_t event = {.type = CW_RAFT_EV_MESSAGE, .message = message};
		uint32_t to = message->to_id;

		trio->cpu_us[to] += read_us(CLOCK_THREAD_CPUTIME_ID) - start_us;
		trio_step(trio, to, &event);
		cw_message_free(message);
		g_bytes_unref(packed);
	}
}

/* Makes three replicas and lets the first lead. */
static void trio_open(trio_t *trio)
{
	Caraway__Membership *membership = raft_sim_membership(3);
	cw_raft_stored_t stored = {.membership = membership};
	cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};

	g_queue_init(&trio->messages);
	for (uint32_t id = 1; id <= 3; id++) {
		cw_raft_options_t options = {.id = id,
					     .incarnation = id,
					     .address = "127.0.0.1:1",
					     .heartbeat_ms = default_timing.heartbeat_ms,
					     .election_ms = default_timing.election_ms,
					     .lease_ms = default_timing.lease_ms};

		trio->raft[id] = cw_raft_new(&options, &stored, 0);
	}
	trio->now_ms = cw_raft_next_tick_ms(trio->raft[1]);
	trio_step(trio, 1, &tick);
	trio_deliver(trio);
	memset(trio->cpu_us, 0, sizeof(trio->cpu_us));
	cw_message_free(membership);
}

/* Prints the processor time per committed entry of a size. */
static void measure_entries(size_t bytes)
{
	trio_t trio = {0};
	cw_raft_event_t event = {CW_RAFT_EV_PROPOSE, .cookie = 1, .data = g_malloc0(bytes), .length = bytes};

	trio_open(&trio);
	for (int i = 0; i < ENTRIES; i++) {
		trio_step(&trio, 1, &event);
		trio_deliver(&trio);
	}
	printf("{\"measure\":\"entry\",\"bytes\":%zu,\"committed\":%" G_GUINT64_FORMAT
	       ",\"leader_us\":%.2f,\"follower_us\":%.2f}\n",
	       bytes, trio.applied[1], trio.cpu_us[1] / ENTRIES,
	       (trio.cpu_us[2] + trio.cpu_us[3]) / 2 / ENTRIES);
	for (uint32_t id = 1; id <= 3; id++)
		cw_raft_free(trio.raft[id]);
	g_free((void *)event.data);
}

/* Orders numbers. */
static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Returns a quantile of sorted values. */
static double quantile(const double *values, size_t count, double share)
{
	return values[(size_t)((double)(count - 1) * share)];
}

/* Returns the bytes of the files in a folder; removes them when told. */
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

/* Opens a new data folder. */
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

/* Appends one entry with data of a size; returns the time it took, in microseconds. */
static double append_one(store_t *store, uint64_t index, const void *data, size_t bytes)
{
	Caraway__Entry entry = CARAWAY__ENTRY__INIT;
	GPtrArray *entries = g_ptr_array_new();
	double start_us = read_us(CLOCK_MONOTONIC);

	entry.index = index;
	entry.term = 1;
	entry.kind = CARAWAY__ENTRY_KIND__ENTRY_COMMAND;
	entry.data.data = (uint8_t *)data;
	entry.data.len = bytes;
	g_ptr_array_add(entries, &entry);
	if (store_append_entries(store, entries) != CW_OK)
		exit(EXIT_FAILURE);
	g_ptr_array_free(entries, TRUE);
	return read_us(CLOCK_MONOTONIC) - start_us;
}

/* Prints bytes on disk and time of a synced append. */
static void measure_append(const char *parent, size_t bytes)
{
	char *folder = g_build_filename(parent, "append", NULL);
	store_t *store = open_store(folder);
	size_t before = folder_bytes(folder, false);
	void *data = g_malloc0(bytes);
	double times[APPENDS];

	for (uint64_t i = 0; i < APPENDS; i++)
		times[i] = append_one(store, i + 1, data, bytes);
	qsort(times, APPENDS, sizeof(times[0]), compare_doubles);
	printf("{\"measure\":\"append\",\"bytes\":%zu,\"log_bytes_per_entry\":%.1f,\"median_us\":%.0f,\"p99_us\":%.0f}\n",
	       bytes, (double)(folder_bytes(folder, false) - before) / APPENDS, quantile(times, APPENDS, 0.5),
	       quantile(times, APPENDS, 0.99));
	store_close(store);
	folder_bytes(folder, true);
	g_free(data);
	g_free(folder);
}

/* Prints size and time of writing and of reading a snapshot. */
static void measure_snapshot(const char *parent, size_t bytes)
{
	char *folder = g_build_filename(parent, "snapshot", NULL);
	store_t *store = open_store(folder);
	Caraway__Membership *membership = raft_sim_membership(3);
	void *data = g_malloc0(bytes);
	double start_us;
	double write_us;

	append_one(store, 1, data, 100);
	start_us = read_us(CLOCK_MONOTONIC);
	if (store_save_snapshot(store, 1, 1, membership, data, bytes, true) != CW_OK)
		exit(EXIT_FAILURE);
	write_us = read_us(CLOCK_MONOTONIC) - start_us;
	store_close(store);
	start_us = read_us(CLOCK_MONOTONIC);
	store_close(open_store(folder));
	printf("{\"measure\":\"snapshot\",\"state_bytes\":%zu,\"disk_bytes\":%zu,\"write_ms\":%.1f,\"open_ms\":%.1f}\n",
	       bytes, folder_bytes(folder, false), write_us / 1e3,
	       (read_us(CLOCK_MONOTONIC) - start_us) / 1e3);
	folder_bytes(folder, true);
	cw_message_free(membership);
	g_free(data);
	g_free(folder);
}

/* Creates a simulation that has a leader. */
static raft_sim_t *sim_with_leader(uint32_t replicas, uint64_t seed)
{
	raft_sim_t *sim = raft_sim_new_with_timing(replicas, seed, VARIANT_NONE, default_timing);

	sim->network.delay_ms = NETWORK_MS;
	raft_sim_run(sim, SETTLE_MS);
	return sim;
}

/* Returns the virtual time from the leader's crash to a successor with a lease. */
static double time_election(raft_sim_t *sim)
{
	int64_t start_ms = sim->now_ms;

	raft_sim_crash(sim, raft_sim_leader(sim));
	while (!raft_sim_leader(sim) && sim->now_ms < start_ms + LIMIT_MS)
		raft_sim_run(sim, STEP_MS);
	return (double)(sim->now_ms - start_ms);
}

/* Returns the virtual time from the start of a replica with an empty disk to its vote. */
static double time_readmission(raft_sim_t *sim)
{
	uint32_t leader = raft_sim_leader(sim);
	uint32_t id = leader == 1 ? 2 : 1;
	int64_t start_ms;

	raft_sim_crash(sim, id);
	raft_sim_lose_disk(sim, id);
	raft_sim_run(sim, SETTLE_MS);
	start_ms = sim->now_ms;
	raft_sim_start_replica(sim, id);
	while (cw_raft_role(sim->replicas[id].raft) != CW_RAFT_FOLLOWER && sim->now_ms < start_ms + LIMIT_MS)
		raft_sim_run(sim, STEP_MS);
	return (double)(sim->now_ms - start_ms);
}

/* Prints a virtual time over many seeds. */
static void measure_time(const char *name, uint32_t replicas, double (*measure)(raft_sim_t *sim))
{
	double *times = g_new(double, RUNS);

	for (uint64_t seed = 1; seed <= RUNS; seed++) {
		raft_sim_t *sim = sim_with_leader(replicas, seed);

		times[seed - 1] = measure(sim);
		raft_sim_free(sim);
	}
	qsort(times, RUNS, sizeof(times[0]), compare_doubles);
	printf("{\"measure\":\"%s\",\"replicas\":%u,\"runs\":%d,\"median_ms\":%.0f,\"p99_ms\":%.0f,\"most_ms\":%.0f}\n",
	       name, replicas, RUNS, quantile(times, RUNS, 0.5), quantile(times, RUNS, 0.99),
	       times[RUNS - 1]);
	g_free(times);
}

/* Prints what the replicas send each other when nothing happens, and for one entry. */
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
		measure_entries(bytes);
		measure_append(parent, bytes);
	}
	for (size_t bytes = 100000; bytes <= 100000000; bytes *= 10)
		measure_snapshot(parent, bytes);
	for (uint32_t replicas = 3; replicas <= 5; replicas += 2) {
		measure_messages(replicas);
		measure_time("election", replicas, time_election);
		measure_time("readmission", replicas, time_readmission);
	}
	g_rmdir(parent);
	g_free(parent);
	return EXIT_SUCCESS;
}
