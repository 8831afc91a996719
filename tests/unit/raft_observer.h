/*
 * Checks the safety properties of Raft from the observable actions of the replicas:
 * entries applied, snapshots, votes, elected leaders, answers to reads and leases.
 * Shares no code with the implementation, so that a fault there can't hide itself.
 * Keeps the first violation.
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
/* Returns the highest index that any replica has applied. */
uint64_t raft_observer_commit_index(const raft_observer_t *observer);
/* Returns the digest of a log up to an entry, from the digest up to the previous entry; 0: the empty log. */
uint64_t raft_observer_digest(uint64_t previous, uint64_t index, uint64_t term, const void *data,
			      size_t length);

/* A replica started or installed a snapshot; its state is as of index, digest covers the entries up to it. */
void raft_observer_replica_started(raft_observer_t *observer, uint32_t id, uint64_t index, uint64_t digest);
/*
 * A replica applied an entry.  replica_term is its current term; for the first replica that applies
 * an entry this is the term of the leader that committed it.
 */
void raft_observer_applied(raft_observer_t *observer, uint32_t id, uint64_t index, uint64_t digest,
			   uint64_t replica_term);
/* A replica became the leader of a term. */
void raft_observer_leader_elected(raft_observer_t *observer, uint32_t id, uint64_t term,
				  uint64_t incarnation);
/* Returns the last index committed in earlier terms; the log of the leader of this term must hold it. */
uint64_t raft_observer_commit_index_before_term(const raft_observer_t *observer, uint64_t term);
/*
 * Checks a new leader's log.  digest covers its entries up to index, which is the last one in the
 * log, but at most raft_observer_commit_index_before_term().
 */
void raft_observer_check_leader_log(raft_observer_t *observer, uint32_t id, uint64_t term, uint64_t index,
				    uint64_t digest);
/*
 * A replica with the given last log index voted for a candidate.  It may vote only once per term, and
 * after the loss of its disk only once it has the committed entries again.
 */
void raft_observer_voted(raft_observer_t *observer, uint32_t id, uint64_t incarnation, uint64_t term,
			 uint64_t candidate, uint64_t last_index);
/* The disk of a replica, with log entries up to last_index, was lost. */
void raft_observer_disk_lost(raft_observer_t *observer, uint32_t id, uint64_t last_index);
/* A read arrived; its answer must reflect all entries committed by then. */
void raft_observer_read_started(raft_observer_t *observer, uint64_t cookie);
void raft_observer_read_answered(raft_observer_t *observer, uint64_t cookie, uint64_t applied);
/* Checks that at most one replica holds a lease. */
void raft_observer_check_leases(raft_observer_t *observer, unsigned holders);

#endif
