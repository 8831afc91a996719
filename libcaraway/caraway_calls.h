/*
 * Calls: admission control, load balancing, retries and outcomes.  See libcaraway.h.
 *
 * The origin of a call is the proxy that sends it.  Each attempt of the call goes
 * to one receiver: the proxy of a target, which starts, queues or refuses it.
 */
#ifndef CARAWAY_CALLS_H
#define CARAWAY_CALLS_H

#include "caraway_base.h"

/* ---- calls: reasons and identifiers ------------------------------------------------------------ */

/* Reasons of refusals and failures: id, name, HTTP status of the response generated for the caller. */
#define CW_REASONS(X)                                                                                        \
	X(NONE, "none", 200)                                                                                 \
	/* the call was not run */                                                                           \
	X(NO_CONFIG, "no-config", 503)	     /* no configuration is in force yet */                          \
	X(CONFIG_STALE, "config-stale", 503) /* no route, but there may be a newer configuration */          \
	X(NO_ROUTE, "no-route", 404)	     /* no route matches the host and path */                        \
	X(NO_TARGET, "no-target", 503)	     /* the service has no endpoint to try */                        \
	X(UNREACHABLE, "unreachable", 503)   /* no connection to the receiver */                             \
	X(QUEUE_FULL, "queue-full", 503)     /* the queue of the receiver is full */                         \
	X(CROWDED, "crowded", 503)	     /* it would miss its latency objective */                       \
	X(TARGET_FULL, "target-full", 503)   /* the target answered that it did not run it */                \
	X(DEADLINE, "deadline", 503)	     /* it cannot be run before its deadline */                      \
	X(DRAINING, "draining", 503)	     /* a proxy or the target is draining */                         \
	X(INCARNATION, "incarnation", 503)   /* the receiver or its target was restarted */                  \
	X(TARGET_UNREACHABLE, "target-unreachable", 503) /* the receiver cannot reach its target */          \
	X(REVOKED, "revoked", 503)			 /* revoked before it started */                     \
	X(RECORDS_FULL, "records-full", 503)		 /* the receiver has records of too many origins */  \
	X(TOO_LARGE, "too-large", 413)			 /* the request is too large */                      \
	X(TOO_DEEP, "too-deep", 508)			 /* too many levels of nested calls */               \
	X(BAD_HEADER, "bad-header", 400)		 /* a header of the request is invalid */            \
	X(BAD_KEY, "bad-key", 401)			 /* no client account has the key */                 \
	X(KEYS_UNCONFIRMED, "keys-unconfirmed", 503)	 /* the keys known here may be withdrawn or old */   \
	X(OVER_ALLOTMENT, "over-allotment", 429)	 /* the client account has used its allotment */     \
	X(ALLOTMENT_UNAVAILABLE, "allotment-unavailable", 503) /* the owner of the allotment is silent */    \
	/* the call may have been run */                                                                     \
	X(NO_ANSWER, "no-answer", 504)		     /* no answer in time */                                 \
	X(CUT, "cut", 502)			     /* broken connection or malformed response */           \
	X(TARGET_ERROR, "target-error", 502)	     /* retried after an error of the target */              \
	X(ANSWER_TOO_LARGE, "answer-too-large", 502) /* the response is too large */

typedef enum {
#define X(id, name, status) CW_REASON_##id,
	CW_REASONS(X)
#undef X
		CW_REASON_COUNT
} cw_reason_t;

const char *cw_reason_name(cw_reason_t reason);
unsigned cw_reason_http_status(cw_reason_t reason);
/* Returns CW_REASON_COUNT for an unknown name. */
cw_reason_t cw_reason_parse(const char *name);

/* Identifies one attempt of a call at one receiver; an origin never reuses a sequence. */
typedef struct {
	uint64_t origin; /* identifies the incarnation of the sending proxy: cw_call_origin() */
	uint64_t sequence;
} cw_call_id_t;

/* ---- records: states of the calls received from each origin --------------------------------------- */

typedef enum {
	CW_RECORD_NONE,	    /* no record */
	CW_RECORD_WAITING,  /* queued */
	CW_RECORD_STARTED,  /* sent to the target, finished or not */
	CW_RECORD_REFUSED,  /* not run, and never will be */
	CW_RECORD_FORGOTTEN /* below the window of its origin: whether it was run is no longer known */
} cw_record_state_t;

