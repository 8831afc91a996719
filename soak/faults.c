/* Faults: which there are, how a round draws them, and what they do from outside the processes. */
#include "faults.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "caller.h"

enum {
	MIN_FAULTS = 2,
	MAX_FAULTS = 6,
	SPREAD_MS = 3000, /* within which the faults of a round begin, so that most overlap */
	MIN_LAST_MS = 100,
	MAX_LAST_MS = 4000,
	MAX_DELAY_MS = 300,
	MAX_CLOCK_STEP_MS = 120000,
	MAX_SYNC_MS = 800,
	MAX_SERVICE_MS = 600,
	SERVICE_MS = 5, /* of the stand-in, as it starts */
	MAX_PERCENT = 60,
	TORN_BYTES = 40, /* less than a record */
	PATH_BYTES = 64,
	ANSWER_MS = 1000
};

/* Whom a kind is for. */
typedef enum { FOR_REPLICA, FOR_PROXY, FOR_TARGET, FOR_DAEMON } subject_t;

static const struct {
	const char *word;
	subject_t subject;
	int most; /* of the amount */
} kinds[FAULT_KINDS] = {
	[FAULT_STOP_PROXY] = {"stop-proxy", FOR_PROXY, 0},
	[FAULT_STOP_TARGET] = {"stop-target", FOR_TARGET, 0},
	[FAULT_STOP_REPLICA] = {"stop-replica", FOR_REPLICA, 0},
	[FAULT_DELAY] = {"delay", FOR_DAEMON, MAX_DELAY_MS},
	[FAULT_RESET] = {"reset", FOR_DAEMON, 0},
	[FAULT_CUT] = {"cut", FOR_DAEMON, 0},
	[FAULT_HOLD] = {"hold", FOR_DAEMON, 0},
	[FAULT_HOLD_FORWARD] = {"hold-forward", FOR_DAEMON, 0},
	[FAULT_HOLD_BACK] = {"hold-back", FOR_DAEMON, 0},
	[FAULT_SILENCE] = {"silence", FOR_DAEMON, 0},
	[FAULT_PAUSE] = {"pause", FOR_DAEMON, 0},
	[FAULT_KILL] = {"kill", FOR_DAEMON, 0},
	[FAULT_KILL_REPLICAS] = {"kill-replicas", FOR_REPLICA, 0},
	[FAULT_TEAR_LOG] = {"tear-log", FOR_REPLICA, TORN_BYTES},
	[FAULT_LOSE_DISK] = {"lose-disk", FOR_REPLICA, 0},
	[FAULT_CLOCK] = {"clock", FOR_DAEMON, MAX_CLOCK_STEP_MS},
	[FAULT_DISK_SLOW] = {"disk-slow", FOR_REPLICA, MAX_SYNC_MS},
	[FAULT_DISK_FULL] = {"disk-full", FOR_REPLICA, 0},
	[FAULT_TARGET_KILL] = {"target-kill", FOR_TARGET, 0},
	[FAULT_TARGET_SLOW] = {"target-slow", FOR_TARGET, MAX_SERVICE_MS},
	[FAULT_TARGET_ERRORS] = {"target-errors", FOR_TARGET, MAX_PERCENT},
	[FAULT_TARGET_CUTS] = {"target-cuts", FOR_TARGET, MAX_PERCENT},
};

const char *fault_word(fault_kind_t kind)
{
	return kinds[kind].word;
}

