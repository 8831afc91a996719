/* See play.h. */
#include "play.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>

#include "libcaraway.h"

enum {
	MAX_TARGETS = 32,
	MAX_ORIGINS = 80,
	SLOTS = 12,
	QUEUE = 64,
	HOP_MS = 1,
	MAX_ASKED = 3,	 /* receivers asked in one try */
	SPARE_AFTER = 2, /* as in forward.c */
	HERD_MS = 100,
	MAX_TRIES = 2,	/* of a caller */
	WAIT_PART = 3,	/* callers wait for this part of the time they have left at most */
	TAIL_MS = 3000, /* after the last arrival */
	ERROR_MS = 3,	/* that a call takes which ends with an error at once */
	MS_PER_S = 1000
};

static const char *const zones[PLAY_ZONES] = {"a", "b", "c", "d"};

typedef enum { CALLER_SENDS, CALLER_QUEUED, CALLER_RUNS, CALLER_ENDED } caller_state_t;

/* One caller's request, through its tries. */
typedef struct {
	caller_state_t state;
	int kind;
	int origin;
	int64_t first_ms;
	int64_t deadline_ms;
	int64_t due_ms; /* when it sends or its run ends */
	int tries;
	int asked;	   /* receivers, in this try */
	int64_t useful_ms; /* until then an answer is of full use, as its proxy sees it */
	uint32_t tried;	   /* a bit a target */
	int target;
	cw_call_id_t id;
	int64_t started_ms;
	bool fails; /* its run ends with an error */
	cw_refused_call_t retry;
} caller_t;

/* What the callers of a kind got. */
typedef struct {
	unsigned asked;
	unsigned in_time;
	unsigned late;
	unsigned refused;
	unsigned errors;
} play_got_t;

/* A load being played. */
struct play {
	const play_load_t *load;
	bool baseline;
	cw_admit_t *admits[MAX_TARGETS];
	GQueue lines[MAX_TARGETS]; /* of the baseline: caller_t * */
	int running[MAX_TARGETS];
	char *vms[MAX_TARGETS];
	cw_pick_t *picks[MAX_ORIGINS];
	cw_prior_wait_t *patience[MAX_ORIGINS];
	gsl_rng *random;
	GRand *arrivals;    /* drawn apart, so that every play of a load has the same callers */
	GPtrArray *callers; /* that have not ended */
	GPtrArray *ended;
	GPtrArray *by_cookie; /* caller_t * by cookie - 1 */
	uint64_t sequence;
	int64_t now_ms;
	unsigned turns;
	unsigned started;
	unsigned crossed;
	double busy_ms; /* of all slots while callers come */
	play_got_t got[PLAY_KINDS];
};

/* Returns how long a call runs at a target. */
static int64_t draw_time(const play_t *play, const play_kind_t *kind, int target)
{
	double cold = play->now_ms < play->load->cold_ms ? play->load->cold_factor : 1;
	double sigma = sqrt(log(1 + kind->spread * kind->spread));
	double time_ms = gsl_ran_lognormal(play->random, log(kind->mean_ms) - sigma * sigma / 2, sigma);

	return MAX(1, (int64_t)(time_ms * cold *
				play->load->slowness[(target + target / PLAY_ZONES) % PLAY_ZONES]));
}

/* Returns the kind of a caller. */
static const play_kind_t *kind_of(const play_t *play, const caller_t *caller)
{
	return &play->load->kinds[caller->kind];
}

/* Ends a caller's request without an answer. */
static void give_up(play_t *play, caller_t *caller)
{
	caller->state = CALLER_ENDED;
	play->got[caller->kind].refused++;
}

/* Refuses a caller: it comes back when it is told to, or gives up. */
static void refuse(play_t *play, caller_t *caller)
{
	int64_t left_ms = caller->deadline_ms - play->now_ms;

	if (++caller->tries >= MAX_TRIES || left_ms <= 0) {
		give_up(play, caller);
		return;
	}
	caller->state = CALLER_SENDS;
	caller->retry.left_ms = left_ms;
	caller->due_ms = play->now_ms + MIN(cw_retry_after_ms(&caller->retry, gsl_rng_uniform(play->random)),
					    left_ms / WAIT_PART);
	caller->retry = (cw_refused_call_t){0};
	caller->asked = 0;
	caller->tried = 0;
}