typedef struct cw_records cw_records_t;

/* Creates an empty table for the calls of at most max_origins origins. */
cw_records_t *cw_records_new(size_t max_origins);
void cw_records_free(cw_records_t *records);
/* Returns the recorded state of a call. */
cw_record_state_t cw_records_find(const cw_records_t *records, const cw_call_id_t *id);
/* Records the state of a call, unless it is below the window; CW_ERR_FULL when there are too many origins. */
cw_status_t cw_records_set(cw_records_t *records, const cw_call_id_t *id, cw_record_state_t state,
			   int64_t now_ms);

/* ---- cost of calls and speed of a target --------------------------------------------------------- */

/* The properties of a call that its cost may depend on. */
typedef struct {
	uint64_t route;
	uint64_t account;    /* 0: none */
	uint32_t body_bytes; /* 0: none */
} cw_cost_call_t;

/*
 * The cost of a call is the time that it holds a slot of the target at the usual speed of that.  It is learned
 * from answers; the present speed of the target is learned apart from it.
 */
typedef struct cw_cost cw_cost_t;

cw_cost_t *cw_cost_new(void);
void cw_cost_free(cw_cost_t *cost);
/* Returns the number of classes of calls that costs are known of; it is bounded. */
size_t cw_cost_count(const cw_cost_t *cost);
/* Returns the expected cost of a call in milliseconds; 0: not known. */
double cw_cost_expected_ms(const cw_cost_t *cost, const cw_cost_call_t *call);
/* Returns the expected rest of the cost of a call that has run for a time; 0: not known. */
double cw_cost_rest_ms(const cw_cost_t *cost, const cw_cost_call_t *call, double ran_ms);
/* Returns the speed of the target of late, relative to its usual one. */
double cw_cost_speed(const cw_cost_t *cost);
/* Returns how many answers are expected of a call by an age, if each were followed by a call like it. */
double cw_cost_answers_by(const cw_cost_t *cost, const cw_cost_call_t *call, double ran_ms);
/* Adds to the number of answers that are expected, for the speed. */
void cw_cost_expect_answers(cw_cost_t *cost, double answers, int64_t now_ms);
/* Records a call that the target answered after took_ms. */
void cw_cost_answered(cw_cost_t *cost, const cw_cost_call_t *call, double took_ms, int64_t now_ms);
/* Records a call that ended without an answer, or with an error, after took_ms. */
void cw_cost_failed(cw_cost_t *cost, const cw_cost_call_t *call, double took_ms, int64_t now_ms);

/* ---- admission control in front of a target -------------------------------------------------------- */

typedef struct {
	uint32_t slots;	  /* calls the target runs at once */
	uint32_t queue;	  /* calls that may wait for a slot */
	uint32_t ramp_ms; /* from the first answer of a cold target until it may use all slots */
	bool cost_aware;  /* waits are estimated from the costs of the calls */
	bool fair_shares; /* accounts get room by their shares when there is not enough */
} cw_admit_options_t;

typedef enum {
	CW_ADMIT_START, /* send it to the target now */
	CW_ADMIT_QUEUE, /* queued: cw_admit_next() will return it */
	CW_ADMIT_REFUSE,
	CW_ADMIT_IGNORE /* a duplicate: only the first copy is answered */
} cw_admit_verdict_t;

typedef enum {
	CW_ADMIT_ANSWERED,   /* the target answered */
	CW_ADMIT_ERROR,	     /* the target answered with an error */
	CW_ADMIT_FAILED,     /* no answer: the call may have been run */
	CW_ADMIT_DECLINED,   /* the target answered that it did not run the call */
	CW_ADMIT_NOT_STARTED /* certainly not run: no byte reached the target */
} cw_admit_result_t;

/* The properties of a call that admission control uses. */
typedef struct {
	cw_call_id_t id;
	uint64_t cookie;	 /* opaque handle of the embedding program, not 0 */
	uint64_t route;		 /* service times are measured per route */
	uint64_t account;	 /* hash of the name of the client account; 0: none */
	double account_weight;	 /* of its share, such as its rate; 0: unknown */
	uint32_t priority;	 /* 0 is the highest */
	int64_t deadline_ms;	 /* latest start; a call expected to end later is not queued */
	int64_t useful_until_ms; /* end of the latency objective: later answers are worth less */
	uint32_t body_bytes;
	bool lacks_memory; /* there is no memory for its body: it is refused */
} cw_admit_call_t;

