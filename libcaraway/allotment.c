/*
 * Allotments of client accounts: a rate and a burst that hold over all proxies together.
 *
 * It is built for accounts that send many times their usual, and for callers that come through any number
 * of proxies.  The token bucket of an account is at its owner, one of the proxies; the origins of calls ask
 * it for tokens in batches.  In a window of time no more calls of an account can start than the owner's bucket
 * has filled by in that window and CW_ALLOTMENT_TOKEN_MS before it, plus the burst.
 *
 * When the owner changes or does not answer, its successor begins with a nearly empty bucket, so that the burst
 * is not granted twice.
 */
#include "internal.h"

#include <math.h>
#include <string.h>

enum {
	MS_PER_S = 1000,
	SLOT_MS = 250, /* grants are counted by slots of this time */
	MAX_SLOTS = (CW_ALLOTMENT_MAX_WINDOW_MS + CW_ALLOTMENT_SPARE_MS) / SLOT_MS + 2,
	ACTIVE_MS = 1000,	/* an origin that has asked within this time counts as active */
	MAX_ACTIVE = 16,	/* origins counted; with more of them there are no spare tokens */
	MAX_SPARE = 8,		/* of one grant */
	START_MS = 250,		/* a new bucket has what the rate gives in this time */
	MIN_CAPACITY_MS = 250,	/* a bucket holds at least what the rate gives in this time */
	DEMAND_WINDOW_MS = 500, /* time constant of the demand that is expected to continue */
	PREFETCH_MS = 150,	/* an origin asks for the demand of this time in advance */
	/*
	 * While an owner is silent, which a long message on its link is enough for, an account that was within its
	 * limit of late may make a call without a grant: no more than one per origin and interval.
	 */
	CREDIT_AFTER_MS = 60,
	CREDIT_INTERVAL_MS = 1000,
	WITHIN_LIMIT_MS = 2000,
	OWNER_TIMEOUT_MS = 300,
	/* A substitute first finds out whether the owner answers it, which takes CW_ALLOTMENT_PROBE_MS. */
	SUBSTITUTE_TIMEOUT_MS = 300,
	RESEND_UNSENT_MS = 5,
	RESEND_DECLINED_MS = 40,
	AVOID_OWNER_MS = 1000, /* after the owner has not answered, the substitute is asked first */
	MIN_EMPTY_MS = 50,     /* an origin that was told of an empty bucket asks again after this time */
	MAX_EMPTY_MS = 150,
	MAX_RETRY_AFTER_MS = 5000,
	MAX_LOTS = 4,
	PERMILLE = 1000,
	MAX_ACCOUNTS = 65536 /* with a bucket or a balance, per process */
};

/* Part of the rate that is granted by proxies that may not be the only ones to grant. */
static const double substitute_ratio = 0.5;
static const double unconfirmed_ratio = 0.1;
/* Part of what is left in the window that all active origins together get as spare tokens. */
static const double spare_ratio = 0.25;
/* Calls a second that make an origin ask again as it spends its last token. */
static const double steady_demand_per_s = 2;
/* Part of the overage that is granted; the rest is for moments with two owners. */
static const double overage_use = 0.8;

/* ---- choice of the owner ----------------------------------------------------------------------------- */

/* Selects the two VMs with the highest hashes. */
size_t cw_allotment_rank(uint64_t account, const char *const *vms, size_t count,
			 size_t ranked[CW_ALLOTMENT_OWNERS])
{
	uint64_t best[CW_ALLOTMENT_OWNERS] = {0};
	size_t found = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t weight = cw_hash(vms[i], strlen(vms[i]), account);

		if (!found || weight > best[0]) {
			best[1] = best[0];
			ranked[1] = ranked[0];
			best[0] = weight;
			ranked[0] = i;
		} else if (found == 1 || weight > best[1]) {
			best[1] = weight;
			ranked[1] = i;
		}
		found = MIN(found + 1, CW_ALLOTMENT_OWNERS);
	}
	return found;
}

