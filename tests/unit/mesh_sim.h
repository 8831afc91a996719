/*
 * Simulates a mesh without a network, in steps of a millisecond: services that call one another, a
 * proxy beside each target that is the origin of callers' requests and of its target's own calls, and
 * callers who repeat refused requests.  Admission control, endpoint selection, the call state machine,
 * retry budgets, Retry-After and the estimate of the prior wait are those of the library.
 */
#ifndef MESH_SIM_H
#define MESH_SIM_H

#include <stdbool.h>
#include <stdint.h>

enum {
	MESH_MAX_KINDS = 8,
	MESH_MAX_SERVICES = 3,
	MESH_MAX_ZONES = 6,
	MESH_MAX_SPEEDS = 4,
	MESH_NO_KIND = -1 /* makes no calls */
};

/* A kind of call.  Those that only targets make have no per_s. */
typedef struct {
	const char *name;
	int service;
	double per_s;	    /* requests of callers per second, in all zones together */
	double mean_ms;	    /* work at a target of speed 1, without the calls that it makes */
	double spread;	    /* standard deviation of the work over its mean */
	int64_t target_ms;  /* latency objective; 0: none, an answer within timeout_ms is in time */
	int64_t timeout_ms; /* of a caller, from its first request */
	double value;	    /* of an answer within target_ms */
	double late_value;  /* of an answer after target_ms */
	uint32_t priority;  /* 0 is the highest */
	bool idempotent;
	double request_bytes; /* mean sizes of the bodies */
	double response_bytes;
	int calls; /* kind of the call that a target makes halfway through the work, or MESH_NO_KIND */
	double call_share; /* of the runs that make it */
	int call_times;	   /* one after the other */
	unsigned sends;	   /* of a caller's request that is refused, at most; 0: two */
} mesh_kind_t;

/* A service and its targets. */
typedef struct {
	int targets[MESH_MAX_ZONES]; /* in each zone */
	uint32_t slots;
	double speeds[MESH_MAX_SPEEDS]; /* factors of mean_ms, used in rotation by the targets of each zone */
	int speed_count;
	bool spells; /* its targets have slow spells, each at its own times */
} mesh_service_t;

/* A mesh and the load on it. */
typedef struct {
	mesh_service_t services[MESH_MAX_SERVICES];
	int service_count;
	mesh_kind_t kinds[MESH_MAX_KINDS];
	int kind_count;
	int zone_count;
	double zone_shares[MESH_MAX_ZONES]; /* of the callers' requests */
	double load;			    /* multiplies per_s */
	double link_mbps;		    /* of each proxy, each way; 0: not limited */
	int64_t duration_ms;
	double heavy_share; /* of the runs, which take heavy_factor times the work */
	double heavy_factor;
	double swing;	  /* amplitude of the demand of each zone, over its mean; zones are out of phase */
	int64_t swing_ms; /* period */
	uint32_t queue;	  /* calls that may wait at a target; 0: the default */
} mesh_load_t;

typedef enum {
	MESH_PRODUCT,	   /* the decisions of the library */
	MESH_COST,	   /* the same, cost-aware */
	MESH_NO_ADMISSION, /* queues in order of arrival that refuse nothing, random endpoints */
	/* Targets that queue in order of arrival and reject what exceeds their queue; endpoints in rotation, ... */
	MESH_ROUND_ROBIN,
	MESH_LEAST_OUTSTANDING, /* ... with the fewest outstanding calls of the origin, ... */
	MESH_TWO_CHOICES,	/* ... or the better of two random ones by these */
	MESH_POLICY_COUNT
} mesh_policy_t;

typedef struct mesh_sim mesh_sim_t;

/* Simulates a load to its end.  With LOAD_VERBOSE set it prints the outcomes of the requests. */
mesh_sim_t *mesh_sim_run(const mesh_load_t *load, mesh_policy_t policy, const char *name);
/* Returns the value of all answers as a share of the value if all had been in time. */
double mesh_sim_value_share(const mesh_sim_t *sim);
/* Returns the share of callers' requests of a kind that were answered within target_ms. */
double mesh_sim_in_time_share(const mesh_sim_t *sim, int kind);
/* Returns the share of callers' requests of a kind that were answered at all. */
double mesh_sim_answered_share(const mesh_sim_t *sim, int kind);
/* Returns the share of callers who came back after a refusal and were refused again. */
double mesh_sim_refused_again_share(const mesh_sim_t *sim);
/* Returns the share of the targets' running time spent on calls that failed or that nobody waited for any more. */
double mesh_sim_wasted_share(const mesh_sim_t *sim);
void mesh_sim_free(mesh_sim_t *sim);

#endif