typedef struct cw_admit cw_admit_t;

/* Creates admission control for a cold target: one that has not answered yet. */
cw_admit_t *cw_admit_new(const cw_admit_options_t *options);
void cw_admit_free(cw_admit_t *admit);
/* Marks a target that is known to be up as warm: all its slots can be used at once. */
void cw_admit_mark_warm(cw_admit_t *admit, int64_t now_ms);
/* Starts, queues or refuses an arriving call; *reason is set with CW_ADMIT_REFUSE. */
cw_admit_verdict_t cw_admit_arrive(cw_admit_t *admit, const cw_admit_call_t *call, int64_t now_ms,
				   cw_reason_t *reason);
/* Removes the next queued call that can start or has to be refused; returns false when there is none. */
bool cw_admit_next(cw_admit_t *admit, int64_t now_ms, uint64_t *cookie, cw_admit_verdict_t *verdict,
		   cw_reason_t *reason);
/* Ends a call that was started at started_ms; frees its slot. */
void cw_admit_done(cw_admit_t *admit, const cw_call_id_t *id, uint64_t route, cw_admit_result_t result,
		   int64_t started_ms, int64_t now_ms);
/* Returns true when the call has not started and never will; *cookie is then the queued call, or 0. */
bool cw_admit_revoke(cw_admit_t *admit, const cw_call_id_t *id, int64_t now_ms, uint64_t *cookie);
/*
 * Returns whether a call is queued and expected to be answered before its deadline; false also while the
 * target seems to be frozen.
 */
bool cw_admit_is_expected(const cw_admit_t *admit, const cw_call_id_t *id, int64_t now_ms);
/* While draining, new calls are refused; queued calls still start, until cw_admit_set_start_until(). */
void cw_admit_set_draining(cw_admit_t *admit, bool draining);
/* Sets until when queued calls start; later they are refused as draining.  INT64_MAX: without limit. */
void cw_admit_set_start_until(cw_admit_t *admit, int64_t start_until_ms);
/* Sets how many calls the target runs at once. */
void cw_admit_set_slots(cw_admit_t *admit, uint32_t slots);
uint32_t cw_admit_slots(const cw_admit_t *admit);
/* Returns the mean service time of a route, without queueing, in milliseconds; 0: no sample yet. */
double cw_admit_service_ms(const cw_admit_t *admit, uint64_t route);
/* Returns whether calls of a route are so short that refusing them would free little capacity. */
bool cw_admit_is_short(const cw_admit_t *admit, uint64_t route);
/*
 * Estimates how long a call of a priority at the end of the queue would wait, in milliseconds, if it
 * overtook those of lower priority; 0 while a slot is free.
 */
uint32_t cw_admit_wait_ms(const cw_admit_t *admit, uint32_t priority, int64_t now_ms);
/* Returns the expected time until all present work is done, per slot; 0 unless cost-aware. */
uint32_t cw_admit_work_ms(const cw_admit_t *admit, int64_t now_ms);
/* Returns the speed of the target of late, in percent of its usual one; 0 unless cost-aware. */
uint32_t cw_admit_speed_percent(const cw_admit_t *admit);
uint32_t cw_admit_load(const cw_admit_t *admit); /* running and queued calls */
/* Returns how many calls may run at once now: fewer than the slots while the target is cold or ramping up. */
uint32_t cw_admit_limit(const cw_admit_t *admit, int64_t now_ms);
/* Returns the latest time to call cw_admit_next() again; INT64_MAX for never. */
int64_t cw_admit_next_check_ms(const cw_admit_t *admit);

/* ---- transport delay ------------------------------------------------------------------------------- */

/*
 * Messages carry the time left and the time of the sender's clock, which need
 * not be synchronized with the receiver's.  The fastest recent message of a
 * sender counts as undelayed; the delay of others is relative to it.
 */
typedef struct cw_transit cw_transit_t;

cw_transit_t *cw_transit_new(size_t max_senders);
void cw_transit_free(cw_transit_t *transit);
/*
 * Returns the delay of a message in milliseconds, never negative; 0 for the first
 * of a sender, and for one that does not fit into the table of senders.
 */
