/* Kinds of faults, their random choice for a round, and their injection from outside the processes. */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "soak.h"

typedef enum {
	/* Planned work: processes stopped with SIGTERM. */
	FAULT_STOP_PROXY,
	FAULT_STOP_TARGET,
	FAULT_STOP_REPLICA,
	/* Links in front of replicas and proxies; see standin_link. */
	FAULT_DELAY,
	FAULT_RESET,
	FAULT_CUT,
	FAULT_HOLD,
	FAULT_HOLD_FORWARD,
	FAULT_HOLD_BACK,
	FAULT_SILENCE,
	/* Processes and their data. */
	FAULT_PAUSE,
	FAULT_KILL,
	FAULT_KILL_REPLICAS, /* all of them at once */
	FAULT_TEAR_LOG,	     /* killed, with an unsynced write half done */
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
	FAULT_KINDS /* number of kinds */
} fault_kind_t;

/* Number of kinds that are planned work; they come first in fault_kind_t. */
enum { FAULT_PLANNED_KINDS = FAULT_DELAY };

typedef enum { FAULT_PENDING, FAULT_ACTIVE, FAULT_ENDED } fault_state_t;

/* One fault of a round. */
typedef struct {
	fault_kind_t kind;
	fault_state_t state;
	char process[SOAK_NAME_BYTES];
	int amount;	  /* milliseconds, bytes or percent, by kind; 0: none */
	int64_t begin_ms; /* soak_now_ms() */
	int64_t end_ms;	  /* soak_now_ms() */
} fault_t;

/* Injects faults into the processes of a cluster. */
typedef struct {
	cluster_t *cluster;
	soak_shared_t *shared;
	GPtrArray *proxies;   /* char *, names; the index is that of shared->incarnations */
	GHashTable *stopping; /* processes sent SIGTERM that have not ended: name -> soak_now_ms() then */
} faults_t;

/* Initializes the state; the proxies must have been added to the cluster. */
void faults_init(faults_t *faults, cluster_t *cluster, soak_shared_t *shared);
/* Frees what the state refers to, except the cluster and the shared state. */
void faults_clear(faults_t *faults);
/* Chooses the faults of a round at random, planned work only or any kind; fault_t, freed by the caller. */
GArray *faults_choose(const faults_t *faults, GRand *rand, bool planned);
/* Begins and ends the faults that are due; returns whether any fault is still pending or active. */
bool faults_step(faults_t *faults, GArray *round);
/* Returns the printed name of a kind; for most link faults it is also the command of standin_link. */
const char *fault_name(fault_kind_t kind);
/* Records that a process has ended; calls to a proxy from now on reach a new incarnation. */
void faults_process_ended(faults_t *faults, const char *process);

#endif