/* ---- owner ----------------------------------------------------------------------------------------------- */

/* The token bucket of an account, and what it has granted of late. */
typedef struct {
	uint64_t account;
	double tokens;
	int64_t since_ms; /* before, another proxy may have granted tokens */
	int64_t updated_ms;
	int64_t last_slot; /* time of the last update in slots */
	/* Tokens granted, by how long they are valid and by slot, modulo the size. */
	uint32_t granted[MAX_SLOTS];
	uint32_t spare[MAX_SLOTS];
	uint32_t scarce[MAX_SLOTS];
	struct {
		uint64_t origin;
		int64_t asked_ms;
	} active[MAX_ACTIVE]; /* origins that have asked of late */
	double window_limit;  /* of the last update */
	double demand_per_s;  /* tokens asked for, over DEMAND_WINDOW_MS */
} bucket_t;

struct cw_allotment_owner {
	GHashTable *buckets; /* account -> bucket_t */
};

/* Creates an owner of no accounts yet. */
cw_allotment_owner_t *cw_allotment_owner_new(void)
{
	cw_allotment_owner_t *owner = g_new0(cw_allotment_owner_t, 1);

	owner->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return owner;
}

/* Frees an owner; NULL is allowed. */
void cw_allotment_owner_free(cw_allotment_owner_t *owner)
{
	if (!owner)
		return;
	g_hash_table_destroy(owner->buckets);
	g_free(owner);
}

/* Returns the tokens that a rate gives in a time, or a minimum of one. */
static double tokens_of(double calls_per_s, int64_t time_ms)
{
	return MAX(calls_per_s * (double)time_ms / MS_PER_S, 1);
}

/* Returns the bucket of an account, created if needed; NULL when there are too many. */
static bucket_t *get_bucket(cw_allotment_owner_t *owner, uint64_t account, const cw_allotment_limit_t *limit,
			    int64_t since_ms)
{
	bucket_t *bucket = g_hash_table_lookup(owner->buckets, &account);

	if (bucket || g_hash_table_size(owner->buckets) >= MAX_ACCOUNTS)
		return bucket;
	bucket = g_new(bucket_t, 1);
	*bucket = (bucket_t){.account = account,
			     .tokens = tokens_of(limit->calls_per_s, START_MS),
			     .since_ms = since_ms,
			     .updated_ms = since_ms,
			     .last_slot = since_ms / SLOT_MS};
	g_hash_table_insert(owner->buckets, &bucket->account, bucket);
	return bucket;
}

/* Returns the part of the rate that a proxy may grant by its title. */
static double title_ratio(cw_allotment_title_t title)
{
	switch (title) {
	case CW_ALLOTMENT_SUBSTITUTE:
		return substitute_ratio;
	case CW_ALLOTMENT_UNCONFIRMED:
		return unconfirmed_ratio;
	case CW_ALLOTMENT_OWNER:
		break;
	}
	return 1;
}

/* Returns how many tokens may be granted in a window. */
static double window_limit(const cw_allotment_limit_t *limit)
{
	double overage = overage_use * limit->overage_permille / PERMILLE;

	return (limit->calls_per_s * limit->window_ms / MS_PER_S + limit->burst) * (1 + overage);
}

/*
 * Returns the tokens a second that a bucket gets.  In its first window it gets the rate alone: its predecessor
 * may have granted the burst just before.
 */
static double refill_per_s(const bucket_t *bucket, const cw_allotment_limit_t *limit, int64_t now_ms)
{
	if (!limit->window_ms || now_ms < bucket->since_ms + limit->window_ms)
		return limit->calls_per_s;
	return window_limit(limit) * MS_PER_S / limit->window_ms;
}