int64_t cw_transit_delay_ms(cw_transit_t *transit, uint64_t sender, int64_t sent_ms, int64_t now_ms);

/* ---- the target of a proxy, from its announcements ----------------------------------------------------- */

/* An announcement that a target sends about itself. */
typedef struct {
	const char *id; /* of this incarnation of the target */
	const char *service;
	const char *address; /* HOST:PORT */
	const char *version; /* of the program; NULL: not announced */
	int64_t started_ms;  /* UTC, start of this incarnation; 0: not announced */
	uint64_t sequence;   /* increases with each announcement of an incarnation */
	uint32_t slots;	     /* calls that it runs at once; 0: not announced */
	uint32_t warmup_ms;  /* time left until it is at full speed */
	bool leaving;	     /* it is draining or has deregistered */
} cw_announcement_t;

typedef enum {
	CW_TARGET_APPLIED,   /* newer than the last one, and applied */
	CW_TARGET_STALE,     /* of an earlier incarnation, or older than the last one */
	CW_TARGET_MISMATCH,  /* for another service or address */
	CW_TARGET_INCOMPLETE /* does not identify its incarnation */
} cw_target_verdict_t;

typedef struct cw_target cw_target_t;

/* Creates the state of a target without announcements; now_ms is by the clock of cw_target_announce(). */
cw_target_t *cw_target_new(const char *service, const char *address, int64_t now_ms);
void cw_target_free(cw_target_t *target);
/* Applies an announcement unless it is incomplete, meant for another target, or stale. */
cw_target_verdict_t cw_target_announce(cw_target_t *target, const cw_announcement_t *announcement,
				       int64_t now_ms);
/*
 * Confirms the incarnation whose identifier a health check returned, which was sent after the announcements so
 * far.  Returns false, and changes nothing, if the identifier is "" or no check is awaited.
 */
bool cw_target_confirm(cw_target_t *target, const char *id);
/* Returns whether a health check is awaited: the target does not leave, but may have left before the start. */
bool cw_target_awaits_check(const cw_target_t *target);
/* Returns whether the target may be used: its incarnation is known and confirmed, and is not leaving. */
bool cw_target_is_up(const cw_target_t *target);
/* Returns the identifier of the current incarnation; NULL while it is not known. */
const char *cw_target_id(const cw_target_t *target);
bool cw_target_is_leaving(const cw_target_t *target);
uint32_t cw_target_slots(const cw_target_t *target); /* 0: not announced */
/* Returns the end of the warm-up of the target, by the clock of cw_target_announce(). */
int64_t cw_target_warmup_end_ms(const cw_target_t *target);

/* ---- planned stop of a proxy --------------------------------------------------------------------------- */

/* The latest end of each step of a planned stop, by the clock of cw_stop_plan(). */
typedef struct {
	int64_t propagated_ms;	 /* other proxies and callers have learnt of the stop */
	int64_t accept_until_ms; /* new calls are accepted until then */
	int64_t exit_by_ms;	 /* the process exits by then */
} cw_stop_plan_t;

/* Returns the schedule of a planned stop that begins now, of a process that is killed after the grace period. */
cw_stop_plan_t cw_stop_plan(int64_t now_ms, uint32_t grace_ms);

/* ---- time that callers have waited on earlier requests ----------------------------------------- */

typedef struct cw_prior_wait cw_prior_wait_t;

cw_prior_wait_t *cw_prior_wait_new(void);
void cw_prior_wait_free(cw_prior_wait_t *prior_wait);
/*
 * Records the timeout that a caller set in a request; returns the estimated time
 * that it has waited on earlier requests.  Both are in milliseconds.
 */
int64_t cw_prior_wait_estimate_ms(cw_prior_wait_t *prior_wait, uint64_t route, int64_t timeout_ms);

/* ---- Retry-After time of refused callers ------------------------------------------------------- */

/* Properties of a refused call, all in milliseconds. */
typedef struct {
	uint32_t wait_ms;    /* estimated wait at the receiver that expects the shortest; 0: not known */
	uint32_t service_ms; /* service time there; 0: not known */
	int64_t useful_ms;   /* until the end of the latency objective; negative: missed */
	int64_t left_ms;     /* until the caller gives up */
} cw_refused_call_t;

