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
	CW_ERR_CHECK,		/* a proxy would get an invalid configuration, such as a dangling route */
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
	CW_ERR_INTERNAL,	/* unexpected failure of the program or the system */
	CW_STATUS_COUNT
} cw_status_t;

/* Returns the name of a status, as printed and logged. */
const char *cw_status_name(cw_status_t status);
/* Stores the error message of this thread and returns the given status. */
cw_status_t cw_fail(cw_status_t status, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Returns the last error message of this thread; never NULL. */
const char *cw_last_error_message(void);

/* ---- messages ------------------------------------------------------------- */

/* Packs a message into bytes owned by the caller. */
GBytes *cw_message_pack(const ProtobufCMessage *message);
/* Returns a deep copy of a message, to be freed with cw_message_free(). */
void *cw_message_copy(const ProtobufCMessage *message);
/* Returns an array for a repeated field of up to count messages; freed with the message that holds it. */
void *cw_message_array(size_t count);
/* Frees an unpacked or copied message; NULL is allowed. */
void cw_message_free(void *message);
/* Returns the 64-bit hash of data; the seed chains one hash to the next. */
uint64_t cw_hash(const void *data, size_t length, uint64_t seed);

#endif
