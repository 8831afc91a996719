/*
 * Judges runs of the replicated log from what replicas do to the outside:
 * what they write to disk, apply, answer and claim.  Shares no code with the
 * replicas; the first violation is kept.
 */
#ifndef RAFT_OBSERVER_H
#define RAFT_OBSERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct raft_observer raft_observer_t;

raft_observer_t *raft_observer_new(void);
void raft_observer_free(raft_observer_t *observer);
const char *raft_observer_violation(const raft_observer_t *observer); /* NULL: none */
uint64_t raft_observer_commit_index(const raft_observer_t *observer);
uint64_t raft_observer_digest(uint64_t previous, uint64_t index, uint64_t term, const void *data,
			      size_t length);

/* A replica has started with its state as of index and the digest over all entries up to it. */
void raft_observer_replica_started(raft_observer_t *observer, uint32_t id, uint64_t index, uint64_t digest);
/* An entry was applied by a replica in a term of its own, which is the leader's when it is the first to apply it. */
void raft_observer_applied(raft_observer_t *observer, uint32_t id, uint64_t index, uint64_t digest,
			   uint64_t replica_term);
/* A replica leads a term. */
void raft_observer_leader_elected(raft_observer_t *observer, uint32_t id, uint64_t term, uint64_t incarnation);
/* How many entries were committed in terms before this one; a new leader's log must hold them. */
uint64_t raft_observer_commit_index_before_term(const raft_observer_t *observer, uint64_t term);
/* The digest over a new leader's log up to index, the last one or that of committed_before(). */
void raft_observer_check_leader_log(raft_observer_t *observer, uint32_t id, uint64_t term, uint64_t index,
			      uint64_t digest);
void raft_observer_voted(raft_observer_t *observer, uint32_t id, uint64_t incarnation, uint64_t term,
			 uint64_t candidate, uint64_t last_index);
/* The disk of a replica, which held entries up to last_index, is lost. */
void raft_observer_disk_lost(raft_observer_t *observer, uint32_t id, uint64_t last_index);
void raft_observer_read_started(raft_observer_t *observer, uint64_t cookie);
void raft_observer_read_answered(raft_observer_t *observer, uint64_t cookie, uint64_t applied);
void raft_observer_check_leases(raft_observer_t *observer, unsigned holders);

#endif