/* Returns the time after which to retry, in milliseconds; random_unit in [0, 1) sets the jitter. */
uint32_t cw_retry_after_ms(const cw_refused_call_t *call, double random_unit);
/* The same for a proxy that has no configuration yet and was started up_ms ago. */
uint32_t cw_retry_after_unconfigured_ms(int64_t up_ms, double random_unit);

/* ---- load balancing: choice of an endpoint --------------------------------------------------------- */

typedef struct {
	const char *vm;
	const char *zone;
	uint64_t incarnation; /* of the endpoint's proxy; statistics of an earlier one are discarded */
	uint32_t slots;	      /* calls that its target runs at once */
	bool excluded;	      /* draining, or tried before by this call */
	bool own;	      /* beside this proxy: a call to it crosses no link */
} cw_candidate_t;

typedef enum {
	CW_PICK_ANSWERED,
	CW_PICK_TARGET_OVERLOADED, /* the target answered 503 */
	CW_PICK_ERROR,		   /* the target answered with another 5xx status */
	CW_PICK_REFUSED,	   /* refused by admission control because of load */
	CW_PICK_UNAVAILABLE,	   /* refuses every call: draining or restarted */
	CW_PICK_FAILED,		   /* no answer, no connection or a broken one */
	CW_PICK_REVOKED		   /* revoked: says nothing about the endpoint */
} cw_pick_result_t;

/* The load of an endpoint as reported in an answer. */
typedef struct {
	uint32_t in_use;	/* running and queued calls */
	uint32_t slots;		/* 0: no load was reported */
	uint64_t route;		/* of the call */
	uint32_t priority;	/* of the call */
	uint32_t service_ms;	/* service time of the route there; 0: not known */
	bool short_call;	/* that is short beside the other calls of the target */
	uint32_t wait_ms;	/* until a call of that priority that arrives now would start */
	uint32_t work_ms;	/* until all present work there is done, per slot, plus 1; 0: not known */
	uint32_t speed_percent; /* of the target of late, of its usual one; 0: not known */
	uint32_t overhead_ms;	/* that the way there and back took, besides the time at the receiver */
} cw_pick_load_t;

typedef struct cw_pick cw_pick_t;

/* Creates a load balancer for a proxy in a zone; the seed is that of its random choices. */
cw_pick_t *cw_pick_new(const char *zone, uint64_t seed);
void cw_pick_free(cw_pick_t *pick);
/* Makes choices by the expected time to the answer, with reports that are corrected by what was sent since. */
void cw_pick_set_cost_aware(cw_pick_t *pick, bool cost_aware);
/* The call that an endpoint is chosen for. */
typedef struct {
	uint64_t route;
	uint32_t priority; /* 0 is the highest */
	int64_t useful_ms; /* until the end of the latency objective; 0 or negative: missed or not known */
	int64_t left_ms;   /* until the caller gives up; 0: not known */
	const cw_pick_load_t *own_load; /* present load of the own candidate; NULL: there is none */
	uint32_t refusals;		/* of receivers that were crowded: the zone does not count then */
} cw_pick_call_t;

enum {
	CW_PICK_NO_ENDPOINT = -1, /* all are excluded */
	CW_PICK_CROWDED = -2	  /* the links on the way to them are too full */
};

/* Returns the index of the endpoint to send to, or one of the values above. */
int cw_pick_choose(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count,
		   const cw_pick_call_t *call, int64_t now_ms);
/* Returns whether an endpoint has a clearly higher error ratio than the best other candidate. */
bool cw_pick_is_error_outlier(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count, const char *vm,
			      int64_t now_ms);
/* Counts a call of a route sent to an endpoint as outstanding until cw_pick_ended(). */
void cw_pick_sent(cw_pick_t *pick, const char *vm, uint64_t incarnation, uint64_t route);
/* Records the result of a call and the reported load. */
void cw_pick_ended(cw_pick_t *pick, const char *vm, uint64_t incarnation, cw_pick_result_t result,
		   const cw_pick_load_t *load, int64_t now_ms);
/* Removes the statistics of endpoints without results since before_ms. */
void cw_pick_expire(cw_pick_t *pick, int64_t before_ms);

