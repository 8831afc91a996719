/*
 * Counters of a process.  Each refusal and each retry reason has one; add a
 * line here and the counter shows in `carawayctl counters`.
 */
#ifndef COUNTERS_H
#define COUNTERS_H

#include <stdint.h>

#define COUNTERS(X)                                                                                          \
	/* every process */                                                                                  \
	X(MESSAGE_UNDECODABLE, "message-undecodable")                                                        \
	X(MESSAGE_UNEXPECTED, "message-unexpected")                                                          \
	X(SEND_REFUSED, "send-refused")                                                                      \
	/* control */                                                                                        \
	X(COMMAND_ACCEPTED, "command-accepted")                                                              \
	X(COMMAND_REFUSED, "command-refused")                                                                \
	X(NOT_LEADER, "not-leader")                                                                          \
	X(NO_QUORUM, "no-quorum")                                                                            \
	X(ACTIVATED, "activated")                                                                            \
	X(ACTIVATED_LATE, "activated-late")                                                                  \
	X(ELECTION, "election")                                                                              \
	X(SNAPSHOT_TAKEN, "snapshot-taken")                                                                  \
	X(ENDPOINT_EXPIRED, "endpoint-expired")                                                              \
	/* feed */                                                                                           \
	X(PULL_SERVED, "pull-served")                                                                        \
	X(PULL_REFUSED_FULL, "pull-refused-full")                                                            \
	X(PULL_REFUSED_STALE, "pull-refused-stale")                                                          \
	X(PULL_REFUSED_STOPPING, "pull-refused-stopping")                                                    \
	X(PULL_REFUSED_POSITION, "pull-refused-position")                                                    \
	X(PULL_REFUSED_NOT_READY, "pull-refused-not-ready")                                                  \
	X(NEWS_REFUSED_DAMAGED, "news-refused-damaged")                                                      \
	X(NEWS_REFUSED_POSITION, "news-refused-position")                                                    \
	X(PARENT_LEFT_STALE, "parent-left-stale")                                                            \
	X(PARENT_LEFT_REFUSED, "parent-left-refused")                                                        \
	X(PARENT_LEFT_SILENT, "parent-left-silent")                                                          \
	X(FEED_BYTES_SENT, "feed-bytes-sent")                                                                \
	X(FEED_BYTES_RECEIVED, "feed-bytes-received")

typedef enum {
#define X(id, word) COUNTER_##id,
	COUNTERS(X)
#undef X
		COUNTER_COUNT
} counter_t;

void counter_add(counter_t counter, uint64_t amount);
uint64_t counter_value(counter_t counter);
const char *counter_word(counter_t counter);

#endif
