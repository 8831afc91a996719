/* Random choice of the faults of a round, and their injection from outside the processes. */
#include "faults.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "caller.h"

enum {
	MIN_FAULTS = 2,
	MAX_FAULTS = 6,
	MAX_BEGIN_DELAY_MS = 3000, /* short, so that most faults of a round overlap */
	MIN_DURATION_MS = 100,
	MAX_DURATION_MS = 4000,
	MAX_DELAY_MS = 300,
	MAX_CLOCK_STEP_MS = 120000,
	MAX_SYNC_DELAY_MS = 800,
	MAX_SERVICE_TIME_MS = 600,
	DEFAULT_SERVICE_TIME_MS = 5, /* initial setting of standin_target */
	MAX_PERCENT = 60,
	MAX_TORN_BYTES = 40, /* less than a log record */
	PATH_BYTES = 64,
	SETTING_DEADLINE_MS = 1000
};

/* Class of processes that a kind of fault affects; a daemon is a replica or a proxy. */
typedef enum { CLASS_REPLICA, CLASS_PROXY, CLASS_TARGET, CLASS_DAEMON } process_class_t;

static const struct {
	const char *name;
	process_class_t process_class;
	int max_amount; /* upper bound of fault_t.amount; 0: the kind has no amount */
} kinds[FAULT_KINDS] = {
	[FAULT_STOP_PROXY] = {"stop-proxy", CLASS_PROXY, 0},
	[FAULT_STOP_TARGET] = {"stop-target", CLASS_TARGET, 0},
	[FAULT_STOP_REPLICA] = {"stop-replica", CLASS_REPLICA, 0},
	[FAULT_DELAY] = {"delay", CLASS_DAEMON, MAX_DELAY_MS},
	[FAULT_RESET] = {"reset", CLASS_DAEMON, 0},
	[FAULT_CUT] = {"cut", CLASS_DAEMON, 0},
	[FAULT_HOLD] = {"hold", CLASS_DAEMON, 0},
	[FAULT_HOLD_FORWARD] = {"hold-forward", CLASS_DAEMON, 0},
	[FAULT_HOLD_BACK] = {"hold-back", CLASS_DAEMON, 0},
	[FAULT_SILENCE] = {"silence", CLASS_DAEMON, 0},
	[FAULT_PAUSE] = {"pause", CLASS_DAEMON, 0},
	[FAULT_KILL] = {"kill", CLASS_DAEMON, 0},
	[FAULT_KILL_REPLICAS] = {"kill-replicas", CLASS_REPLICA, 0},
	[FAULT_TEAR_LOG] = {"tear-log", CLASS_REPLICA, MAX_TORN_BYTES},
	[FAULT_LOSE_DISK] = {"lose-disk", CLASS_REPLICA, 0},
	[FAULT_CLOCK] = {"clock", CLASS_DAEMON, MAX_CLOCK_STEP_MS},
	[FAULT_DISK_SLOW] = {"disk-slow", CLASS_REPLICA, MAX_SYNC_DELAY_MS},
	[FAULT_DISK_FULL] = {"disk-full", CLASS_REPLICA, 0},
	[FAULT_TARGET_KILL] = {"target-kill", CLASS_TARGET, 0},
	[FAULT_TARGET_SLOW] = {"target-slow", CLASS_TARGET, MAX_SERVICE_TIME_MS},
	[FAULT_TARGET_ERRORS] = {"target-errors", CLASS_TARGET, MAX_PERCENT},
	[FAULT_TARGET_CUTS] = {"target-cuts", CLASS_TARGET, MAX_PERCENT},
};

const char *fault_name(fault_kind_t kind)
{
	return kinds[kind].name;
}