/* Clears the slots that have begun since the last update. */
static void advance_slots(bucket_t *bucket, int64_t now_ms)
{
	int64_t slot = now_ms / SLOT_MS;

	for (int64_t i = MAX(bucket->last_slot, slot - MAX_SLOTS) + 1; i <= slot; i++)
		bucket->granted[i % MAX_SLOTS] = bucket->spare[i % MAX_SLOTS] =
			bucket->scarce[i % MAX_SLOTS] = 0;
	bucket->last_slot = MAX(bucket->last_slot, slot);
}

/* Returns the sum of the newest slots that a time and its last, incomplete slot cover. */
static double sum_slots(const bucket_t *bucket, const uint32_t *counts, int64_t time_ms)
{
	int64_t slots = MIN(time_ms / SLOT_MS + 1, MAX_SLOTS);
	double sum = 0;

	for (int64_t i = MAX(bucket->last_slot - slots + 1, 0); i <= bucket->last_slot; i++)
		sum += counts[i % MAX_SLOTS];
	return sum;
}

/* Returns how many tokens the window leaves; what was granted before it may be spent in it. */
static double left_in_window(const bucket_t *bucket, const cw_allotment_limit_t *limit)
{
	if (!limit->window_ms)
		return HUGE_VAL;
	return MAX(window_limit(limit) -
			   sum_slots(bucket, bucket->granted, limit->window_ms + CW_ALLOTMENT_TOKEN_MS) -
			   sum_slots(bucket, bucket->scarce, limit->window_ms + CW_ALLOTMENT_SCARCE_MS) -
			   sum_slots(bucket, bucket->spare, limit->window_ms + CW_ALLOTMENT_SPARE_MS),
		   0);
}

/* Applies a lower limit than before: what was granted under the other one does not count against it. */
static void apply_limit(bucket_t *bucket, const cw_allotment_limit_t *limit)
{
	if (window_limit(limit) < bucket->window_limit) {
		memset(bucket->granted, 0, sizeof(bucket->granted));
		memset(bucket->spare, 0, sizeof(bucket->spare));
		memset(bucket->scarce, 0, sizeof(bucket->scarce));
		bucket->tokens = MIN(bucket->tokens, tokens_of(limit->calls_per_s, START_MS));
	}
	bucket->window_limit = window_limit(limit);
}

/* Adds the tokens since the last update, and the tokens asked for to the demand. */
static void update_bucket(bucket_t *bucket, const cw_allotment_limit_t *limit, cw_allotment_title_t title,
			  uint32_t asked, int64_t now_ms)
{
	double elapsed_ms = (double)MAX(now_ms - bucket->updated_ms, 0);
	double capacity = MAX(limit->burst, tokens_of(limit->calls_per_s, MIN_CAPACITY_MS));

	advance_slots(bucket, now_ms);
	apply_limit(bucket, limit);
	bucket->tokens += title_ratio(title) * refill_per_s(bucket, limit, now_ms) * elapsed_ms / MS_PER_S;
	bucket->tokens = MIN(bucket->tokens, capacity);
	bucket->demand_per_s *= exp(-elapsed_ms / DEMAND_WINDOW_MS);
	bucket->demand_per_s += (double)asked * MS_PER_S / DEMAND_WINDOW_MS;
	bucket->updated_ms = now_ms;
}

/* Returns when callers that are refused should return: when those refused within a second can have been served. */
static uint32_t retry_after_ms(const bucket_t *bucket, const cw_allotment_limit_t *limit)
{
	double excess = MAX(bucket->demand_per_s / limit->calls_per_s - 1, 0);

	return (uint32_t)CLAMP(MS_PER_S * excess, MS_PER_S / limit->calls_per_s, MAX_RETRY_AFTER_MS);
}

/* Notes that an origin is active; returns how many are, at least MAX_ACTIVE + 1 when they are too many to count. */
static size_t note_active(bucket_t *bucket, uint64_t origin, int64_t now_ms)
{
	size_t oldest = 0, active = 0;
	bool known = false;

	for (size_t i = 0; i < MAX_ACTIVE; i++) {
		bool is_self = bucket->active[i].origin == origin;

		if (is_self)
			bucket->active[i].asked_ms = now_ms;
		known = known || is_self;
		active += bucket->active[i].origin && now_ms < bucket->active[i].asked_ms + ACTIVE_MS;
		if (bucket->active[i].asked_ms < bucket->active[oldest].asked_ms)
			oldest = i;
	}
	if (known)
		return active;
	bucket->active[oldest].origin = origin;
	bucket->active[oldest].asked_ms = now_ms;
	return active + 1;
}