/* ---- retry budget ------------------------------------------------------------------------------------ */

typedef struct {
	uint32_t percent; /* retries allowed, in percent of the calls */
	double tokens;	  /* each allows one retry */
} cw_budget_t;

/* Initializes a full bucket, or an empty one if percent is 0: then no retry is allowed. */
void cw_budget_init(cw_budget_t *budget, uint32_t percent);
/* Adds the fraction of a token that a call earns. */
void cw_budget_deposit(cw_budget_t *budget);
/* Takes a token for a retry; returns false when the bucket holds no whole token. */
bool cw_budget_take(cw_budget_t *budget);
/* The same, only while the bucket is more than half full. */
bool cw_budget_take_optional(cw_budget_t *budget);

/* ---- allotments: the rates of client accounts, over all proxies together --------------------------- */

enum {
	CW_ALLOTMENT_OWNERS = 2, /* the owner of an account, and its substitute */
	/* A token is spent within this time after its origin asked for it, or not at all. */
	CW_ALLOTMENT_TOKEN_MS = 500,
	/* The same while an account uses all of its limit, and all tokens are spent at once. */
	CW_ALLOTMENT_SCARCE_MS = 200,
	/* The same for the spare tokens that come with a grant while the account is well within its limit. */
	CW_ALLOTMENT_SPARE_MS = 1000,
	CW_ALLOTMENT_MAX_WINDOW_MS = 10000,
	/* A substitute grants tokens once the owner has not answered it for this time. */
	CW_ALLOTMENT_PROBE_MS = 150
};

/*
 * Selects the owner of an account and its substitute by rendezvous hashing over the VMs of proxies: stores
 * their indexes in ranked[], and returns how many there are.
 */
size_t cw_allotment_rank(uint64_t account, const char *const *vms, size_t count,
			 size_t ranked[CW_ALLOTMENT_OWNERS]);

/*
 * The limit of an account: with a window, no more than the rate gives in it plus the burst in any window of that
 * length; without, a token bucket, which allows the burst only after a time below the rate.
 */
typedef struct {
	double calls_per_s;
	double burst;
	uint32_t window_ms;	   /* 0: none; at most CW_ALLOTMENT_MAX_WINDOW_MS */
	uint32_t overage_permille; /* by which a window may exceed the limit */
} cw_allotment_limit_t;

/* What entitles a proxy to grant tokens of an account. */
typedef enum {
	CW_ALLOTMENT_OWNER,	 /* it is the owner, in a confirmed configuration */
	CW_ALLOTMENT_SUBSTITUTE, /* it is not first by rank; another proxy may grant as well */
	CW_ALLOTMENT_UNCONFIRMED /* it may have been replaced without knowing it */
} cw_allotment_title_t;

/* What an origin asks for. */
typedef struct {
	uint64_t origin; /* any number that tells origins apart, not 0 */
	uint32_t tokens;
	uint32_t unspent; /* tokens of earlier grants that have expired since it asked last */
} cw_allotment_need_t;

typedef struct {
	uint32_t tokens;
	uint32_t spare_tokens;	 /* beyond what was asked for */
	bool scarce;		 /* the tokens are valid for CW_ALLOTMENT_SCARCE_MS */
	uint32_t retry_after_ms; /* with fewer tokens than asked: until there may be some */
} cw_allotment_grant_t;

typedef struct cw_allotment_owner cw_allotment_owner_t;

cw_allotment_owner_t *cw_allotment_owner_new(void);
void cw_allotment_owner_free(cw_allotment_owner_t *owner);
/*
 * Grants up to the number of tokens that an origin asks for from the token bucket of an account.  Before since_ms
 * another proxy may have granted tokens.
 */
cw_allotment_grant_t cw_allotment_owner_grant(cw_allotment_owner_t *owner, uint64_t account,
					      const cw_allotment_limit_t *limit, cw_allotment_title_t title,
					      int64_t since_ms, const cw_allotment_need_t *need,
					      int64_t now_ms);
/* Removes the buckets that nobody has asked for since before_ms. */
void cw_allotment_owner_expire(cw_allotment_owner_t *owner, int64_t before_ms);
size_t cw_allotment_owner_count(const cw_allotment_owner_t *owner);