void faults_init(faults_t *faults, cluster_t *cluster, soak_shared_t *shared)
{
	faults->cluster = cluster;
	faults->shared = shared;
	faults->proxies = cluster_proxies_in_zone(cluster, "*");
	faults->stopping = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void faults_clear(faults_t *faults)
{
	g_ptr_array_free(faults->proxies, TRUE);
	g_hash_table_destroy(faults->stopping);
}

void faults_process_ended(faults_t *faults, const char *process)
{
	g_hash_table_remove(faults->stopping, process);
	for (guint i = 0; i < faults->proxies->len; i++)
		if (!strcmp(process, g_ptr_array_index(faults->proxies, i)))
			atomic_fetch_add(&faults->shared->incarnations[i], 1);
}

/* Chooses a process of a class at random; one daemon in three is a replica. */
static void choose_process(const faults_t *faults, GRand *rand, process_class_t process_class, char *name)
{
	int replica = g_rand_int_range(rand, 1, CLUSTER_REPLICAS + 1);
	const char *proxy =
		g_ptr_array_index(faults->proxies, g_rand_int_range(rand, 0, (gint32)faults->proxies->len));
	bool use_replica = g_rand_int_range(rand, 0, 3) == 0;

	if (process_class == CLASS_REPLICA || (process_class == CLASS_DAEMON && use_replica))
		g_snprintf(name, SOAK_NAME_BYTES, "r%d", replica);
	else
		g_snprintf(name, SOAK_NAME_BYTES, "%s%s", process_class == CLASS_TARGET ? "target-" : "",
			   proxy);
}

/* Chooses the process, amount and times of a fault at random. */
static fault_t choose_fault(const faults_t *faults, GRand *rand, fault_kind_t kind, int64_t now_ms)
{
	fault_t fault = {.kind = kind};

	choose_process(faults, rand, kinds[kind].process_class, fault.process);
	if (kinds[kind].max_amount)
		fault.amount = g_rand_int_range(rand, 1, kinds[kind].max_amount + 1);
	if (kind == FAULT_CLOCK && g_rand_boolean(rand))
		fault.amount = -fault.amount;
	fault.begin_ms = now_ms + g_rand_int_range(rand, 0, MAX_BEGIN_DELAY_MS);
	fault.end_ms = fault.begin_ms + g_rand_int_range(rand, MIN_DURATION_MS, MAX_DURATION_MS);
	return fault;
}

/* Returns whether the faults chosen for a round include one of a kind. */
static bool contains_kind(const GArray *round, fault_kind_t kind)
{
	for (guint i = 0; i < round->len; i++)
		if (g_array_index(round, fault_t, i).kind == kind)
			return true;
	return false;
}

GArray *faults_choose(const faults_t *faults, GRand *rand, bool planned)
{
	GArray *round = g_array_new(FALSE, FALSE, sizeof(fault_t));
	int count = g_rand_int_range(rand, MIN_FAULTS, MAX_FAULTS + 1);
	int64_t now_ms = soak_now_ms();

	while ((int)round->len < count) {
		fault_kind_t kind =
			(fault_kind_t)g_rand_int_range(rand, 0, planned ? FAULT_PLANNED_KINDS : FAULT_KINDS);
		fault_t fault;

		/* Three replicas tolerate the loss of one disk at a time. */
		if (kind == FAULT_LOSE_DISK && contains_kind(round, FAULT_LOSE_DISK))
			continue;
		fault = choose_fault(faults, rand, kind, now_ms);
		g_array_append_val(round, fault);
	}
	return round;
}

/* Kills a process with SIGKILL and waits for its end, if it is running. */
static void kill_process(faults_t *faults, const char *name)
{
	if (!cluster_is_running(faults->cluster, name))
		return;
	cluster_signal(faults->cluster, name, SIGKILL);
	cluster_wait(faults->cluster, name);
	faults_process_ended(faults, name);
}

/* Starts a process unless it is running. */
static void start_process(faults_t *faults, const char *name)
{
	if (!cluster_is_running(faults->cluster, name))
		cluster_start(faults->cluster, name);
}

/* Sends SIGTERM to a running process; the main loop restarts it after its end. */
static void stop_process(faults_t *faults, const char *name)
{
	if (!cluster_is_running(faults->cluster, name) || g_hash_table_contains(faults->stopping, name))
		return;
	cluster_signal(faults->cluster, name, SIGTERM);
	g_hash_table_insert(faults->stopping, g_strdup(name), GSIZE_TO_POINTER(soak_now_ms()));
}

/* Sends a signal to a process if it is running. */
static void signal_process(faults_t *faults, const char *name, int number)
{
	if (cluster_is_running(faults->cluster, name))
		cluster_signal(faults->cluster, name, number);
}

/* Gives the preloaded library of a process one setting, which replaces any other; see misbehave.c. */
static void set_preload_setting(faults_t *faults, const char *name, const char *setting, int value)
{
	g_autofree char *text = g_strdup_printf("%s=%d\n", setting, value);

	cluster_write_fault_file(faults->cluster, name, text);
}

/* Changes a setting of a running target; see standin_target. */
static void set_target_setting(faults_t *faults, const char *name, const char *setting, int value)
{
	int port = cluster_target_port(faults->cluster, name + strlen("target-"));
	char path[PATH_BYTES];
	caller_response_t answer;

	g_snprintf(path, sizeof(path), "/set?%s=%d", setting, value);
	if (cluster_is_running(faults->cluster, name))
		caller_call(port, "GET", path, "-", SETTING_DEADLINE_MS, &answer);
}

/* Calls kill_process() or start_process() for every replica. */
static void for_each_replica(faults_t *faults, void (*action)(faults_t *, const char *))
{
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		char name[SOAK_NAME_BYTES];

		g_snprintf(name, sizeof(name), "r%d", id);
		action(faults, name);
	}
}

/*
 * Kills a replica and leaves an unsynced write half done at the end of its log:
 * zeros for an even amount of bytes, the beginning of a record for an odd one.
 * Leaves the log alone when the replica is down: it has written nothing since its end.
 */
