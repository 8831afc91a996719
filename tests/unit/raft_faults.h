/* Random faults for the replicated log, by seed. */
#ifndef RAFT_FAULTS_H
#define RAFT_FAULTS_H

#include "raft_world.h"

/*
 * Runs replicas under random faults, mends everything and waits.  Returns
 * what the observer found, or that the replicas did not come together; owned
 * by the caller; NULL when all is well.  Adds to the counts given.
 */
typedef struct {
	uint64_t acknowledged;
	uint64_t reads;
	uint64_t disks_lost;
	uint64_t faults;
} faults_totals_t;

char *faults_run(uint32_t replicas, uint64_t seed, raft_sim_variant_t variant, faults_totals_t *count);

#endif
