/*
 * Roll-outs at a proxy: which of a service's endpoints may get a call, and what the answers of both versions show.  The control
 * thread publishes the notices and takes the evidence; the traffic thread does the rest.
 */
#ifndef ROLLOUTS_H
#define ROLLOUTS_H

#include "libcaraway.h"

typedef struct rollouts rollouts_t;

rollouts_t *rollouts_new(void);
void rollouts_free(rollouts_t *rollouts);

/* ---- control thread ---- */

/* Publishes notices (Caraway__RolloutNotice, copied) that were confirmed at confirmed_ms; 0: not known. */
void rollouts_publish(rollouts_t *rollouts, const GPtrArray *notices, int64_t confirmed_ms);
/* Returns the evidence that the traffic thread has handed over, Caraway__RolloutEvidence, owned by the caller. */
GPtrArray *rollouts_take_evidence(rollouts_t *rollouts);

/* ---- traffic thread ---- */

/* An endpoint of a service, as far as roll-outs matter. */
typedef struct {
	const char *vm;
	const char *target_version;
	bool draining;
	bool withheld; /* set by rollouts_restrict(): it gets no call now */
	bool is_new;   /* set by rollouts_restrict(): it has the version that is rolled out */
} rollout_endpoint_t;

/* What a call may use. */
typedef struct {
	uint64_t rollout; /* sequence number of the order; 0: the service has none, and nothing is withheld */
	cw_rollout_step_t step;
	cw_rollout_use_t use;
} rollout_choice_t;

/* Returns what the next attempt of a call to a service may use. */
rollout_choice_t rollouts_choose(rollouts_t *rollouts, const char *service, int64_t now_ms);
/* Marks the endpoints that an attempt may not use. */
void rollouts_restrict(rollouts_t *rollouts, const rollout_choice_t *choice, const char *service,
		       rollout_endpoint_t *endpoints, size_t count);
/* Counts an attempt that is sent to the new version. */
void rollouts_sent_to_new(rollouts_t *rollouts, uint64_t rollout);
/* An attempt that a target has run. */
typedef struct {
	uint64_t rollout;
	cw_rollout_version_t version;
	uint64_t route;
	const char *vm;
	bool failure;
	uint32_t latency_ms;
} rollout_answer_t;
/* Counts the answer of an attempt. */
void rollouts_answered(rollouts_t *rollouts, const rollout_answer_t *answer, int64_t now_ms);
/* Applies new notices and hands over the evidence when it is due. */
void rollouts_run(rollouts_t *rollouts, int64_t now_ms);

#endif
