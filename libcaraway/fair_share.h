/* Fair shares of client accounts in the slot time of a target, for admission control. */
#ifndef FAIR_SHARE_H
#define FAIR_SHARE_H

#include <stdint.h>

typedef struct cw_fair_share cw_fair_share_t;

/* A call, as its account is charged for it. */
typedef struct {
	uint64_t account;
	uint32_t priority;
	double weight;	    /* of the account; 0: unknown */
	double cost_ms;	    /* slot time */
	int64_t charged_ms; /* when it was charged first */
} cw_fair_call_t;

cw_fair_share_t *cw_fair_share_new(void);
void cw_fair_share_free(cw_fair_share_t *shares);
/* Charges what is left by now of the cost of a call to its account. */
void cw_fair_share_charge(cw_fair_share_t *shares, const cw_fair_call_t *call, int64_t now_ms);
/* Takes back what is left by now of the charge of a call. */
void cw_fair_share_refund(cw_fair_share_t *shares, const cw_fair_call_t *call, int64_t now_ms);
/*
 * Returns by how much an account that was charged for a call of the same priority has more than that of an
 * uncharged call would have with it, in slot time over weight; 0 or less: the charged call is not refused for it.
 */
double cw_fair_share_excess(const cw_fair_share_t *shares, const cw_fair_call_t *charged,
			    const cw_fair_call_t *uncharged, int64_t now_ms);

#endif