/* Starts a caller's call at its target. */
static void start(play_t *play, caller_t *caller)
{
	caller->state = CALLER_RUNS;
	caller->started_ms = play->now_ms;
	caller->due_ms = play->now_ms + draw_time(play, kind_of(play, caller), caller->target);
	caller->fails = play->now_ms < play->load->errors_ms;
	if (caller->fails)
		caller->due_ms = play->now_ms + ERROR_MS;
	play->started++;
	play->crossed += caller->target % PLAY_ZONES != caller->origin % PLAY_ZONES;
}

/* Tells the caller's proxy how an attempt ended, with the load that the answer carries. */
static void tell_pick(play_t *play, const caller_t *caller, cw_pick_result_t result)
{
	const cw_admit_t *admit = play->admits[caller->target];
	const cw_pick_load_t load = {.in_use = cw_admit_load(admit),
				     .slots = SLOTS,
				     .route = (uint64_t)caller->kind + 1,
				     .service_ms =
					     (uint32_t)cw_admit_service_ms(admit, (uint64_t)caller->kind + 1),
				     .wait_ms = cw_admit_wait_ms(admit, play->now_ms)};

	cw_pick_ended(play->picks[caller->origin], play->vms[caller->target], 1, result, &load, play->now_ms);
}

static void ask(play_t *play, caller_t *caller);

/* Takes a receiver's refusal: asks another, or refuses the caller. */
static void take_refusal(play_t *play, caller_t *caller)
{
	const cw_admit_t *admit = play->admits[caller->target];
	uint32_t wait_ms = cw_admit_wait_ms(admit, play->now_ms);

	tell_pick(play, caller, CW_PICK_REFUSED);
	if (!caller->retry.wait_ms || wait_ms < caller->retry.wait_ms) {
		caller->retry.wait_ms = wait_ms;
		caller->retry.service_ms = (uint32_t)cw_admit_service_ms(admit, (uint64_t)caller->kind + 1);
	}
	caller->retry.useful_ms = caller->useful_ms - play->now_ms;
	caller->tried |= 1u << caller->target;
	if (++caller->asked < MAX_ASKED)
		ask(play, caller);
	else
		refuse(play, caller);
}

/* Brings a caller's call to the receiver chosen for it. */
static void arrive(play_t *play, caller_t *caller)
{
	const play_kind_t *kind = kind_of(play, caller);
	cw_reason_t reason;
	cw_admit_call_t call = {.route = (uint64_t)caller->kind + 1,
				.priority = kind->priority,
				.deadline_ms = caller->deadline_ms - HOP_MS,
				.useful_ms = caller->useful_ms - HOP_MS};

	g_ptr_array_add(play->by_cookie, caller);
	call.cookie = play->by_cookie->len;
	call.id = caller->id = (cw_call_id_t){.origin = 1, .sequence = ++play->sequence};
	switch (cw_admit_arrive(play->admits[caller->target], &call, play->now_ms, &reason)) {
	case CW_ADMIT_START:
		start(play, caller);
		break;
	case CW_ADMIT_QUEUE:
		caller->state = CALLER_QUEUED;
		break;
	default:
		take_refusal(play, caller);
		break;
	}
}

/* Sends a caller's call to a target by choice, or by turns in the baseline. */
static void ask(play_t *play, caller_t *caller)
{
	const cw_pick_call_t want = {.route = (uint64_t)caller->kind + 1,
				     .slack_ms = caller->useful_ms - play->now_ms,
				     .left_ms = caller->deadline_ms - play->now_ms,
				     .least_loaded = caller->asked >= SPARE_AFTER};
	cw_candidate_t candidates[MAX_TARGETS];

	if (play->baseline) {
		caller->target = (int)(play->turns++ % (unsigned)play->load->targets);
		caller->state = CALLER_QUEUED;
		g_queue_push_tail(&play->lines[caller->target], caller);
		return;
	}
	for (int i = 0; i < play->load->targets; i++)
		candidates[i] = (cw_candidate_t){.vm = play->vms[i],
						 .zone = zones[i % PLAY_ZONES],
						 .incarnation = 1,
						 .slots = SLOTS,
						 .excluded = caller->tried >> i & 1};
	caller->target = cw_pick_choose(play->picks[caller->origin], candidates, (size_t)play->load->targets,
					&want, play->now_ms);
	if (caller->target < 0) {
		refuse(play, caller);
		return;
	}
	cw_pick_sent(play->picks[caller->origin], play->vms[caller->target], 1);
	arrive(play, caller);
}