void faults_init(faults_t *faults, cluster_t *cluster, soak_load_t *load)
{
	faults->cluster = cluster;
	faults->load = load;
	faults->proxies = cluster_proxies_in(cluster, "*");
	faults->stopped = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void faults_clear(faults_t *faults)
{
	g_ptr_array_free(faults->proxies, TRUE);
	g_hash_table_destroy(faults->stopped);
}

void faults_note_end(faults_t *faults, const char *process)
{
	g_hash_table_remove(faults->stopped, process);
	for (guint i = 0; i < faults->proxies->len; i++)
		if (!strcmp(process, g_ptr_array_index(faults->proxies, i)))
			atomic_fetch_add(&faults->load->lifetimes[i], 1);
}

/* Draws the process that a fault is for. */
static void draw_process(const faults_t *faults, GRand *rand, subject_t subject, char *name)
{
	int replica = g_rand_int_range(rand, 1, CLUSTER_REPLICAS + 1);
	const char *proxy =
		g_ptr_array_index(faults->proxies, g_rand_int_range(rand, 0, (gint32)faults->proxies->len));
	bool replica_of_all = g_rand_int_range(rand, 0, 3) == 0;

	if (subject == FOR_REPLICA || (subject == FOR_DAEMON && replica_of_all))
		g_snprintf(name, SOAK_NAME_BYTES, "r%d", replica);
	else
		g_snprintf(name, SOAK_NAME_BYTES, "%s%s", subject == FOR_TARGET ? "target-" : "", proxy);
}

/* Draws one fault. */
static fault_t draw_fault(const faults_t *faults, GRand *rand, fault_kind_t kind, int64_t now_ms)
{
	fault_t fault = {.kind = kind};

	draw_process(faults, rand, kinds[kind].subject, fault.process);
	if (kinds[kind].most)
		fault.amount = g_rand_int_range(rand, 1, kinds[kind].most + 1);
	if (kind == FAULT_CLOCK && g_rand_boolean(rand))
		fault.amount = -fault.amount;
	fault.begin_ms = now_ms + g_rand_int_range(rand, 0, SPREAD_MS);
	fault.end_ms = fault.begin_ms + g_rand_int_range(rand, MIN_LAST_MS, MAX_LAST_MS);
	return fault;
}

/* Returns whether a fault of a kind is among those of a round. */
static bool has_kind(const GArray *round, fault_kind_t kind)
{
	for (guint i = 0; i < round->len; i++)
		if (g_array_index(round, fault_t, i).kind == kind)
			return true;
	return false;
}

GArray *faults_draw(const faults_t *faults, GRand *rand, bool planned)
{
	GArray *round = g_array_new(FALSE, FALSE, sizeof(fault_t));
	int count = g_rand_int_range(rand, MIN_FAULTS, MAX_FAULTS + 1);
	int64_t now_ms = soak_now_ms();

	while ((int)round->len < count) {
		fault_kind_t kind =
			(fault_kind_t)g_rand_int_range(rand, 0, planned ? FAULT_PLANNED_KINDS : FAULT_KINDS);
		fault_t fault;

		/* Three replicas bear the loss of one disk at a time. */
		if (kind == FAULT_LOSE_DISK && has_kind(round, FAULT_LOSE_DISK))
			continue;
		fault = draw_fault(faults, rand, kind, now_ms);
		g_array_append_val(round, fault);
	}
	return round;
}

/* Kills a process that runs. */
static void kill_process(faults_t *faults, const char *name)
{
	if (!cluster_runs(faults->cluster, name))
		return;
	cluster_signal(faults->cluster, name, SIGKILL);
	cluster_wait(faults->cluster, name);
	faults_note_end(faults, name);
}

/* Starts a process that does not run. */
static void start_process(faults_t *faults, const char *name)
{
	if (!cluster_runs(faults->cluster, name))
		cluster_start(faults->cluster, name);
}

/* Tells a process to stop; whoever watches the processes starts it again. */
static void stop_process(faults_t *faults, const char *name)
{
	if (!cluster_runs(faults->cluster, name) || g_hash_table_contains(faults->stopped, name))
		return;
	cluster_signal(faults->cluster, name, SIGTERM);
	g_hash_table_insert(faults->stopped, g_strdup(name), GSIZE_TO_POINTER(soak_now_ms()));
}

/* Sends a signal to a process that runs. */
static void signal_process(faults_t *faults, const char *name, int number)
{
	if (cluster_runs(faults->cluster, name))
		cluster_signal(faults->cluster, name, number);
}

/* Tells the preloaded library of a process what to do. */
static void misbehave(faults_t *faults, const char *name, const char *word, int amount)
{
	g_autofree char *text = g_strdup_printf("%s=%d\n", word, amount);

	cluster_misbehave(faults->cluster, name, text);
}

/* Changes a setting of a target. */
static void set_target(faults_t *faults, const char *name, const char *setting, int value)
{
	int port = cluster_target_port(faults->cluster, name + strlen("target-"));
	char path[PATH_BYTES];
	answer_t answer;

	g_snprintf(path, sizeof(path), "/set?%s=%d", setting, value);
	if (cluster_runs(faults->cluster, name))
		caller_call(port, "GET", path, "-", ANSWER_MS, &answer);
}

/* Carries out "kill" or "start" on every replica. */
static void all_replicas(faults_t *faults, void (*act)(faults_t *, const char *))
{
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		char name[SOAK_NAME_BYTES];

		g_snprintf(name, sizeof(name), "r%d", id);
		act(faults, name);
	}
}