/* Takes the spare tokens of one origin out of the bucket. */
static uint32_t take_spare(bucket_t *bucket, const cw_allotment_limit_t *limit, size_t active)
{
	double left = MIN(left_in_window(bucket, limit), bucket->tokens);
	uint32_t tokens = (uint32_t)MIN(spare_ratio * left / (double)active, MAX_SPARE);

	bucket->tokens -= tokens;
	bucket->spare[bucket->last_slot % MAX_SLOTS] += tokens;
	return tokens;
}

/* Takes tokens that were never spent out of the slots in which they may have been granted; returns the rest. */
static uint32_t take_back(const bucket_t *bucket, uint32_t *counts, int64_t valid_ms, uint32_t tokens)
{
	int64_t newest = bucket->last_slot - valid_ms / SLOT_MS;

	for (int64_t i = newest; tokens && i > 0 && i > bucket->last_slot - MAX_SLOTS; i--) {
		uint32_t taken = MIN(counts[i % MAX_SLOTS], tokens);

		counts[i % MAX_SLOTS] -= taken;
		tokens -= taken;
	}
	return tokens;
}

/* Counts what an origin has not spent as not granted. */
static void return_unspent(bucket_t *bucket, uint32_t unspent)
{
	uint32_t rest = take_back(bucket, bucket->spare, CW_ALLOTMENT_SPARE_MS, unspent);

	rest = take_back(bucket, bucket->granted, CW_ALLOTMENT_TOKEN_MS, rest);
	bucket->tokens += unspent - rest;
}

/* Grants up to the number of tokens asked for. */
cw_allotment_grant_t cw_allotment_owner_grant(cw_allotment_owner_t *owner, uint64_t account,
					      const cw_allotment_limit_t *limit, cw_allotment_title_t title,
					      int64_t since_ms, const cw_allotment_need_t *need,
					      int64_t now_ms)
{
	bucket_t *bucket = get_bucket(owner, account, limit, CLAMP(since_ms, 0, now_ms));
	cw_allotment_grant_t grant = {.retry_after_ms = MS_PER_S};
	size_t active;
	double left;

	if (!bucket)
		return grant;
	update_bucket(bucket, limit, title, need->tokens, now_ms);
	return_unspent(bucket, need->unspent);
	left = MIN(bucket->tokens, left_in_window(bucket, limit));
	grant.tokens = (uint32_t)MIN(floor(left), (double)need->tokens);
	grant.scarce = left < tokens_of(limit->calls_per_s, SLOT_MS);
	bucket->tokens -= grant.tokens;
	(grant.scarce ? bucket->scarce : bucket->granted)[bucket->last_slot % MAX_SLOTS] += grant.tokens;
	grant.retry_after_ms = grant.tokens < need->tokens ? retry_after_ms(bucket, limit) : 0;
	active = note_active(bucket, need->origin, now_ms);
	if (title == CW_ALLOTMENT_OWNER && need->tokens && !grant.scarce && active <= MAX_ACTIVE)
		grant.spare_tokens = take_spare(bucket, limit, active);
	return grant;
}

/* Returns whether nobody has asked for tokens of a bucket since the time *data (GHRFunc). */
static gboolean bucket_is_expired(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return ((const bucket_t *)value)->updated_ms < *(const int64_t *)data;
}

/* Removes the buckets that nobody has asked for since before_ms. */
void cw_allotment_owner_expire(cw_allotment_owner_t *owner, int64_t before_ms)
{
	g_hash_table_foreach_remove(owner->buckets, bucket_is_expired, &before_ms);
}