/* What becomes of a call of an account. */
typedef enum {
	CW_ALLOTMENT_TAKEN,  /* a token was spent on it */
	CW_ALLOTMENT_WAIT,   /* it waits for a grant; take again after each event */
	CW_ALLOTMENT_REFUSED /* the account has used its allotment */
} cw_allotment_verdict_t;

typedef struct cw_allotment_origin cw_allotment_origin_t;

/* A request for tokens to send. */
typedef struct {
	uint64_t account;
	uint64_t request; /* number of the request, to be passed to cw_allotment_origin_granted() */
	uint32_t tokens;
	uint32_t unspent;
	uint32_t rank; /* 0: to the owner, 1: to the substitute */
} cw_allotment_ask_t;

cw_allotment_origin_t *cw_allotment_origin_new(void);
void cw_allotment_origin_free(cw_allotment_origin_t *origin);
/*
 * Spends a token on a call; first_try is false for a call that has waited.  With CW_ALLOTMENT_REFUSED,
 * *retry_after_ms is when there may be tokens.
 */
cw_allotment_verdict_t cw_allotment_origin_take(cw_allotment_origin_t *origin, uint64_t account,
						bool first_try, int64_t now_ms, uint32_t *retry_after_ms);
/* Notes that a call that waited for a token was given up. */
void cw_allotment_origin_leave(cw_allotment_origin_t *origin, uint64_t account);
/* Stores the next request for tokens that is due; returns false when there is none. */
bool cw_allotment_origin_next_ask(cw_allotment_origin_t *origin, int64_t now_ms, cw_allotment_ask_t *ask);
/* Records the answer to a request; late and crossed ones have no effect. */
void cw_allotment_origin_granted(cw_allotment_origin_t *origin, uint64_t account, uint64_t request,
				 const cw_allotment_grant_t *grant, int64_t now_ms);
/* Why a request for tokens has brought none. */
typedef enum {
	CW_ALLOTMENT_UNSENT,  /* there is no connection: one may be opening */
	CW_ALLOTMENT_DECLINED /* the receiver does not grant tokens of the account at present */
} cw_allotment_failure_t;

/* Records that a request has failed.  It is sent again soon, until it times out. */
void cw_allotment_origin_failed(cw_allotment_origin_t *origin, uint64_t account, uint64_t request,
				cw_allotment_failure_t failure, int64_t now_ms);
/* What a timer of an origin leads to. */
typedef enum {
	CW_ALLOTMENT_NO_EVENT,
	CW_ALLOTMENT_CREDIT,	 /* a waiting call of the account may go on without a grant: take again */
	CW_ALLOTMENT_UNAVAILABLE /* no proxy grants tokens of the account: its waiting calls are to be refused */
} cw_allotment_event_type_t;

typedef struct {
	cw_allotment_event_type_t type;
	uint64_t account;
} cw_allotment_event_t;

/* Runs the timers of requests; to be called until it returns CW_ALLOTMENT_NO_EVENT. */
cw_allotment_event_t cw_allotment_origin_tick(cw_allotment_origin_t *origin, int64_t now_ms);
/* Returns when cw_allotment_origin_tick() is due; INT64_MAX: never. */
int64_t cw_allotment_origin_next_tick_ms(const cw_allotment_origin_t *origin);
/* Removes accounts without calls since before_ms. */
void cw_allotment_origin_expire(cw_allotment_origin_t *origin, int64_t before_ms);

/* ---- one call at its origin, the sending proxy -------------------------------------------------------- */

enum { CW_CALL_MAX_ATTEMPTS = 8 };

typedef enum {
	CW_ATTEMPT_WAITING,  /* sent, no reply yet */
	CW_ATTEMPT_REVOKING, /* revocation sent, no reply yet */
	CW_ATTEMPT_STARTED,  /* revoked too late: the receiver had started it */
	CW_ATTEMPT_NOT_RUN,  /* certainly not run */
	CW_ATTEMPT_UNKNOWN   /* may have been run */
} cw_attempt_state_t;

typedef struct {
	uint64_t sequence;
	cw_attempt_state_t state;
	int64_t timer_ms; /* when to revoke it, or to repeat the revocation or give the attempt up */
} cw_attempt_t;

