/* Deterministic simulation of Raft replicas: virtual clock, in-memory disks and network, injected faults. */
#ifndef RAFT_SIM_H
#define RAFT_SIM_H

#include "libcaraway.h"
#include "raft_observer.h"

enum {
	RAFT_SIM_MAX_REPLICAS = 8,
	RAFT_SIM_HEARTBEAT_MS = 50,
	RAFT_SIM_ELECTION_MS = 200,
	RAFT_SIM_LEASE_MS = 150
};

/* The options of cw_raft_options_t with these names, the same for all replicas. */
typedef struct {
	uint32_t heartbeat_ms;
	uint32_t election_ms;
	uint32_t lease_ms;
} raft_sim_timing_t;

/*
 * Variants of the simulation.  Those with a defect must lead to a violation that
 * the observer reports; NONE and REFORMAT must not.
 */
typedef enum {
	VARIANT_NONE,
	VARIANT_KEEP_IDENTITY, /* defect: an empty disk keeps the incarnation of the lost one */
	VARIANT_REFORMAT,      /* correct: a lost disk is formatted as for the first start */
	VARIANT_FORGET_VOTE,   /* defect: a crash loses the vote */
	VARIANT_NO_SYNC,       /* defect: a crash loses the last log entries */
	VARIANT_LONG_LEASE,    /* defect: the lease is longer than the election timeout */
	VARIANT_LOCAL_READ     /* defect: a leader answers reads without confirmation by a quorum */
} raft_sim_variant_t;

typedef struct {
	uint32_t id;
	uint64_t incarnation; /* of the data folder on the disk */
	cw_raft_t *raft;      /* NULL: not running */
	cw_raft_stored_t disk;
	uint64_t applied; /* index of the last entry applied */
	uint64_t digest;  /* of the entries applied; see raft_observer_digest() */
	int64_t frozen_until_ms;
	bool write_fails;    /* the next write to the disk fails */
	GHashTable *pending; /* log index -> pending_proposal_t, proposed at this replica */
} raft_sim_replica_t;

typedef struct {
	uint32_t drop_percent;
	uint32_t duplicate_percent;
	/* Messages delayed by up to long_delay_ms instead of delay_ms, and so reordered. */
	uint32_t long_delay_percent;
	uint32_t long_delay_ms;
	uint32_t delay_ms; /* maximum delay of the other messages */
} raft_sim_network_t;

typedef struct {
	raft_sim_variant_t variant;
	raft_sim_timing_t timing;
	int64_t now_ms;
	uint32_t replica_count;
	raft_sim_replica_t replicas[RAFT_SIM_MAX_REPLICAS + 1]; /* by id */
	/* [from][to]: links on which all messages are dropped */
	bool blocked[RAFT_SIM_MAX_REPLICAS + 1][RAFT_SIM_MAX_REPLICAS + 1];
	raft_sim_network_t network;
	GSequence *messages; /* in flight, in order of delivery */
	GRand *random;
	raft_observer_t *observer;
	uint64_t last_cookie;	   /* of a request, or sequence number of a message */
	uint64_t last_incarnation; /* of a replacement disk; the first disk of a replica has its id */
	uint64_t acknowledged;	   /* proposals whose entry was applied by the replica that received them */
	uint64_t overwritten;	   /* proposals whose log entry was overwritten by another leader's */
	uint64_t refused;	   /* refused proposals and reads */
	uint64_t reads;		   /* answered reads */
	uint64_t disks_lost;
	uint64_t messages_sent;	   /* including those that the network drops */
	uint64_t bytes_sent;	   /* packed size of these messages */
	uint64_t snapshot_entries; /* entries applied between two snapshots */
	bool crash_after_write;	   /* the next replica that writes to its disk crashes after the write */
} raft_sim_t;

/* raft_disk.c */
uint64_t raft_disk_last_index(const cw_raft_stored_t *disk);
void raft_disk_append(cw_raft_stored_t *disk, const GPtrArray *entries);
void raft_disk_save_snapshot(cw_raft_stored_t *disk, uint64_t index, uint64_t term,
			     const Caraway__Membership *membership, GBytes *state, bool keep_later_entries);
void raft_disk_format(cw_raft_stored_t *disk, Caraway__Membership *membership);
Caraway__Membership *raft_sim_membership(uint32_t count);

/* raft_sim.c */
/* Starts replicas 1 to count, all voters, with the default timing of this file. */
raft_sim_t *raft_sim_new(uint32_t count, uint64_t seed, raft_sim_variant_t variant);
/* Likewise with other timing; the variant does not change the timing. */
raft_sim_t *raft_sim_new_with_timing(uint32_t count, uint64_t seed, raft_sim_variant_t variant,
				     raft_sim_timing_t timing);
void raft_sim_free(raft_sim_t *sim);
void raft_sim_run(raft_sim_t *sim, int64_t duration_ms);
void raft_sim_crash(raft_sim_t *sim, uint32_t id);
void raft_sim_start_replica(raft_sim_t *sim, uint32_t id);
void raft_sim_lose_disk(raft_sim_t *sim, uint32_t id);
void raft_sim_freeze(raft_sim_t *sim, uint32_t id, int64_t duration_ms);
void raft_sim_propose(raft_sim_t *sim, uint32_t id);
void raft_sim_read(raft_sim_t *sim, uint32_t id);
void raft_sim_step(raft_sim_t *sim, uint32_t id, const cw_raft_event_t *event);
void raft_sim_heal_network(raft_sim_t *sim);
/* Returns the id of a leader that holds a lease; 0: none. */
uint32_t raft_sim_leader(const raft_sim_t *sim);

#endif
