/*
 * Fair shares of client accounts in the slot time of a target.
 *
 * It is built for overload in which one account sends many times its usual rate.  Within a priority, room goes
 * to accounts by weighted max-min: each account has a charge, the slot time that it was given within the last
 * seconds, and when there is no room for all calls, one of the account with the highest charge over weight is
 * refused.  Accounts that ask for less than their share are thus never refused for others.
 *
 * Charges decay exponentially.  An account that was away for long has no charge and is given room until it has as
 * much as the others: a burst of at most DECAY_MS of its share, however long it was away.
 */
#include "fair_share.h"

#include "internal.h"

#include <math.h>

enum {
	/* With 1 s the worst tenth of accounts got 0.88 in time instead of 0.92, with 6 s no more: fair-shares.md. */
	DECAY_MS = 4000,
	/*
	 * With a charge, counted by priority; others share one charge.  A charge of 200 ms is negligible after 21 s, so
	 * that it takes 780 such calls per second, each of another account, to reach this.
	 */
	MAX_ACCOUNTS = 16384,
	PURGE_MS = 1000 /* least time between removals of accounts without a charge */
};

/* A charge below this is forgotten when there is no space for another account. */
static const double negligible_ms = 1;

/* The charge of an account within a priority. */
typedef struct {
	uint64_t account;
	uint32_t priority;
	double charged_ms; /* at updated_ms */
	int64_t updated_ms;
} charge_t;

struct cw_fair_share {
	GHashTable *charges; /* charge_t, by account and priority */
	charge_t others;     /* of all accounts for which there is no space */
	int64_t next_purge_ms;
};

/* Returns the hash of a charge's account and priority (GHashFunc). */
static guint hash_charge(gconstpointer data)
{
	const charge_t *charge = data;

	return g_int64_hash(&charge->account) + charge->priority;
}

/* Returns whether two charges have the same account and priority (GEqualFunc). */
static gboolean equal_charges(gconstpointer a, gconstpointer b)
{
	const charge_t *first = a;
	const charge_t *second = b;

	return first->account == second->account && first->priority == second->priority;
}

/* Creates shares without any charge. */
cw_fair_share_t *cw_fair_share_new(void)
{
	cw_fair_share_t *shares = g_new0(cw_fair_share_t, 1);

	shares->charges = g_hash_table_new_full(hash_charge, equal_charges, g_free, NULL);
	return shares;
}

/* Frees shares. */
void cw_fair_share_free(cw_fair_share_t *shares)
{
	g_hash_table_destroy(shares->charges);
	g_free(shares);
}

/* Returns the part that is left of a charge. */
static double part_left(int64_t charged_ms, int64_t now_ms)
{
	return exp((double)(charged_ms - now_ms) / DECAY_MS);
}

/* Returns what is left of the charge of an account. */
static double charge_left_ms(const charge_t *charge, int64_t now_ms)
{
	return charge->charged_ms * part_left(charge->updated_ms, now_ms);
}

/* Returns whether a charge has become negligible (GHRFunc). */
static gboolean is_negligible(gpointer key, gpointer value, gpointer now_ms)
{
	(void)value;
	return charge_left_ms(key, *(int64_t *)now_ms) < negligible_ms;
}

/* Returns the charge that applies to the account of a call. */
static const charge_t *find_charge(const cw_fair_share_t *shares, const cw_fair_call_t *call)
{
	const charge_t key = {.account = call->account, .priority = call->priority};
	const charge_t *charge = g_hash_table_lookup(shares->charges, &key);

	if (charge || g_hash_table_size(shares->charges) < MAX_ACCOUNTS)
		return charge;
	return &shares->others;
}

/* Returns the charge of the account of a call, created if there is space. */
static charge_t *get_charge(cw_fair_share_t *shares, const cw_fair_call_t *call, int64_t now_ms)
{
	const charge_t key = {.account = call->account, .priority = call->priority, .updated_ms = now_ms};
	charge_t *charge = g_hash_table_lookup(shares->charges, &key);

	if (charge)
		return charge;
	if (g_hash_table_size(shares->charges) >= MAX_ACCOUNTS && now_ms >= shares->next_purge_ms) {
		shares->next_purge_ms = now_ms + PURGE_MS;
		g_hash_table_foreach_remove(shares->charges, is_negligible, &now_ms);
	}
	if (g_hash_table_size(shares->charges) >= MAX_ACCOUNTS)
		return &shares->others;
	charge = g_memdup2(&key, sizeof(key));
	g_hash_table_add(shares->charges, charge);
	return charge;
}

/* Adds to the charge of a call's account. */
static void add_charge(cw_fair_share_t *shares, const cw_fair_call_t *call, double added_ms, int64_t now_ms)
{
	charge_t *charge = get_charge(shares, call, now_ms);

	charge->charged_ms = MAX(charge_left_ms(charge, now_ms) + added_ms, 0);
	charge->updated_ms = now_ms;
}

/* Charges what is left by now of the cost of a call to its account. */
void cw_fair_share_charge(cw_fair_share_t *shares, const cw_fair_call_t *call, int64_t now_ms)
{
	add_charge(shares, call, call->cost_ms * part_left(call->charged_ms, now_ms), now_ms);
}

/* Takes back what is left by now of the charge of a call. */
void cw_fair_share_refund(cw_fair_share_t *shares, const cw_fair_call_t *call, int64_t now_ms)
{
	add_charge(shares, call, -call->cost_ms * part_left(call->charged_ms, now_ms), now_ms);
}

/* Returns what is left of the charge of a call's account; 0 for an account without one. */
static double account_ms(const cw_fair_share_t *shares, const cw_fair_call_t *call, int64_t now_ms)
{
	const charge_t *charge = find_charge(shares, call);

	return charge ? charge_left_ms(charge, now_ms) : 0;
}

/*
 * Returns by how much an account that was charged for a call of the same priority has more than that of an
 * uncharged call would have with it.  Weights are used if both accounts have one.
 */
double cw_fair_share_excess(const cw_fair_share_t *shares, const cw_fair_call_t *charged,
			    const cw_fair_call_t *uncharged, int64_t now_ms)
{
	double charged_ms = account_ms(shares, charged, now_ms);
	double uncharged_ms = account_ms(shares, uncharged, now_ms) + uncharged->cost_ms;

	if (charged->weight > 0 && uncharged->weight > 0)
		return charged_ms / charged->weight - uncharged_ms / uncharged->weight;
	return charged_ms - uncharged_ms;
}
