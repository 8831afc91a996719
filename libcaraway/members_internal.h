/* Internals of the member table, shared by members.c and members_read.c. */
#ifndef LIBCARAWAY_MEMBERS_INTERNAL_H
#define LIBCARAWAY_MEMBERS_INTERNAL_H

#include "internal.h"

/* Number of gone endpoints that pruning keeps, so that updates can report them to children. */
enum { GONE_ENDPOINTS_KEPT = 1024 };

/* The entry of one VM. */
typedef struct {
	Caraway__Endpoint *endpoint;
	uint64_t table_sequence;  /* table sequence of its last change; 0: not in changes */
	int64_t lease_expires_ms; /* INT64_MAX: no lease */
	bool expired;		  /* gone because its lease ran out */
	bool unlisted; /* missing from the whole table received last; removed when its lease expires */
	Caraway__EndpointState state_before; /* state to restore if expired */
	Caraway__Report *report;	     /* NULL: none received within the lease */
	int64_t reported_ms;		     /* when report was received, UTC */
	GList link;			     /* in cw_members.changes */
} member_t;

/* The endpoints that were compressed last, for the next child that lacks the same changes. */
typedef struct {
	uint64_t revision; /* of the list of changes; 0: none were compressed yet */
	uint64_t first;	   /* table sequence of the first change */
	GBytes *bytes;
} packed_endpoints_t;

struct cw_members {
	uint64_t epoch;	     /* term of the leader that numbers the changes */
	uint64_t sequence;   /* of the newest change */
	uint64_t base_epoch; /* the previous epoch; positions in it up to base_sequence remain valid */
	uint64_t base_sequence;
	uint64_t oldest_sequence; /* a child whose sequence is lower is sent the whole table */
	bool authoritative;	  /* numbers its own changes; otherwise a parent does */
	uint32_t lease_ms;
	int64_t next_expiry_ms; /* earliest lease expiry; INT64_MAX: none */
	size_t gone_count;	/* gone endpoints in changes */
	GHashTable *by_vm;	/* char * -> member_t * */
	GQueue changes;		/* member_t *, by table_sequence, lowest first */
	uint64_t revision;	/* of that list, raised whenever it changes */
	packed_endpoints_t
		*packed; /* owned; filled by cw_members_fill_update(), which leaves the table as it is */
};

/* Returns the entry of a VM; adds one without an endpoint if there is none. */
member_t *cw_members_find_or_add(cw_members_t *members, const char *vm);
/* Replaces the endpoint of a member and records the change under a table sequence. */
void cw_members_set_endpoint(cw_members_t *members, member_t *member, const Caraway__Endpoint *endpoint,
			     uint64_t sequence);
/* Removes a member from the list of changes. */
void cw_members_unlink(cw_members_t *members, member_t *member);
/* Removes a member from the table and frees it. */
void cw_members_remove(cw_members_t *members, member_t *member);
/* Restarts the lease of a member. */
void cw_members_renew_lease(cw_members_t *members, member_t *member, int64_t now_ms);

#endif
