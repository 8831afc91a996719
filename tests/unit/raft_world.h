/* Replicas of the log on one virtual clock, with disks and a network that fail as told. */
#ifndef RAFT_WORLD_H
#define RAFT_WORLD_H

#include "libcaraway.h"
#include "raft_observer.h"

enum { WORLD_MAX = 8, WORLD_HEARTBEAT_MS = 50, WORLD_ELECTION_MS = 200, WORLD_LEASE_MS = 150 };

typedef struct {
	uint32_t heartbeat_ms;
	uint32_t election_ms;
	uint32_t lease_ms;
} world_timing_t;

/* Ways to get it wrong, each of which the observer must notice. */
typedef enum {
	NAIVE_NONE,
	NAIVE_KEEP_IDENTITY, /* a lost disk is replaced by an empty one with the old identity */
	FORMAT_AGAIN,	     /* a lost disk is replaced by one that is formatted anew: this must do */
	NAIVE_FORGET_VOTE,   /* term and vote are not synced */
	NAIVE_NO_SYNC,	     /* the last entries are lost in a crash */
	NAIVE_LONG_LEASE,    /* the lease outlasts the election time */
	NAIVE_LOCAL_READ     /* a leader answers reads without asking anyone */
} naive_t;

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
} world_replica_t;

typedef struct {
	uint32_t drop_percent;
	uint32_t duplicate_percent;
	uint32_t late_percent; /* delayed by up to late_ms, and so out of order */
	uint32_t late_ms;
	uint32_t delay_ms; /* most delay of the others */
} world_network_t;

typedef struct {
	naive_t naive;
	world_timing_t timing;
	int64_t now_ms;
	uint32_t count;
	world_replica_t replicas[WORLD_MAX + 1]; /* by id */
	bool cut[WORLD_MAX + 1][WORLD_MAX + 1];	 /* [from][to] */
	world_network_t network;
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
	bool crash_in_step;	   /* the next replica that writes stops right after it */
} world_t;

/* raft_disk.c */
uint64_t world_disk_last_index(const cw_raft_stored_t *disk);
void world_disk_append(cw_raft_stored_t *disk, const GPtrArray *entries);
void world_disk_snapshot(cw_raft_stored_t *disk, uint64_t index, uint64_t term,
			 const Caraway__Membership *membership, GBytes *state, bool keep_later_entries);
void world_disk_format(cw_raft_stored_t *disk, Caraway__Membership *membership);
Caraway__Membership *world_membership(uint32_t count);

/* raft_world.c */
world_t *world_new(uint32_t count, uint64_t seed, naive_t naive);
world_t *world_new_timed(uint32_t count, uint64_t seed, naive_t naive, world_timing_t timing);
void world_free(world_t *world);
void world_run(world_t *world, int64_t duration_ms);
void world_crash(world_t *world, uint32_t id);
void world_start(world_t *world, uint32_t id);
void world_lose_disk(world_t *world, uint32_t id);
void world_freeze(world_t *world, uint32_t id, int64_t duration_ms);
void world_propose(world_t *world, uint32_t id);
void world_read(world_t *world, uint32_t id);
void world_event(world_t *world, uint32_t id, const cw_raft_event_t *event);
void world_heal(world_t *world);
uint32_t world_leader(const world_t *world); /* with a lease; 0: none */

#endif
