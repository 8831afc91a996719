/*
 * Simulates workloads without a network, in steps of a millisecond: callers,
 * proxies and targets in four availability zones.  Admission control, endpoint
 * selection, Retry-After and the estimate of the prior wait are those of the library.
 */
#ifndef LOAD_SIM_H
#define LOAD_SIM_H

#include <stdbool.h>
#include <stdint.h>

enum { SIM_ZONES = 4, SIM_MAX_KINDS = 3 };

/* A kind of call and the rate at which it arrives. */
typedef struct {
	const char *name;
	double per_s;	    /* requests that arrive per second, in all zones together */
	double mean_ms;	    /* service time at a target of slowdown 1 */
	double spread;	    /* standard deviation of the service time over its mean */
	int64_t target_ms;  /* latency objective */
	int64_t timeout_ms; /* from the arrival of a request to its deadline, at most */
	double value;	    /* of an answer within target_ms */
	double late_value;  /* of an answer after target_ms, but before the deadline */
	uint32_t priority;  /* 0 is the highest */
} sim_call_kind_t;

/* A workload over some seconds. */
typedef struct {
	sim_call_kind_t kinds[SIM_MAX_KINDS];
	int kind_count;
	int targets;		    /* spread evenly over the zones */
	int proxies;		    /* spread evenly over the zones */
	double slowdown[SIM_ZONES]; /* factors of mean_ms; the targets of each zone use them in rotation */
	double cold_slowdown;	    /* multiplies service times until cold_until_ms */
	int64_t cold_until_ms;
	int64_t duration_ms;
	int64_t error_until_ms;	  /* until then every call fails immediately */
	double min_timeout_share; /* least timeout, as a share of timeout_ms; 0: all are timeout_ms */
	int initial_burst;	  /* extra requests of the first kind in each of the first 100 ms */
} sim_workload_t;

typedef struct load_sim load_sim_t;

/*
 * Simulates a workload to its end.  The baseline is round robin over unbounded
 * queues.  With LOAD_VERBOSE set it prints the outcomes of the requests.
 */
load_sim_t *load_sim_run(const sim_workload_t *workload, bool baseline, const char *name);
/* Returns the value of all answers as a share of the value if all had been in time. */
double load_sim_value_share(const load_sim_t *sim);
/* Returns the share of requests of a kind that were answered within target_ms. */
double load_sim_in_time_share(const load_sim_t *sim, int kind);
/* Frees a simulation. */
void load_sim_free(load_sim_t *sim);

#endif