static void tear_log(faults_t *faults, const fault_t *fault)
{
	if (!cluster_is_running(faults->cluster, fault->process))
		return;
	kill_process(faults, fault->process);
	cluster_append_torn_record(faults->cluster, fault->process[1] - '0', (size_t)fault->amount,
				   fault->amount % 2 == 0);
}

/* Injects a fault. */
static void begin_fault(faults_t *faults, const fault_t *fault)
{
	const char *name = fault->process;
	char command[PATH_BYTES];

	switch (fault->kind) {
	case FAULT_STOP_PROXY:
	case FAULT_STOP_TARGET:
	case FAULT_STOP_REPLICA:
		stop_process(faults, name);
		break;
	case FAULT_DELAY:
		g_snprintf(command, sizeof(command), "delay %d", fault->amount);
		cluster_send_link_command(faults->cluster, name, command);
		break;
	case FAULT_RESET:
	case FAULT_CUT:
	case FAULT_HOLD:
	case FAULT_HOLD_FORWARD:
	case FAULT_HOLD_BACK:
	case FAULT_SILENCE:
		cluster_send_link_command(faults->cluster, name, fault_name(fault->kind));
		break;
	case FAULT_PAUSE:
		signal_process(faults, name, SIGSTOP);
		break;
	case FAULT_KILL:
	case FAULT_TARGET_KILL:
		kill_process(faults, name);
		break;
	case FAULT_KILL_REPLICAS:
		for_each_replica(faults, kill_process);
		break;
	case FAULT_TEAR_LOG:
		tear_log(faults, fault);
		break;
	case FAULT_LOSE_DISK:
		kill_process(faults, name);
		cluster_remove_data(faults->cluster, name[1] - '0');
		break;
	case FAULT_CLOCK:
		set_preload_setting(faults, name, "clock", fault->amount);
		break;
	case FAULT_DISK_SLOW:
		set_preload_setting(faults, name, "sync", fault->amount);
		break;
	case FAULT_DISK_FULL:
		set_preload_setting(faults, name, "full", 1);
		break;
	case FAULT_TARGET_SLOW:
		set_target_setting(faults, name, "service-ms", fault->amount);
		break;
	case FAULT_TARGET_ERRORS:
		set_target_setting(faults, name, "fail-percent", fault->amount);
		break;
	case FAULT_TARGET_CUTS:
		set_target_setting(faults, name, "cut-percent", fault->amount);
		break;
	case FAULT_KINDS:
		break;
	}
}

/* Ends a fault: restarts processes, heals links and restores settings. */
static void end_fault(faults_t *faults, const fault_t *fault)
{
	const char *name = fault->process;

	switch (fault->kind) {
	case FAULT_STOP_PROXY:
	case FAULT_STOP_TARGET:
	case FAULT_STOP_REPLICA:
	case FAULT_RESET:
	case FAULT_SILENCE:
		break;
	case FAULT_DELAY:
		cluster_send_link_command(faults->cluster, name, "delay 0");
		break;
	case FAULT_CUT:
	case FAULT_HOLD:
	case FAULT_HOLD_FORWARD:
	case FAULT_HOLD_BACK:
		cluster_send_link_command(faults->cluster, name, "heal");
		break;
	case FAULT_PAUSE:
		signal_process(faults, name, SIGCONT);
		break;
	case FAULT_KILL:
	case FAULT_TARGET_KILL:
	case FAULT_TEAR_LOG:
	case FAULT_LOSE_DISK:
		start_process(faults, name);
		break;
	case FAULT_KILL_REPLICAS:
		for_each_replica(faults, start_process);
		break;
	case FAULT_CLOCK:
	case FAULT_DISK_SLOW:
	case FAULT_DISK_FULL:
		cluster_write_fault_file(faults->cluster, name, "");
		break;
	case FAULT_TARGET_SLOW:
		set_target_setting(faults, name, "service-ms", DEFAULT_SERVICE_TIME_MS);
		break;
	case FAULT_TARGET_ERRORS:
		set_target_setting(faults, name, "fail-percent", 0);
		break;
	case FAULT_TARGET_CUTS:
		set_target_setting(faults, name, "cut-percent", 0);
		break;
	case FAULT_KINDS:
		break;
	}
}

bool faults_step(faults_t *faults, GArray *round)
{
	int64_t now_ms = soak_now_ms();
	bool unfinished = false;

	for (guint i = 0; i < round->len; i++) {
		fault_t *fault = &g_array_index(round, fault_t, i);

		if (fault->state == FAULT_PENDING && fault->begin_ms <= now_ms) {
			begin_fault(faults, fault);
			fault->state = FAULT_ACTIVE;
		} else if (fault->state == FAULT_ACTIVE && fault->end_ms <= now_ms) {
			end_fault(faults, fault);
			fault->state = FAULT_ENDED;
		}
		unfinished = unfinished || fault->state != FAULT_ENDED;
	}
	return unfinished;
}