/* Returns the number of buckets. */
size_t cw_allotment_owner_count(const cw_allotment_owner_t *owner)
{
	return g_hash_table_size(owner->buckets);
}

/* ---- origin -------------------------------------------------------------------------------------------- */

/* Tokens of one grant. */
typedef struct {
	uint32_t tokens;
	int64_t expires_ms;
} lot_t;

/* What an origin has of an account. */
typedef struct {
	uint64_t account;
	lot_t lots[MAX_LOTS];
	uint32_t unspent;    /* tokens that have expired since the last request */
	uint32_t waiting;    /* calls that wait for a token */
	double demand_per_s; /* calls, over DEMAND_WINDOW_MS */
	int64_t demand_ms;   /* when that was updated */
	uint64_t request;    /* number of the request in flight; 0: none */
	uint32_t rank;	     /* of the proxy that it was sent to */
	uint32_t failed_ranks;
	int64_t asked_ms;     /* when it was sent */
	int64_t resend_ms;    /* when to send one again that failed; 0: none */
	int64_t answer_by_ms; /* when the proxy is given up; 0: it has answered */
	int64_t avoid_owner_until_ms;
	int64_t empty_until_ms; /* the bucket is known to be empty until then */
	bool is_spent;		/* the last token was spent, and another call is expected soon */
	int64_t full_grant_ms;	/* when all that was asked for was granted */
	int64_t credit_ms;	/* when the last token was given on credit */
	uint32_t debt;		/* tokens given on credit, which the next grants settle */
	int64_t retry_at_ms;	/* when refused callers are to return, as the owner said */
} balance_t;

struct cw_allotment_origin {
	GHashTable *balances; /* account -> balance_t */
	GQueue due;	      /* balance_t that may have to ask */
	uint64_t last_request;
	int64_t next_tick_ms; /* the earliest answer_by_ms */
};

/* Creates an origin without tokens. */
cw_allotment_origin_t *cw_allotment_origin_new(void)
{
	cw_allotment_origin_t *origin = g_new0(cw_allotment_origin_t, 1);

	origin->balances = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&origin->due);
	origin->next_tick_ms = INT64_MAX;
	return origin;
}

/* Frees an origin; NULL is allowed. */
void cw_allotment_origin_free(cw_allotment_origin_t *origin)
{
	if (!origin)
		return;
	g_queue_clear(&origin->due);
	g_hash_table_destroy(origin->balances);
	g_free(origin);
}

/* Returns the balance of an account; NULL when there is none. */
static balance_t *find_balance(const cw_allotment_origin_t *origin, uint64_t account)
{
	return g_hash_table_lookup(origin->balances, &account);
}

/* Returns the balance of an account, created if needed; NULL when there are too many. */
static balance_t *get_balance(cw_allotment_origin_t *origin, uint64_t account)
{
	balance_t *balance = find_balance(origin, account);

	if (balance || g_hash_table_size(origin->balances) >= MAX_ACCOUNTS)
		return balance;
	balance = g_new0(balance_t, 1);
	balance->account = account;
	g_hash_table_insert(origin->balances, &balance->account, balance);
	return balance;
}

/* Returns the tokens that have not expired; clears the lots of the others. */
static uint32_t count_tokens(balance_t *balance, int64_t now_ms)
{
	uint32_t tokens = 0;

	for (int i = 0; i < MAX_LOTS; i++) {
		if (balance->lots[i].expires_ms <= now_ms) {
			balance->unspent += balance->lots[i].tokens;
			balance->lots[i].tokens = 0;
		}
		tokens += balance->lots[i].tokens;
	}
	return tokens;
}

/* Spends a token of the lot that expires first; returns false when there is none. */
static bool spend_token(balance_t *balance, int64_t now_ms)
{
	lot_t *first = NULL;

	if (!count_tokens(balance, now_ms))
		return false;
	for (int i = 0; i < MAX_LOTS; i++)
		if (balance->lots[i].tokens && (!first || balance->lots[i].expires_ms < first->expires_ms))
			first = &balance->lots[i];
	first->tokens--;
	return true;
}

