/* Randomized fault injection for simulated Raft replicas, reproducible by its seed. */
#ifndef RAFT_FAULTS_H
#define RAFT_FAULTS_H

#include "raft_sim.h"

/* Totals over one or more runs. */
typedef struct {
	uint64_t acknowledged; /* proposals */
	uint64_t reads;	       /* answered reads */
	uint64_t disks_lost;
	uint64_t faults; /* including disk losses skipped by can_lose_disk() */
} faults_totals_t;

/*
 * Runs replicas under random faults, then repairs all faults and waits for the
 * replicas to converge.  Returns the violation that the observer found, or why
 * the replicas did not converge, owned by the caller; NULL on success.  Adds the
 * counts of the run to totals.
 */
char *faults_run(uint32_t replicas, uint64_t seed, raft_sim_variant_t variant, faults_totals_t *totals);

#endif
