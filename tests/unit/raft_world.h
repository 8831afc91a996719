/* Replicas of the log on one virtual clock, with disks and a network that fail as told. */
#ifndef RAFT_WORLD_H
#define RAFT_WORLD_H

#include "libcaraway.h"
#include "raft_observer.h"

enum { RAFT_SIM_MAX_REPLICAS = 8, RAFT_SIM_HEARTBEAT_MS = 50, RAFT_SIM_ELECTION_MS = 200, RAFT_SIM_LEASE_MS = 150 };

typedef struct {
	uint32_t heartbeat_ms;
	uint32_t election_ms;
	uint32_t lease_ms;
} world_timing_t;

/* Ways to get it wrong, each of which the observer must notice. */
typedef enum {
	NAIVE_NONE,
	VARIANT_KEEP_IDENTITY, /* a lost disk is replaced by an empty one with the old identity */
	VARIANT_REFORMAT,	     /* a lost disk is replaced by one that is formatted anew: this must do */
	VARIANT_FORGET_VOTE,   /* term and vote are not synced */
	VARIANT_NO_SYNC,	     /* the last entries are lost in a crash */
	VARIANT_LONG_LEASE,    /* the lease outlasts the election time */
	VARIANT_LOCAL_READ     /* a leader answers reads without asking anyone */
} raft_sim_variant_t;

typedef struct {
	uint32_t id;
	uint64_t incarnation;
	cw_raft_t *raft; /* NULL: not running */
	cw_raft_stored_t disk;
	uint64_t applied;
	uint64_t digest;
	int64_t frozen_until_ms;
	bool write_fails;    /* the next write to the disk */
	GHashTable *pending; /* index -> term and cookie of a proposal */
} raft_sim_replica_t;

typedef struct {
	uint32_t drop_percent;
	uint32_t duplicate_percent;
	uint32_t late_percent; /* delayed by up to late_ms, and so out of order */
	uint32_t late_ms;
	uint32_t delay_ms; /* most delay of the others */
} raft_sim_network_t;

typedef struct {
	raft_sim_variant_t variant;
	world_timing_t timing;
	int64_t now_ms;
	uint32_t count;
	raft_sim_replica_t replicas[RAFT_SIM_MAX_REPLICAS + 1]; /* by id */
	bool blocked[RAFT_SIM_MAX_REPLICAS + 1][RAFT_SIM_MAX_REPLICAS + 1];	 /* [from][to] */
	raft_sim_network_t network;
	GSequence *messages; /* in order of delivery */
	GRand *random;
	raft_observer_t *observer;
	uint64_t next_cookie;
	uint64_t next_incarnation;
	uint64_t acknowledged;
	uint64_t lost;	  /* proposals displaced by another entry */
	uint64_t refused; /* proposals and reads */
	uint64_t reads;
	uint64_t disks_lost;
	uint64_t messages_sent;
	uint64_t bytes_sent;
	uint64_t snapshot_entries; /* between snapshots */
	bool crash_after_write;	   /* the next replica that writes stops right after it */
} world_t;

/* raft_disk.c */
uint64_t raft_disk_last_index(const cw_raft_stored_t *disk);
void raft_disk_append(cw_raft_stored_t *disk, const GPtrArray *entries);
void raft_disk_save_snapshot(cw_raft_stored_t *disk, uint64_t index, uint64_t term,
			 const Caraway__Membership *membership, GBytes *state, bool keep_later_entries);
void raft_disk_format(cw_raft_stored_t *disk, Caraway__Membership *membership);
Caraway__Membership *world_membership(uint32_t count);

/* raft_world.c */
world_t *raft_sim_new(uint32_t count, uint64_t seed, raft_sim_variant_t variant);
world_t *world_new_timed(uint32_t count, uint64_t seed, raft_sim_variant_t variant, world_timing_t timing);
void world_free(world_t *sim);
void world_run(world_t *sim, int64_t duration_ms);
void world_crash(world_t *sim, uint32_t id);
void world_start(world_t *sim, uint32_t id);
void world_lose_disk(world_t *sim, uint32_t id);
void raft_sim_freeze(world_t *sim, uint32_t id, int64_t duration_ms);
void raft_sim_propose(world_t *sim, uint32_t id);
void raft_sim_read(world_t *sim, uint32_t id);
void raft_sim_step(world_t *sim, uint32_t id, const cw_raft_event_t *event);
void raft_sim_heal_network(world_t *sim);
uint32_t world_leader(const world_t *sim); /* with a lease; 0: none */

#endif
