/* State of a simulated mesh, shared by the mesh_*.c files. */
#ifndef MESH_INTERNAL_H
#define MESH_INTERNAL_H

#include <gsl/gsl_rng.h>

#include "libcaraway.h"
#include "mesh_sim.h"

enum {
	MESH_HOP_MS = 1, /* one-way delay between proxies */
	MESH_QUEUE = 64,
	MESH_HEADER_BYTES = 400, /* of a request or answer between proxies, without its body */
	MESH_REFUSAL_BYTES = 200,
	MESH_RETRY_PERCENT = 10, /* default of the setting retry-percent */
	MESH_MAX_TARGETS = 512	 /* of all services */
};

typedef struct mesh_attempt mesh_attempt_t;

/* A call at its origin: of a caller, or of a target for which parent runs. */
typedef struct {
	int kind;
	int origin;		 /* index of the proxy */
	mesh_attempt_t *parent;	 /* NULL for a caller's */
	int64_t first_ms;	 /* when it was first sent */
	int64_t deadline_ms;	 /* when the caller gives up */
	int64_t useful_until_ms; /* as the origin estimates it */
	unsigned sends;		 /* to the origin; replies to earlier ones are ignored */
	bool came_back;		 /* the last send followed a refusal */
	bool open;		 /* the origin has not returned an outcome of the last send */
	cw_call_t state;
	cw_refused_call_t refused_call;
	guint8 tried[MESH_MAX_TARGETS]; /* by target of the service */
} mesh_request_t;

typedef enum {
	MESH_ATTEMPT_SENT,
	MESH_ATTEMPT_QUEUED,
	MESH_ATTEMPT_RUNNING,
	MESH_ATTEMPT_ENDED
} mesh_attempt_state_t;

/* An attempt of a call, at its receiver. */
struct mesh_attempt {
	mesh_request_t *request;
	guint position; /* in mesh_sim_t.attempts */
	unsigned send;	/* of the request */
	int target;	/* index of the proxy beside it */
	cw_call_id_t id;
	mesh_attempt_state_t state;
	int64_t sent_ms;
	int64_t arrived_ms;
	int64_t start_by_ms;
	int64_t run_until_ms;
	int64_t useful_until_ms;
	int64_t started_ms;
	int calls_left;	     /* that the run makes halfway */
	int64_t rest_ms;     /* work after them */
	unsigned generation; /* of its next event; earlier ones are void */
};

typedef enum {
	MESH_EV_SEND,	  /* a request reaches its origin */
	MESH_EV_ARRIVE,	  /* an attempt reaches its receiver */
	MESH_EV_STEP,	  /* a target has done a part of its work */
	MESH_EV_ANSWERED, /* the replies of a receiver reach the origin */
	MESH_EV_ERROR,
	MESH_EV_NOT_RUN,
	MESH_EV_UNKNOWN,
	MESH_EV_TICK,	 /* a timer of a call */
	MESH_EV_REVOKE,	 /* a revocation reaches its receiver */
	MESH_EV_REVOKED, /* the reply to a revocation reaches the origin */
	MESH_EV_QUEUE	 /* a queue has to be looked at */
} mesh_event_type_t;

typedef struct {
	mesh_event_type_t type;
	mesh_request_t *request;
	mesh_attempt_t *attempt;
	unsigned generation; /* of the attempt, or the send of the request */
	int proxy;
	cw_reason_t reason;
	bool flag; /* NOT_RUN: reached a target; REVOKED: never started; REVOKE: unless it is queued */
	bool kept; /* REVOKED: it stays queued */
	cw_pick_load_t load;
	int64_t held_ms; /* time that the attempt was at its receiver */
} mesh_event_t;

/* A target and the proxy beside it. */
typedef struct {
	char *vm;
	int zone;
	int service;
	int index; /* among the targets of the service */
	double speed;
	cw_admit_t *admit;
	GQueue fifo; /* without admission: mesh_attempt_t * */
	uint32_t running;
	cw_pick_t *pick;
	cw_prior_wait_t *prior_wait;
	cw_budget_t budgets[MESH_MAX_SERVICES];
	uint64_t sequence;
	uint32_t next[MESH_MAX_SERVICES];	/* in rotation */
	uint16_t outstanding[MESH_MAX_TARGETS]; /* calls of this origin, by receiver */
	double run_ms;				/* of its target */
	double sent_until_ms;			/* when its link has sent what waits */
	double received_until_ms;		/* when its link has received what is under way */
} mesh_proxy_t;

/* Outcomes of the callers' requests of a kind. */
typedef struct {
	unsigned total;
	unsigned in_time;
	unsigned late;
	unsigned refused;
	unsigned failed;
	unsigned zone_total[MESH_MAX_ZONES];
	unsigned zone_in_time[MESH_MAX_ZONES];
	GArray *took_ms; /* int64_t, of the answered ones */
} mesh_counts_t;

struct mesh_sim {
	const mesh_load_t *load;
	mesh_policy_t policy;
	mesh_proxy_t proxies[MESH_MAX_TARGETS];
	int proxy_count;
	int first_of_service
		[MESH_MAX_SERVICES]; /* index of the first proxy; targets of a service are adjacent */
	int targets_of_service[MESH_MAX_SERVICES];
	GPtrArray **due; /* by millisecond, of mesh_event_t; NULL: none */
	int64_t end_ms;
	int64_t now_ms;
	GPtrArray *requests; /* owned */
	GPtrArray *attempts; /* owned; the cookie of an attempt is its position + 1 */
	gsl_rng *random;
	gsl_rng *arrivals; /* of its own, so that each policy gets the same requests */
	mesh_counts_t counts[MESH_MAX_KINDS];
	unsigned came_back; /* sends of callers after a refusal */
	unsigned refused_again;
	unsigned ended[CW_REASON_COUNT]; /* calls that ended without an answer, by reason */
	double run_ms;			 /* of all targets */
	double wasted_ms;		 /* of those, of calls that failed or that nobody waited for */
};

/* Schedules an event, at the next millisecond or later; the simulation owns it. */
mesh_event_t *mesh_schedule(mesh_sim_t *sim, mesh_event_type_t type, int64_t at_ms);
/*
 * Sends bytes from one proxy to another over their links; returns when they have arrived.  Callers and
 * targets are on the machine of their proxy, which they reach without the link.
 */
int64_t mesh_transfer(mesh_sim_t *sim, int from, int to, double bytes);
/* Returns whether the proxies of a simulation use admission control and the load balancing of the library. */
bool mesh_has_admission(const mesh_sim_t *sim);
/* Returns the kind of a request. */
const mesh_kind_t *mesh_kind(const mesh_sim_t *sim, const mesh_request_t *request);

/* mesh_origin.c */

/* Adds a request that is sent now; parent is NULL for a caller's. */
void mesh_add_request(mesh_sim_t *sim, int kind, int origin, mesh_attempt_t *parent, int64_t deadline_ms);
/* Handles an event at an origin. */
void mesh_origin_event(mesh_sim_t *sim, const mesh_event_t *event);

/* mesh_target.c */

/* Handles an event at a receiver or its target. */
void mesh_target_event(mesh_sim_t *sim, const mesh_event_t *event);
/* Returns the load that a receiver reports to the sender of a call of a kind. */
cw_pick_load_t mesh_report_load(const mesh_sim_t *sim, int target, int kind);
/* Continues a run whose call has ended. */
void mesh_call_ended(mesh_sim_t *sim, mesh_attempt_t *attempt, bool answered);

#endif
