/*
 * Counters of a process, safe to update from any thread.  Each reason to refuse
 * or retry has its own counter.  A counter added to this list is exported by
 * the metrics endpoint and shown by `carawayctl counters`.
 */
#ifndef COUNTERS_H
#define COUNTERS_H

#include <stdint.h>

/* One counter for each reason of cw_reason_t except "none", in the order of that enum. */
#define REASON_COUNTERS(X, ID, name)                                                                         \
	X(ID##_NO_CONFIG, name "-no-config")                                                                 \
	X(ID##_CONFIG_STALE, name "-config-stale")                                                           \
	X(ID##_NO_ROUTE, name "-no-route")                                                                   \
	X(ID##_NO_TARGET, name "-no-target")                                                                 \
	X(ID##_UNREACHABLE, name "-unreachable")                                                             \
	X(ID##_QUEUE_FULL, name "-queue-full")                                                               \
	X(ID##_CROWDED, name "-crowded")                                                                     \
	X(ID##_TARGET_FULL, name "-target-full")                                                             \
	X(ID##_DEADLINE, name "-deadline")                                                                   \
	X(ID##_DRAINING, name "-draining")                                                                   \
	X(ID##_INCARNATION, name "-incarnation")                                                             \
	X(ID##_TARGET_UNREACHABLE, name "-target-unreachable")                                               \
	X(ID##_REVOKED, name "-revoked")                                                                     \
	X(ID##_RECORDS_FULL, name "-records-full")                                                           \
	X(ID##_TOO_LARGE, name "-too-large")                                                                 \
	X(ID##_TOO_DEEP, name "-too-deep")                                                                   \
	X(ID##_BAD_HEADER, name "-bad-header")                                                               \
	X(ID##_BAD_KEY, name "-bad-key")                                                                     \
	X(ID##_KEYS_UNCONFIRMED, name "-keys-unconfirmed")                                                   \
	X(ID##_OVER_ALLOTMENT, name "-over-allotment")                                                       \
	X(ID##_ALLOTMENT_UNAVAILABLE, name "-allotment-unavailable")                                         \
	X(ID##_NO_ANSWER, name "-no-answer")                                                                 \
	X(ID##_CUT, name "-cut")                                                                             \
	X(ID##_TARGET_ERROR, name "-target-error")                                                           \
	X(ID##_ANSWER_TOO_LARGE, name "-answer-too-large")

#define COUNTERS(X)                                                                                                     \
	/* messages between processes, all roles */                                                                     \
	X(MESSAGE_UNDECODABLE, "message-undecodable")                                                                   \
	X(MESSAGE_UNEXPECTED, "message-unexpected")                                                                     \
	X(MESSAGE_DENIED, "message-denied")                                                                             \
	X(KEY_UNKNOWN, "key-unknown")                                                                                   \
	X(SEND_REFUSED, "send-refused")                                                                                 \
	/* control replicas */                                                                                          \
	X(COMMAND_ACCEPTED, "command-accepted")                                                                         \
	X(COMMAND_REFUSED, "command-refused")                                                                           \
	X(NOT_LEADER, "not-leader")                                                                                     \
	X(NO_QUORUM, "no-quorum")                                                                                       \
	X(ACTIVATED, "activated")                                                                                       \
	X(ACTIVATED_LATE, "activated-late")                                                                             \
	X(ELECTION, "election")                                                                                         \
	X(LONG_TURN, "long-turn")                                                                                       \
	X(REGISTRATION_REFUSED, "registration-refused")                                                                 \
	X(STAMP_REFUSED, "stamp-refused")                                                                               \
	X(STORAGE_FAILED, "storage-failed")                                                                             \
	X(STORAGE_FULL, "storage-full")                                                                                 \
	X(SNAPSHOT_TAKEN, "snapshot-taken")                                                                             \
	X(ENDPOINT_EXPIRED, "endpoint-expired")                                                                         \
	/* feed, most of them as in cw_relay_counter_t */                                                               \
	X(PULL_SERVED, "pull-served")                                                                                   \
	X(PULL_REFUSED_FULL, "pull-refused-full")                                                                       \
	X(PULL_REFUSED_STALE, "pull-refused-stale")                                                                     \
	X(PULL_REFUSED_STOPPING, "pull-refused-stopping")                                                               \
	X(PULL_REFUSED_POSITION, "pull-refused-position")                                                               \
	X(PULL_REFUSED_NOT_READY, "pull-refused-not-ready")                                                             \
	X(NEWS_REFUSED_DAMAGED, "news-refused-damaged")                                                                 \
	X(NEWS_REFUSED_POSITION, "news-refused-position")                                                               \
	X(PARENT_LEFT_STALE, "parent-left-stale")                                                                       \
	X(PARENT_LEFT_REFUSED, "parent-left-refused")                                                                   \
	X(PARENT_LEFT_SILENT, "parent-left-silent")                                                                     \
	X(PARENT_LEFT_FOREIGN, "parent-left-foreign")                                                                   \
	X(PULL_CROSSED, "pull-crossed")                                                                                 \
	X(NEWS_CROSSED, "news-crossed")                                                                                 \
	X(PARENT_LEFT_NEWS, "parent-left-news")                                                                         \
	/* a configuration that a proxy received but does not apply: it fails the check for this VM */                  \
	X(VIEW_REFUSED, "view-refused")                                                                                 \
	X(FEED_BYTES_SENT, "feed-bytes-sent")                                                                           \
	X(FEED_BYTES_RECEIVED, "feed-bytes-received")                                                                   \
	/* calls: refusals by the receiver, outcomes returned to callers, and reasons for retries */                    \
	REASON_COUNTERS(X, REFUSED, "refused")                                                                          \
	REASON_COUNTERS(X, OUTCOME, "outcome")                                                                          \
	REASON_COUNTERS(X, RETRY, "retry")                                                                              \
	X(RETRY_NO_BUDGET, "retry-no-budget")                                                                           \
	/* HTTP servers: requests that are invalid, late or too long for now; idle connections closed */                \
	X(REQUEST_UNREADABLE, "request-unreadable")                                                                     \
	X(REQUEST_SLOW, "request-slow")                                                                                 \
	X(REQUEST_NO_MEMORY, "request-no-memory")                                                                       \
	X(CONNECTION_EVICTED, "connection-evicted")                                                                     \
	/* callers closed as they did not read or were too many; proxies and answers of the target not read for now */  \
	X(CONNECTION_REFUSED, "connection-refused")                                                                     \
	X(SLOW_READER_CLOSED, "slow-reader-closed")                                                                     \
	X(CONNECTION_PAUSED, "connection-paused")                                                                       \
	X(ANSWER_PAUSED, "answer-paused")                                                                               \
	/* tokens of client accounts: requests to owners; granted, withheld, and declined as another proxy owns them */ \
	X(ALLOTMENT_ASKED, "allotment-asked")                                                                           \
	X(ALLOTMENT_GRANTED, "allotment-granted")                                                                       \
	X(ALLOTMENT_WITHHELD, "allotment-withheld")                                                                     \
	X(ALLOTMENT_DECLINED, "allotment-declined")                                                                     \
	/* calls that went on without a grant while the owner was silent */                                             \
	X(ALLOTMENT_CREDIT, "allotment-credit")                                                                         \
	/* connections opened to targets; kept ones not used, as they have carried a request with the same id */        \
	X(TARGET_CONNECTION, "target-connection")                                                                       \
	X(CONNECTION_PASSED_OVER, "connection-passed-over")                                                             \
	/* answers of targets to another request, to no request, and invalid ones */                                    \
	X(ANSWER_CROSSED, "answer-crossed")                                                                             \
	X(ANSWER_UNASKED, "answer-unasked")                                                                             \
	X(ANSWER_UNREADABLE, "answer-unreadable")                                                                       \
	/* refusals of a target that may be second copies of an earlier one, and prove nothing */                       \
	X(REFUSAL_UNCERTAIN, "refusal-uncertain")                                                                       \
	/* announcements of a target that its health check has not confirmed since this process started */              \
	X(ANNOUNCEMENT_UNCONFIRMED, "announcement-unconfirmed")                                                         \
	/* calls received from callers, and those of them that a target answered */                                     \
	X(CALL_TAKEN, "call-taken")                                                                                     \
	X(CALL_ANSWERED, "call-answered")                                                                               \
	/* at the receiver: calls answered, copies ignored, running calls aborted by a revocation */                    \
	X(CALL_SERVED, "call-served")                                                                                   \
	X(CALL_DUPLICATE, "call-duplicate")                                                                             \
	X(CALL_STOPPED, "call-stopped")                                                                                 \
	/* calls whose caller disconnected before the outcome */                                                        \
	X(CALL_CANCELLED, "call-cancelled")                                                                             \
	/* replies after the end of the call, not sent, and to another origin or from another address */                \
	X(REPLY_LATE, "reply-late")                                                                                     \
	X(REPLY_LOST, "reply-lost")                                                                                     \
	X(REPLY_MISMATCHED, "reply-mismatched")                                                                         \
	/* revocations sent; and received, by whether the call stays queued, never starts or had started */             \
	X(REVOKE_SENT, "revoke-sent")                                                                                   \
	X(REVOKE_KEPT, "revoke-kept")                                                                                   \
	X(REVOKE_NEVER_STARTED, "revoke-never-started")                                                                 \
	X(REVOKE_STARTED, "revoke-started")                                                                             \
	/* calls that a revocation took from the queue, among those that never started */                               \
	X(REVOKE_QUEUED, "revoke-queued")

typedef enum {
#define X(id, name) COUNTER_##id,
	COUNTERS(X)
#undef X
		COUNTER_COUNT
} counter_t;

void counter_add(counter_t counter, uint64_t amount);
uint64_t counter_value(counter_t counter);
const char *counter_name(counter_t counter);

#endif