/* Adds tokens in place of the lot with the fewest. */
static void add_tokens(balance_t *balance, uint32_t tokens, int64_t expires_ms)
{
	lot_t *fewest = &balance->lots[0];

	for (int i = 1; i < MAX_LOTS; i++)
		if (balance->lots[i].tokens < fewest->tokens)
			fewest = &balance->lots[i];
	balance->unspent += fewest->tokens;
	*fewest = (lot_t){.tokens = tokens, .expires_ms = expires_ms};
}

/* Updates the demand, with a number of new calls. */
static void update_demand(balance_t *balance, uint32_t calls, int64_t now_ms)
{
	double elapsed_ms = (double)MAX(now_ms - balance->demand_ms, 0);

	balance->demand_per_s *= exp(-elapsed_ms / DEMAND_WINDOW_MS);
	balance->demand_per_s += (double)calls * MS_PER_S / DEMAND_WINDOW_MS;
	balance->demand_ms = now_ms;
}

/* Returns how many calls are expected within PREFETCH_MS. */
static uint32_t expected_calls(const balance_t *balance)
{
	return (uint32_t)(balance->demand_per_s * PREFETCH_MS / MS_PER_S);
}

/* Has a balance considered by cw_allotment_origin_next_ask(). */
static void mark_due(cw_allotment_origin_t *origin, balance_t *balance)
{
	if (!g_queue_find(&origin->due, balance))
		g_queue_push_tail(&origin->due, balance);
}

/* Counts a call that waits no longer, if it has waited. */
static void stop_waiting(balance_t *balance, bool has_waited)
{
	if (has_waited && balance->waiting)
		balance->waiting--;
}

/* Spends a token on a call, or has it wait or be refused. */
cw_allotment_verdict_t cw_allotment_origin_take(cw_allotment_origin_t *origin, uint64_t account,
						bool first_try, int64_t now_ms, uint32_t *retry_after_ms)
{
	balance_t *balance = get_balance(origin, account);
	bool is_steady;

	*retry_after_ms = MS_PER_S;
	if (!balance)
		return CW_ALLOTMENT_REFUSED;
	update_demand(balance, 0, now_ms);
	is_steady = balance->demand_per_s > steady_demand_per_s;
	update_demand(balance, first_try ? 1 : 0, now_ms);
	mark_due(origin, balance);
	if (spend_token(balance, now_ms)) {
		stop_waiting(balance, !first_try);
		balance->is_spent = is_steady && balance->full_grant_ms && !count_tokens(balance, now_ms);
		return CW_ALLOTMENT_TAKEN;
	}
	if (now_ms < balance->empty_until_ms) {
		stop_waiting(balance, !first_try);
		*retry_after_ms = (uint32_t)MAX(balance->retry_at_ms - now_ms, 1);
		return CW_ALLOTMENT_REFUSED;
	}
	balance->waiting += first_try ? 1 : 0;
	return CW_ALLOTMENT_WAIT;
}

/* Notes that a call that waited was given up. */
void cw_allotment_origin_leave(cw_allotment_origin_t *origin, uint64_t account)
{
	balance_t *balance = find_balance(origin, account);

	if (balance)
		stop_waiting(balance, true);
}

/* Returns how many tokens to ask for; 0: none. */
static uint32_t needed_tokens(balance_t *balance, int64_t now_ms)
{
	uint32_t tokens = count_tokens(balance, now_ms);
	uint32_t expected = expected_calls(balance);

	if (balance->request || balance->resend_ms || now_ms < balance->empty_until_ms)
		return 0;
	if (balance->waiting)
		return balance->waiting + expected;
	if (balance->is_spent)
		return MAX(expected, 1);
	/* In advance: when less than half of what is expected is left. */
	return expected > 1 && tokens < expected / 2 ? expected - tokens : 0;
}

