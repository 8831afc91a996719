/* The table of members, shared by its files. */
#ifndef LIBCARAWAY_MEMBERS_INTERNAL_H
#define LIBCARAWAY_MEMBERS_INTERNAL_H

#include "internal.h"

/* Endpoints that are gone are kept so that children hear of it. */
enum { GONE_KEPT = 1024 };

typedef struct {
	Caraway__Endpoint *endpoint;
	uint64_t table_sequence; /* of the table when this endpoint last changed; 0: not in the order */
	int64_t lease_ms;	 /* deadline; INT64_MAX: none */
	bool expired;		 /* gone because its lease ran out */
	bool carried;		 /* not named by the present epoch's source */
	Caraway__EndpointState state_before; /* of an expired one */
	Caraway__Report *report;	     /* NULL: none came within the lease */
	int64_t reported_ms;		     /* UTC */
	GList link;			     /* in changes */
} member_t;

struct cw_members {
	uint64_t epoch;
	uint64_t sequence;
	uint64_t base_epoch; /* the epoch before, which this one continues after base_sequence */
	uint64_t base_sequence;
	uint64_t oldest_sequence; /* a child behind this one is sent the whole table */
	bool source;		  /* this table numbers its own changes */
	uint32_t lease_ms;
	int64_t deadline_ms;
	size_t gone_count;
	GHashTable *by_vm; /* char * -> member_t * */
	GQueue changes;	   /* member_t by table sequence, oldest first */
};

/* Returns the member of a VM, made without an endpoint when there is none. */
member_t *cw_members_member(cw_members_t *members, const char *vm);
/* Replaces the endpoint of a member and marks it changed at a table sequence. */
void cw_members_set(cw_members_t *members, member_t *member, const Caraway__Endpoint *endpoint,
		    uint64_t sequence);
/* Takes a member out of the order of changes. */
void cw_members_unlink(cw_members_t *members, member_t *member);
/* Forgets a member. */
void cw_members_remove(cw_members_t *members, member_t *member);
/* Gives a member a whole lease. */
void cw_members_renew(cw_members_t *members, member_t *member, int64_t now_ms);

#endif