typedef struct {
	bool idempotent;
	bool may_retry;		   /* false for a call that is part of a retry made upstream */
	uint32_t max_arrivals;	   /* most attempts that may reach a target; 0: not limited */
	uint32_t crowded_refusals; /* receivers that refused it as crowded */
	uint32_t arrivals;	   /* attempts that reached a target, or may have */
	int64_t start_ms;
	int64_t deadline_ms;	  /* the caller needs the answer by then */
	int64_t margin_ms;	  /* before deadline_ms, reserved for revocation */
	int64_t backoff_until_ms; /* when to choose an endpoint again; 0: not backing off */
	uint32_t backoffs;	  /* number of backoffs so far */
	cw_reason_t reason;	  /* of the last refusal or failure */
	bool out_of_budget;	  /* a retry was not made because the budget was used up */
	bool has_error_answer;	  /* a target's error is kept while another target is tried */
	cw_attempt_t attempts[CW_CALL_MAX_ATTEMPTS];
	uint32_t attempt_count;
} cw_call_t;

typedef enum {
	CW_CALL_EV_START,	/* the first event of a call */
	CW_CALL_EV_SENT,	/* an attempt was sent; with sequence */
	CW_CALL_EV_NO_ENDPOINT, /* no endpoint is left to try */
	CW_CALL_EV_SEND_FAILED, /* the request could not be sent */
	CW_CALL_EV_ANSWERED,	/* the target answered; with sequence and error */
	CW_CALL_EV_NOT_RUN,	/* the attempt was not run; with sequence, reason and arrived */
	CW_CALL_EV_UNKNOWN,	/* the attempt may have been run; with sequence and reason */
	CW_CALL_EV_REVOKED,	/* reply to a revocation; with sequence, never_started and kept */
	CW_CALL_EV_TICK		/* the time of cw_call_next_tick_ms() has come */
} cw_call_event_type_t;

typedef struct {
	cw_call_event_type_t type;
	uint64_t sequence;
	cw_reason_t reason; /* also of NO_ENDPOINT: CROWDED when links leave too little time */
	bool never_started; /* REVOKED: the attempt has not started and never will */
	bool kept;	    /* REVOKED: it stays in the queue, as keep_queued allowed */
	bool arrived;	    /* NOT_RUN: it reached a target nevertheless */
	bool error;	    /* ANSWERED: with an error that another target may not give */
} cw_call_event_t;

typedef enum {
	CW_CALL_AC_NONE,	 /* wait for the next event */
	CW_CALL_AC_TRY,		 /* choose an endpoint and send; then SENT, SEND_FAILED or NO_ENDPOINT */
	CW_CALL_AC_TRY_ALL,	 /* the same, with the endpoints tried before included again */
	CW_CALL_AC_REVOKE,	 /* send a revocation of the attempt with the sequence */
	CW_CALL_AC_ANSWER,	 /* return the target's answer */
	CW_CALL_AC_ANSWER_ERROR, /* return the error kept from an earlier attempt */
	CW_CALL_AC_REFUSE,	 /* outcome not run, with the reason */
	CW_CALL_AC_FAIL		 /* outcome unknown, with the reason */
} cw_call_action_type_t;

typedef struct {
	cw_call_action_type_t type;
	uint64_t sequence;
	cw_reason_t reason;
	bool retry;	  /* TRY: it is a retry, to be counted under the reason */
	bool keep_queued; /* REVOKE: unless it is queued and expected to be answered in time */
} cw_call_action_t;

/* Returns the origin of the calls that a proxy sends. */
uint64_t cw_call_origin(const char *vm, uint64_t incarnation);
/* Initializes a call without attempts. */
void cw_call_init(cw_call_t *call, bool idempotent, bool may_retry, int64_t now_ms, int64_t deadline_ms);
/* Handles one event and returns the action to carry out; the budget is that of the called service. */
cw_call_action_t cw_call_step(cw_call_t *call, cw_budget_t *budget, const cw_call_event_t *event,
			      int64_t now_ms);
/* Returns when the next TICK is due. */
int64_t cw_call_next_tick_ms(const cw_call_t *call);
/* Returns the time from which a receiver refuses to start the call. */
int64_t cw_call_receiver_deadline_ms(const cw_call_t *call);
/* Returns how long a started call may run beyond that time, in milliseconds. */
uint32_t cw_call_run_on_ms(const cw_call_t *call);

#endif