/* Returns when a waiting call may go on without a grant; INT64_MAX: never. */
static int64_t credit_tick_ms(const balance_t *balance)
{
	int64_t due_ms = MAX(balance->asked_ms + CREDIT_AFTER_MS, balance->credit_ms + CREDIT_INTERVAL_MS);

	if (!balance->waiting || !balance->full_grant_ms ||
	    due_ms >= balance->full_grant_ms + WITHIN_LIMIT_MS)
		return INT64_MAX;
	return due_ms;
}

/* Returns when something is due about a request in flight or to be sent again; INT64_MAX: nothing is. */
static int64_t balance_tick_ms(const balance_t *balance)
{
	int64_t due_ms = MIN(balance->answer_by_ms, credit_tick_ms(balance));

	if (!balance->answer_by_ms)
		return INT64_MAX;
	return balance->resend_ms ? MIN(balance->resend_ms, due_ms) : due_ms;
}

/* Stores the next request for tokens that is due. */
bool cw_allotment_origin_next_ask(cw_allotment_origin_t *origin, int64_t now_ms, cw_allotment_ask_t *ask)
{
	balance_t *balance;

	while ((balance = g_queue_pop_head(&origin->due))) {
		uint32_t tokens = needed_tokens(balance, now_ms);

		if (!tokens)
			continue;
		if (!balance->failed_ranks)
			balance->rank = now_ms < balance->avoid_owner_until_ms ? 1 : 0;
		balance->request = ++origin->last_request;
		balance->asked_ms = now_ms;
		if (!balance->answer_by_ms)
			balance->answer_by_ms =
				now_ms + (balance->rank ? SUBSTITUTE_TIMEOUT_MS : OWNER_TIMEOUT_MS);
		origin->next_tick_ms = MIN(origin->next_tick_ms, balance_tick_ms(balance));
		*ask = (cw_allotment_ask_t){.account = balance->account,
					    .request = balance->request,
					    .tokens = tokens,
					    .unspent = balance->unspent,
					    .rank = balance->rank};
		balance->unspent = 0;
		return true;
	}
	return false;
}

/* Records the answer to a request. */
void cw_allotment_origin_granted(cw_allotment_origin_t *origin, uint64_t account, uint64_t request,
				 const cw_allotment_grant_t *grant, int64_t now_ms)
{
	balance_t *balance = find_balance(origin, account);
	uint32_t settled;

	if (!balance || !request || balance->request != request)
		return;
	balance->request = 0;
	balance->answer_by_ms = 0;
	balance->failed_ranks = 0;
	if (balance->rank == 0)
		balance->avoid_owner_until_ms = 0;
	settled = MIN(grant->tokens, balance->debt);
	balance->debt -= settled;
	add_tokens(balance, grant->tokens - settled,
		   balance->asked_ms + (grant->scarce ? CW_ALLOTMENT_SCARCE_MS : CW_ALLOTMENT_TOKEN_MS));
	add_tokens(balance, grant->spare_tokens, balance->asked_ms + CW_ALLOTMENT_SPARE_MS);
	balance->is_spent = false;
	balance->empty_until_ms = 0;
	balance->full_grant_ms = grant->retry_after_ms ? 0 : now_ms;
	if (grant->retry_after_ms) {
		balance->empty_until_ms =
			now_ms + CLAMP((int64_t)grant->retry_after_ms, MIN_EMPTY_MS, MAX_EMPTY_MS);
		balance->retry_at_ms = now_ms + grant->retry_after_ms;
	}
}

/* Records that a request has failed. */
void cw_allotment_origin_failed(cw_allotment_origin_t *origin, uint64_t account, uint64_t request,
				cw_allotment_failure_t failure, int64_t now_ms)
{
	balance_t *balance = find_balance(origin, account);
	int64_t delay_ms = failure == CW_ALLOTMENT_UNSENT ? RESEND_UNSENT_MS : RESEND_DECLINED_MS;

	if (!balance || !request || balance->request != request)
		return;
	balance->request = 0;
	balance->resend_ms = MIN(now_ms + delay_ms, balance->answer_by_ms);
	origin->next_tick_ms = MIN(origin->next_tick_ms, balance->resend_ms);
}