/* Returns how a run ends for the target. */
static cw_admit_result_t end_of(const play_t *play, const caller_t *caller)
{
	if (play->now_ms >= caller->deadline_ms)
		return CW_ADMIT_FAILED;
	return caller->fails ? CW_ADMIT_ERROR : CW_ADMIT_ANSWERED;
}

/* Ends a run: the caller has its answer, if it still waits. */
static void finish(play_t *play, caller_t *caller)
{
	play_got_t *got = &play->got[caller->kind];
	int64_t took_ms = play->now_ms + HOP_MS - caller->first_ms;

	if (play->baseline) {
		play->running[caller->target]--;
	} else {
		cw_admit_done(play->admits[caller->target], &caller->id, (uint64_t)caller->kind + 1,
			      end_of(play, caller), caller->started_ms, play->now_ms);
		tell_pick(play, caller, caller->fails ? CW_PICK_ERROR : CW_PICK_ANSWERED);
	}
	caller->state = CALLER_ENDED;
	if (caller->fails)
		got->errors++;
	else if (took_ms <= kind_of(play, caller)->target_ms)
		got->in_time++;
	else if (play->now_ms < caller->deadline_ms)
		got->late++;
	else
		got->refused++;
}

/* Starts or refuses what waits at a target. */
static void serve_queue(play_t *play, int target)
{
	cw_admit_verdict_t verdict;
	cw_reason_t reason;
	uint64_t cookie;

	while (cw_admit_next(play->admits[target], play->now_ms, &cookie, &verdict, &reason)) {
		caller_t *caller = play->by_cookie->pdata[cookie - 1];

		if (verdict == CW_ADMIT_START)
			start(play, caller);
		else
			take_refusal(play, caller);
	}
}

/* Starts what waits at a target of the baseline, first come first served. */
static void serve_line(play_t *play, int target)
{
	while (play->running[target] < SLOTS && play->lines[target].length) {
		caller_t *caller = g_queue_pop_head(&play->lines[target]);

		if (play->now_ms >= caller->deadline_ms) {
			give_up(play, caller);
			continue;
		}
		play->running[target]++;
		start(play, caller);
	}
}

/* Returns the time that a new caller of a kind allows. */
static int64_t allowed_ms(const play_t *play, int kind)
{
	double all_ms = (double)play->load->kinds[kind].deadline_ms;
	double least = play->load->patience;

	if (least <= 0)
		return (int64_t)all_ms;
	return (int64_t)(all_ms * (least + (1 - least) * g_rand_double(play->arrivals)));
}

/* Adds a caller who comes now. */
static void add_caller(play_t *play, int kind)
{
	caller_t *caller = g_new0(caller_t, 1);

	caller->kind = kind;
	caller->origin = g_rand_int_range(play->arrivals, 0, play->load->origins);
	caller->first_ms = caller->due_ms = play->now_ms;
	caller->deadline_ms = play->now_ms + allowed_ms(play, kind);
	g_ptr_array_add(play->callers, caller);
	play->got[kind].asked++;
}

/* Lets the callers of this millisecond come. */
static void add_callers(play_t *play)
{
	for (int kind = 0; kind < play->load->kind_count; kind++) {
		double expected = play->load->kinds[kind].per_s / MS_PER_S;
		int whole = (int)expected;

		for (int i = 0; i < whole; i++)
			add_caller(play, kind);
		if (g_rand_double(play->arrivals) < expected - whole)
			add_caller(play, kind);
	}
	for (int i = 0; play->now_ms < HERD_MS && i < play->load->herd; i++)
		add_caller(play, 0);
}

/* Brings a caller to its proxy, which sees no more than how long it still waits. */
static void send(play_t *play, caller_t *caller)
{
	int64_t left_ms = caller->deadline_ms - play->now_ms;

	caller->useful_ms = play->now_ms + kind_of(play, caller)->target_ms -
			    cw_prior_wait_estimate_ms(play->patience[caller->origin],
						      (uint64_t)caller->kind + 1, left_ms);
	ask(play, caller);
}

/* Does what is due for a caller. */
static void run_caller(play_t *play, caller_t *caller)
{
	int64_t deadline_ms = caller->deadline_ms;
	bool stopped = caller->state == CALLER_RUNS && play->now_ms >= deadline_ms;

	if (caller->state == CALLER_SENDS && play->now_ms >= deadline_ms)
		give_up(play, caller);
	else if (caller->state == CALLER_SENDS && play->now_ms >= caller->due_ms)
		send(play, caller);
	else if (caller->state == CALLER_RUNS && (stopped || play->now_ms >= caller->due_ms))
		finish(play, caller);
}

