/* Faults: which there are, how a round draws them, and what they do from outside the processes. */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "soak.h"

typedef enum {
	/* Planned work. */
	FAULT_STOP_PROXY,
	FAULT_STOP_TARGET,
	FAULT_STOP_REPLICA,
	/* Links before replicas and proxies. */
	FAULT_DELAY,
	FAULT_RESET,
	FAULT_CUT,
	FAULT_HOLD,
	FAULT_HOLD_FORWARD,
	FAULT_HOLD_BACK,
	FAULT_SILENCE,
	/* Processes. */
	FAULT_PAUSE,
	FAULT_KILL,
	FAULT_KILL_REPLICAS, /* all at once */
	FAULT_TEAR_LOG,	     /* killed, and a write that was never synced half done */
	FAULT_LOSE_DISK,
	/* Clocks and disks. */
	FAULT_CLOCK,
	FAULT_DISK_SLOW,
	FAULT_DISK_FULL,
	/* Targets. */
	FAULT_TARGET_KILL,
	FAULT_TARGET_SLOW,
	FAULT_TARGET_ERRORS,
	FAULT_TARGET_CUTS,
	FAULT_KINDS
} fault_kind_t;

enum { FAULT_PLANNED_KINDS = FAULT_DELAY };

typedef enum { FAULT_WAITS, FAULT_ACTIVE, FAULT_OVER } fault_state_t;

/* One fault of a round. */
typedef struct {
	fault_kind_t kind;
	fault_state_t state;
	char process[SOAK_NAME_BYTES];
	int amount; /* milliseconds, percent, or a process of the set */
	int64_t begin_ms;
	int64_t end_ms;
} fault_t;

/* The processes that faults are drawn for. */
typedef struct {
	cluster_t *cluster;
	soak_load_t *load;
	GPtrArray *proxies; /* char * */
	GHashTable *
		stopped; /* names of processes told to stop, not restarted yet; value: when, in milliseconds */
} faults_t;

void faults_init(faults_t *faults, cluster_t *cluster, soak_load_t *load);
void faults_clear(faults_t *faults);
/* Draws the faults of a round, planned work only or anything; fault_t, freed by the caller. */
GArray *faults_draw(const faults_t *faults, GRand *rand, bool planned);
/* Begins and ends what is due; returns whether any fault is still to come or active. */
bool faults_step(faults_t *faults, GArray *round);
const char *fault_word(fault_kind_t kind);
/* Notes that a process has ended: what callers see of a proxy from now on is another one's. */
void faults_note_end(faults_t *faults, const char *process);

#endif