/*
 * Kills a replica and leaves a write that was not synced half done at the end of
 * its log; one that is down has written nothing since.
 */
static void tear_log(faults_t *faults, const fault_t *fault)
{
	if (!cluster_runs(faults->cluster, fault->process))
		return;
	kill_process(faults, fault->process);
	cluster_tear_log(faults->cluster, fault->process[1] - '0', (size_t)fault->amount,
			 fault->amount % 2 == 0);
}

/* Begins a fault. */
static void begin(faults_t *faults, const fault_t *fault)
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
		cluster_command_links(faults->cluster, name, command);
		break;
	case FAULT_RESET:
	case FAULT_CUT:
	case FAULT_HOLD:
	case FAULT_HOLD_FORWARD:
	case FAULT_HOLD_BACK:
	case FAULT_SILENCE:
		cluster_command_links(faults->cluster, name, fault_word(fault->kind));
		break;
	case FAULT_PAUSE:
		signal_process(faults, name, SIGSTOP);
		break;
	case FAULT_KILL:
	case FAULT_TARGET_KILL:
		kill_process(faults, name);
		break;
	case FAULT_KILL_REPLICAS:
		all_replicas(faults, kill_process);
		break;
	case FAULT_TEAR_LOG:
		tear_log(faults, fault);
		break;
	case FAULT_LOSE_DISK:
		kill_process(faults, name);
		cluster_remove_data(faults->cluster, name[1] - '0');
		break;
	case FAULT_CLOCK:
		misbehave(faults, name, "clock", fault->amount);
		break;
	case FAULT_DISK_SLOW:
		misbehave(faults, name, "sync", fault->amount);
		break;
	case FAULT_DISK_FULL:
		misbehave(faults, name, "full", 1);
		break;
	case FAULT_TARGET_SLOW:
		set_target(faults, name, "service-ms", fault->amount);
		break;
	case FAULT_TARGET_ERRORS:
		set_target(faults, name, "fail-percent", fault->amount);
		break;
	case FAULT_TARGET_CUTS:
		set_target(faults, name, "cut-percent", fault->amount);
		break;
	case FAULT_KINDS:
		break;
	}
}

/* Ends a fault. */
static void end(faults_t *faults, const fault_t *fault)
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
		cluster_command_links(faults->cluster, name, "delay 0");
		break;
	case FAULT_CUT:
	case FAULT_HOLD:
	case FAULT_HOLD_FORWARD:
	case FAULT_HOLD_BACK:
		cluster_command_links(faults->cluster, name, "heal");
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
		all_replicas(faults, start_process);
		break;
	case FAULT_CLOCK:
	case FAULT_DISK_SLOW:
	case FAULT_DISK_FULL:
		cluster_misbehave(faults->cluster, name, "");
		break;
	case FAULT_TARGET_SLOW:
		set_target(faults, name, "service-ms", SERVICE_MS);
		break;
	case FAULT_TARGET_ERRORS:
		set_target(faults, name, "fail-percent", 0);
		break;
	case FAULT_TARGET_CUTS:
		set_target(faults, name, "cut-percent", 0);
		break;
	case FAULT_KINDS:
		break;
	}
}

bool faults_step(faults_t *faults, GArray *round)
{
	int64_t now_ms = soak_now_ms();
	bool more = false;

	for (guint i = 0; i < round->len; i++) {
		fault_t *fault = &g_array_index(round, fault_t, i);

		if (fault->state == FAULT_WAITS && fault->begin_ms <= now_ms) {
			begin(faults, fault);
			fault->state = FAULT_ACTIVE;
		} else if (fault->state == FAULT_ACTIVE && fault->end_ms <= now_ms) {
			end(faults, fault);
			fault->state = FAULT_OVER;
		}
		more = more || fault->state != FAULT_OVER;
	}
	return more;
}
