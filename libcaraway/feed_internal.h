/* State and functions of the feed that feed.c, feed_accept.c and feed_read.c share. */
#ifndef LIBCARAWAY_FEED_INTERNAL_H
#define LIBCARAWAY_FEED_INTERNAL_H

#include "internal.h"

/* The compressed snapshot made last; valid while the feed stays at its index. */
typedef struct {
	uint64_t index;
	GBytes *bytes; /* zstd; NULL: nothing is cached */
} feed_snapshot_cache_t;

/* The compressed records made last; reused for the other children at the same index. */
typedef struct {
	uint64_t after; /* index of the record before the first one */
	uint64_t last;	/* index of the last one */
	GBytes *bytes;	/* zstd; NULL: nothing is cached */
} feed_records_cache_t;

/* Content that is not active yet; kept serialized, because it often waits for weeks. */
typedef struct {
	uint64_t number; /* of the change */
	uint64_t digest; /* of the content */
	GBytes *content; /* serialized Caraway__Content */
} feed_staged_t;

struct cw_feed {
	size_t keep_records; /* at least this many of the last records are kept for children */
	cw_catalog_t *catalog;
	cw_catalog_t *checked_catalog;	       /* after the record that is being applied; NULL: to be made */
	GBytes *packed_content;		       /* of the record that is being applied; NULL: to be packed */
	uint64_t index;			       /* of the last record */
	uint64_t chain;			       /* hash chain value of the last record */
	uint64_t version;		       /* configuration version after the last record */
	uint64_t base_index;		       /* index of the record before the first one kept */
	uint64_t base_chain;		       /* hash chain value at base_index */
	GPtrArray *records;		       /* GBytes *, serialized records, base_index + 1 first */
	GHashTable *staged;		       /* number -> feed_staged_t * */
	GArray *chains;			       /* uint64_t, hash chain values of the records kept */
	feed_snapshot_cache_t *snapshot_cache; /* also written by cw_feed_fill_update(), on a const feed */
	feed_records_cache_t *records_cache;   /* also written by cw_feed_fill_update() */
};

/* Returns the hash of a record, without its chain field, and of the previous record's chain value. */
uint64_t cw_feed_record_chain(const Caraway__FeedRecord *record, uint64_t previous);
/* Discards the cached snapshot and records. */
void cw_feed_drop_caches(const cw_feed_t *feed);
/* Returns an empty table of staged content. */
GHashTable *cw_feed_staged_new(void);
/* Adds the content of a validated record to a table, in place of any earlier one of its number. */
void cw_feed_staged_put(GHashTable *table, const Caraway__StageRecord *record);
/* Returns staged content, to be freed with cw_message_free(). */
Caraway__Content *cw_feed_staged_content(const feed_staged_t *staged);
/* Checks that a record has content, that it is valid and that it matches its digest; else CW_ERR_DAMAGED. */
cw_status_t cw_feed_check_stage(const Caraway__StageRecord *record);
/* Applies a validated record, and keeps it to be sent to children. */
void cw_feed_apply(cw_feed_t *feed, const Caraway__FeedRecord *record);
/* Replaces the whole state of the feed by an update's snapshot; changes nothing when it is refused. */
cw_status_t cw_feed_apply_snapshot(cw_feed_t *feed, const Caraway__News *update);

#endif