/* Ends a request without tokens: the other proxy is asked, or, after both, calls are refused for a while. */
static bool fail_request(cw_allotment_origin_t *origin, balance_t *balance, int64_t now_ms)
{
	balance->request = 0;
	balance->resend_ms = 0;
	balance->answer_by_ms = 0;
	balance->failed_ranks++;
	if (balance->rank == 0)
		balance->avoid_owner_until_ms = now_ms + AVOID_OWNER_MS;
	if (balance->failed_ranks < CW_ALLOTMENT_OWNERS) {
		balance->rank = 1 - balance->rank;
		mark_due(origin, balance);
		return false;
	}
	balance->failed_ranks = 0;
	balance->waiting = 0;
	return true;
}

/* Runs the timers of a balance. */
static cw_allotment_event_type_t tick_balance(cw_allotment_origin_t *origin, balance_t *balance,
					      int64_t now_ms)
{
	if (!balance->answer_by_ms)
		return CW_ALLOTMENT_NO_EVENT;
	if (now_ms >= credit_tick_ms(balance)) {
		balance->credit_ms = now_ms;
		balance->debt++;
		add_tokens(balance, 1, now_ms + CW_ALLOTMENT_TOKEN_MS);
		return CW_ALLOTMENT_CREDIT;
	}
	if (now_ms >= balance->answer_by_ms)
		return fail_request(origin, balance, now_ms) ? CW_ALLOTMENT_UNAVAILABLE
							     : CW_ALLOTMENT_NO_EVENT;
	if (balance->resend_ms && now_ms >= balance->resend_ms) {
		balance->resend_ms = 0;
		mark_due(origin, balance);
	}
	return CW_ALLOTMENT_NO_EVENT;
}

/* Runs the timers of requests. */
cw_allotment_event_t cw_allotment_origin_tick(cw_allotment_origin_t *origin, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms < origin->next_tick_ms)
		return (cw_allotment_event_t){.type = CW_ALLOTMENT_NO_EVENT};
	origin->next_tick_ms = INT64_MAX;
	g_hash_table_iter_init(&iter, origin->balances);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		balance_t *balance = value;
		cw_allotment_event_type_t type = tick_balance(origin, balance, now_ms);

		if (type != CW_ALLOTMENT_NO_EVENT) {
			origin->next_tick_ms = now_ms; /* something may be due of others too */
			return (cw_allotment_event_t){.type = type, .account = balance->account};
		}
		origin->next_tick_ms = MIN(origin->next_tick_ms, balance_tick_ms(balance));
	}
	return (cw_allotment_event_t){.type = CW_ALLOTMENT_NO_EVENT};
}

/* Returns when cw_allotment_origin_tick() is due. */
int64_t cw_allotment_origin_next_tick_ms(const cw_allotment_origin_t *origin)
{
	return origin->next_tick_ms;
}

/* Returns whether a balance is unused since the time *data (GHRFunc). */
static gboolean balance_is_expired(gpointer key, gpointer value, gpointer data)
{
	const balance_t *balance = value;

	(void)key;
	return !balance->waiting && !balance->request && balance->demand_ms < *(const int64_t *)data;
}

/* Removes accounts without calls since before_ms. */
void cw_allotment_origin_expire(cw_allotment_origin_t *origin, int64_t before_ms)
{
	GHashTableIter iter;
	gpointer balance;

	g_queue_clear(&origin->due);
	g_hash_table_foreach_remove(origin->balances, balance_is_expired, &before_ms);
	g_hash_table_iter_init(&iter, origin->balances);
	while (g_hash_table_iter_next(&iter, NULL, &balance))
		g_queue_push_tail(&origin->due, balance);
}
