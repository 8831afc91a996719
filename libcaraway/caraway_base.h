/* Status codes and message functions used by all parts.  See libcaraway.h. */
#ifndef CARAWAY_BASE_H
#define CARAWAY_BASE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gen/caraway.pb-c.h"

/* ---- status ------------------------------------------------------------- */

typedef enum {
	CW_OK = 0,
	CW_ERR_USAGE,		/* invalid command line */
	CW_ERR_SETTINGS,	/* invalid settings file */
	CW_ERR_CHANGE_FILE,	/* invalid change file */
	CW_ERR_SELECTOR,	/* invalid selector */
	CW_ERR_NOT_FOUND,	/* no such change, VM or file */
	CW_ERR_CONFLICT,	/* conflicts with content accepted before */
	CW_ERR_STATE,		/* not allowed in the current state of the change */
	CW_ERR_SAME_OPERATOR,	/* the operator who booked a change may not review it */
	CW_ERR_CHECK,		/* a proxy would get a dangling route */
	CW_ERR_NOT_LEADER,	/* another replica is the leader */
	CW_ERR_NO_QUORUM,	/* the replica cannot reach a quorum */
	CW_ERR_UNKNOWN_OUTCOME, /* whether the command takes effect is not known */
	CW_ERR_TIMEOUT,		/* no response within the timeout */
	CW_ERR_IO,		/* read, write or sync failed */
	CW_ERR_DISK_FULL,	/* no space for a durable write */
	CW_ERR_DAMAGED,		/* a checksum or length does not match */
	CW_ERR_DECODE,		/* a message cannot be decoded */
	CW_ERR_POSITION,	/* a record does not follow the last one held */
	CW_ERR_STALE,		/* older than the data held */
	CW_ERR_DENIED,		/* not permitted for this key or role */
	CW_ERR_FULL,		/* a bounded table or queue is full */
	CW_ERR_INTERNAL,
	CW_STATUS_COUNT
} cw_status_t;

const char *cw_status_name(cw_status_t status);
cw_status_t cw_fail(cw_status_t status, const char *format, ...) G_GNUC_PRINTF(2, 3);
const char *cw_last_error_message(void);

/* ---- messages ------------------------------------------------------------- */

GBytes *cw_message_pack(const ProtobufCMessage *message);
void *cw_message_copy(const ProtobufCMessage *message);
void *cw_message_array(size_t count);
void cw_message_free(void *message);
uint64_t cw_hash(const void *data, size_t length, uint64_t seed);

#endif