/* Sets the callers apart that have ended. */
static void drop_ended(play_t *play)
{
	for (guint i = play->callers->len; i-- > 0;) {
		caller_t *caller = play->callers->pdata[i];

		if (caller->state == CALLER_ENDED) {
			g_ptr_array_remove_index_fast(play->callers, i);
			g_ptr_array_add(play->ended, caller);
		}
	}
}

/* Plays one millisecond. */
static void step(play_t *play)
{
	if (play->now_ms < play->load->length_ms)
		add_callers(play);
	for (guint i = 0; i < play->callers->len; i++) {
		caller_t *caller = play->callers->pdata[i];

		play->busy_ms += caller->state == CALLER_RUNS && play->now_ms < play->load->length_ms;
		run_caller(play, caller);
	}
	for (int i = 0; i < play->load->targets; i++)
		if (play->baseline)
			serve_line(play, i);
		else
			serve_queue(play, i);
	drop_ended(play);
	play->now_ms++;
}

double play_worth(const play_t *play)
{
	double got = 0;
	double owed = 0;

	for (int i = 0; i < play->load->kind_count; i++) {
		const play_kind_t *kind = &play->load->kinds[i];

		got += kind->worth * play->got[i].in_time + kind->late_worth * play->got[i].late;
		owed += kind->worth * play->got[i].asked;
	}
	return got / owed;
}

/* Prints what callers got. */
static void print_play(const play_t *play, const char *name)
{
	if (!g_getenv("LOAD_VERBOSE"))
		return;
	printf("%-22s %-8s worth %.3f crossed %.2f busy %.2f", name, play->baseline ? "baseline" : "product",
	       play_worth(play), (double)play->crossed / play->started,
	       play->busy_ms / ((double)play->load->length_ms * play->load->targets * SLOTS));
	for (int i = 0; i < play->load->kind_count; i++)
		printf("  %s %u: %.3f in time %.3f late %.3f refused", play->load->kinds[i].name,
		       play->got[i].asked, (double)play->got[i].in_time / play->got[i].asked,
		       (double)play->got[i].late / play->got[i].asked,
		       (double)play->got[i].refused / play->got[i].asked);
	printf("\n");
}

play_t *play_run(const play_load_t *load, bool baseline, const char *name)
{
	play_t *play = g_new0(play_t, 1);
	const cw_admit_options_t options = {.slots = SLOTS, .queue = QUEUE, .ramp_ms = 0};

	play->load = load;
	play->baseline = baseline;
	play->random = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(play->random, 7);
	play->arrivals = g_rand_new_with_seed(11);
	play->callers = g_ptr_array_new();
	play->ended = g_ptr_array_new_with_free_func(g_free);
	play->by_cookie = g_ptr_array_new();
	for (int i = 0; i < load->targets; i++) {
		play->vms[i] = g_strdup_printf("vm-%d", i);
		play->admits[i] = cw_admit_new(&options);
		cw_admit_mark_warm(play->admits[i], 0);
		g_queue_init(&play->lines[i]);
	}
	for (int i = 0; i < load->origins; i++) {
		play->picks[i] = cw_pick_new(zones[i % PLAY_ZONES], (uint64_t)i + 1);
		play->patience[i] = cw_prior_wait_new();
	}
	while (play->now_ms < load->length_ms + TAIL_MS)
		step(play);
	print_play(play, name);
	return play;
}

void play_free(play_t *play)
{
	g_ptr_array_set_free_func(play->callers, g_free);
	g_ptr_array_free(play->callers, TRUE);
	g_ptr_array_free(play->ended, TRUE);
	g_ptr_array_free(play->by_cookie, TRUE);
	for (int i = 0; i < play->load->targets; i++) {
		cw_admit_free(play->admits[i]);
		g_queue_clear(&play->lines[i]);
		g_free(play->vms[i]);
	}
	for (int i = 0; i < play->load->origins; i++) {
		cw_pick_free(play->picks[i]);
		cw_prior_wait_free(play->patience[i]);
	}
	gsl_rng_free(play->random);
	g_rand_free(play->arrivals);
	g_free(play);
}

double play_in_time(const play_t *play, int kind)
{
	return (double)play->got[kind].in_time / play->got[kind].asked;
}
