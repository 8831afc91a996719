/* Roll-outs of new target versions: exposure at an origin, and the judgement by the leader.  See libcaraway.h. */
#ifndef CARAWAY_ROLLOUT_H
#define CARAWAY_ROLLOUT_H

#include "caraway_base.h"

/* ---- the steps of a roll-out -------------------------------------------------------------------------- */

/* In ascending order; the values are those of Caraway__RolloutState. */
typedef enum {
	CW_ROLLOUT_NONE = 0,	   /* no roll-out: targets of all versions are used */
	CW_ROLLOUT_PROBE = 1,	   /* few requests, over all new targets */
	CW_ROLLOUT_SPREAD = 2,	   /* more, over all new targets */
	CW_ROLLOUT_LOAD = 3,	   /* the most that the bound allows, on few new targets */
	CW_ROLLOUT_HANDOVER = 4,   /* all requests: the new version was found good */
	CW_ROLLOUT_SUCCEEDED = 5,  /* verdict: the old targets may stop */
	CW_ROLLOUT_ROLLED_BACK = 6 /* verdict: the new targets get no request */
} cw_rollout_step_t;

/* Returns the name of a step, as logged. */
const char *cw_rollout_step_name(cw_rollout_step_t step);
/* Returns whether a step is a verdict. */
bool cw_rollout_is_verdict(cw_rollout_step_t step);

/* ---- exposure at an origin ------------------------------------------------------------------------------ */

/*
 * What an origin has sent to a service since it learned of the roll-out.  The bound holds for this origin at every
 * time, so that it holds for all origins together, whatever is lost between them and the leader.
 */
typedef struct {
	uint64_t rollout;  /* sequence number of the order; 0: none */
	uint64_t requests; /* that targets ran, of either version */
	uint64_t exposed;  /* that were sent to the new version */
	uint64_t next;	   /* number of requests from which the next one may be exposed */
	cw_rollout_step_t step;
	int64_t lease_until_ms; /* before HANDOVER nothing goes to the new version from then on */
} cw_rollout_account_t;

/* Which targets of a service may get the next request. */
typedef enum {
	CW_ROLLOUT_USE_ANY, /* there is no roll-out */
	CW_ROLLOUT_USE_OLD,
	CW_ROLLOUT_USE_NEW
} cw_rollout_use_t;

/*
 * Records the step that a quorum confirmed, and the time until which it may be relied on.  An account of another
 * roll-out starts from 0; a step before that of the account is ignored.
 */
void cw_rollout_account_confirm(cw_rollout_account_t *account, uint64_t rollout, cw_rollout_step_t step,
				int64_t lease_until_ms);
/* Returns which targets may get a request now; one that is sent is to be counted with the next function. */
cw_rollout_use_t cw_rollout_account_choose(const cw_rollout_account_t *account, int64_t now_ms);
/* Counts an attempt that is sent to the new version. */
void cw_rollout_account_expose(cw_rollout_account_t *account);
/* Counts an attempt that a target has run, of either version. */
void cw_rollout_account_earn(cw_rollout_account_t *account);
/* Returns how many of the new targets are used in a step, where each is to get at most what an old one gets. */
size_t cw_rollout_targets_in_use(cw_rollout_step_t step, size_t old_count, size_t new_count);

/* ---- evidence and judgement -------------------------------------------------------------------------------- */

enum {
	CW_ROLLOUT_BUCKETS = 16,
	CW_ROLLOUT_MAX_ROUTES = 32, /* judged by themselves; others count in the total only */
	CW_ROLLOUT_INTERVAL_MS = 500
};

/* Answers of one version. */
typedef struct {
	uint32_t answers;  /* failures included */
	uint32_t failures; /* errors, garbled answers, closed connections, hung calls */
	uint32_t
		latency[CW_ROLLOUT_BUCKETS]; /* of the others, but for those of targets started just before */
} cw_rollout_counts_t;

/* The two versions of a service, which are compared. */
typedef enum { CW_ROLLOUT_OLD, CW_ROLLOUT_NEW, CW_ROLLOUT_VERSIONS } cw_rollout_version_t;

/* Returns the place of a latency in the counts. */
size_t cw_rollout_bucket(uint32_t latency_ms);
/* Counts an answer; age_ms is the time since its target started. */
void cw_rollout_count(cw_rollout_counts_t *counts, bool failure, uint32_t latency_ms, int64_t age_ms);

typedef struct cw_rollout cw_rollout_t;

/* What a judgement led to. */
typedef struct {
	cw_rollout_step_t step; /* to commit; the present one: nothing is to be done */
	const char *reason;	/* of a verdict, constant */
	uint64_t route;		/* that showed a fault; 0: the total did, or no fault */
} cw_rollout_decision_t;

/* Begins to judge a roll-out at a step that was committed; times are of one clock. */
cw_rollout_t *cw_rollout_new(int64_t begin_ms, int64_t duration_ms, cw_rollout_step_t step, int64_t step_ms);
void cw_rollout_free(cw_rollout_t *rollout);
/* Adds the answers of a version on a route (a hash of its name, not 0) since the last call. */
void cw_rollout_add(cw_rollout_t *rollout, uint64_t route, cw_rollout_version_t version,
		    const cw_rollout_counts_t *counts);
/* Records that a step was committed. */
void cw_rollout_committed(cw_rollout_t *rollout, cw_rollout_step_t step, int64_t now_ms);
/* Judges the evidence; the decision stays the same until it is committed or a fault shows. */
cw_rollout_decision_t cw_rollout_judge(cw_rollout_t *rollout, int64_t now_ms);

#endif
