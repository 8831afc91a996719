/*
 * All orders, up to a depth, of the events in the life of a target and of the proxy beside it: the target
 * starts, announces itself, leaves, deregisters and ends; announcements arrive late, out of order and twice;
 * the proxy restarts; the health check answers; time passes.
 *
 * After an acknowledgement that an incarnation is leaving, it is not in use again; and a sound target is in use
 * after its next announcement and health check.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

enum {
	TIMEOUT_S = 300,
	DEFAULT_DEPTH = 9, /* events in an order; LIFE_DEPTH sets another */
	MAX_DEPTH = 16,
	MAX_INCARNATIONS = 2,
	MAX_MESSAGES = 4,   /* sent by the target in one order */
	MAX_DELIVERIES = 2, /* of one message */
	START_INTERVAL_MS = 1000,
	MESSAGE_LIFE_MS = 10000, /* later a message does not arrive any more */
	WAIT_MS = MESSAGE_LIFE_MS + 1
};

#define SERVICE "konvoj"
#define ADDRESS "10.0.0.1:80"

typedef enum {
	STEP_START,	 /* the target starts as a new incarnation, and announces itself */
	STEP_BEAT,	 /* it announces itself again */
	STEP_LEAVE,	 /* it announces that it leaves */
	STEP_DEREGISTER, /* it deregisters, without its start time */
	STEP_END,	 /* it ends, or is killed */
	STEP_RESTART,	 /* the proxy restarts */
	STEP_CHECK,	 /* the health check is answered */
	STEP_WAIT,	 /* no message that was sent so far arrives any more */
	STEP_DELIVER	 /* and following: a message arrives */
} step_t;

static const char *const step_names[] = {"start", "beat",    "leave", "deregister",
					 "end",	  "restart", "check", "wait"};

/* An announcement on its way. */
typedef struct {
	int incarnation; /* 1 is the first */
	uint64_t sequence;
	bool leaving;
	bool has_start;
	int64_t sent_ms;
	int deliveries;
} message_t;

/* The target, the network and the proxy. */
typedef struct {
	cw_target_t *proxy;
	int64_t now_ms;
	int newest; /* incarnation; 0: none yet */
	bool running;
	bool leaving;
	uint64_t sequence; /* of its last announcement */
	message_t messages[MAX_MESSAGES + 1];
	int message_count;
	int left; /* newest incarnation acknowledged as leaving; 0: none */
} world_t;

/* What a search has seen. */
typedef struct {
	int depth;
	unsigned long orders;
	char violation[512]; /* "": none */
} search_t;

/* Returns the identifier of an incarnation. */
static const char *id_of(int incarnation)
{
	static const char *const ids[] = {"", "i-1", "i-2"};

	return ids[incarnation];
}

/* Sends an announcement of the target. */
static void send_message(world_t *world, bool leaving, bool has_start)
{
	world->messages[world->message_count++] = (message_t){.incarnation = world->newest,
							      .sequence = ++world->sequence,
							      .leaving = leaving,
							      .has_start = has_start,
							      .sent_ms = world->now_ms};
}

/* Delivers a message to the proxy; returns false when it cannot arrive. */
static bool deliver(world_t *world, int position)
{
	message_t *message = &world->messages[position];
	cw_announcement_t announcement = {.service = SERVICE, .address = ADDRESS};
	cw_target_verdict_t verdict;

	if (position >= world->message_count || message->deliveries >= MAX_DELIVERIES ||
	    world->now_ms > message->sent_ms + MESSAGE_LIFE_MS)
		return false;
	message->deliveries++;
	announcement.id = id_of(message->incarnation);
	announcement.started_ms = message->has_start ? (int64_t)message->incarnation * START_INTERVAL_MS : 0;
	announcement.sequence = message->sequence;
	announcement.leaving = message->leaving;
	verdict = cw_target_announce(world->proxy, &announcement, world->now_ms);
	if (message->leaving && (verdict == CW_TARGET_APPLIED || verdict == CW_TARGET_STALE))
		world->left = MAX(world->left, message->incarnation);
	return true;
}

/* Restarts the proxy, which then knows of no announcement. */
static void restart_proxy(world_t *world)
{
	if (world->proxy)
		cw_target_free(world->proxy);
	world->proxy = cw_target_new(SERVICE, ADDRESS, world->now_ms);
}

/* Carries out one step; returns false when it is not possible in this state. */
static bool take_step(world_t *world, int step)
{
	bool can_send = world->running && world->message_count < MAX_MESSAGES;

	switch (step) {
	case STEP_START:
		if (world->running || world->newest == MAX_INCARNATIONS ||
		    world->message_count >= MAX_MESSAGES)
			return false;
		world->newest++;
		world->running = true;
		world->leaving = false;
		world->sequence = 0;
		send_message(world, false, true);
		return true;
	case STEP_BEAT:
		if (!can_send || world->leaving)
			return false;
		send_message(world, false, true);
		return true;
	case STEP_LEAVE:
	case STEP_DEREGISTER:
		if (!can_send)
			return false;
		world->leaving = true;
		send_message(world, true, step == STEP_LEAVE);
		return true;
	case STEP_END:
		if (!world->running)
			return false;
		world->running = false;
		return true;
	case STEP_RESTART:
		restart_proxy(world);
		return true;
	case STEP_CHECK:
		return world->running && !world->leaving &&
		       cw_target_confirm(world->proxy, id_of(world->newest));
	case STEP_WAIT:
		world->now_ms += WAIT_MS;
		return true;
	default:
		return deliver(world, step - STEP_DELIVER);
	}
}

/* Returns whether an incarnation is in use that was acknowledged as leaving, or one before that. */
static bool uses_left_target(const world_t *world)
{
	for (int incarnation = 1; incarnation <= world->left; incarnation++)
		if (cw_target_is_up(world->proxy) &&
		    g_str_equal(cw_target_id(world->proxy), id_of(incarnation)))
			return true;
	return false;
}

/* Returns whether a sound target is not in use after its next announcement and the health check. */
static bool keeps_sound_target_out(world_t *world)
{
	if (!world->running || world->leaving)
		return false;
	send_message(world, false, true);
	deliver(world, world->message_count - 1);
	if (cw_target_awaits_check(world->proxy))
		cw_target_confirm(world->proxy, id_of(world->newest));
	return !cw_target_is_up(world->proxy) ||
	       !g_str_equal(cw_target_id(world->proxy), id_of(world->newest));
}

/* Records an order that violates a property. */
static void record_violation(search_t *search, const int *steps, int count, const char *property)
{
	g_autoptr(GString) text = g_string_new(property);

	for (int i = 0; i < count; i++)
		if (steps[i] < STEP_DELIVER)
			g_string_append_printf(text, " %s", step_names[steps[i]]);
		else
			g_string_append_printf(text, " deliver-%d", steps[i] - STEP_DELIVER + 1);
	g_strlcpy(search->violation, text->str, sizeof(search->violation));
}

/* Plays an order of steps from the beginning and checks the properties at its end; returns false if it is impossible. */
static bool play(search_t *search, const int *steps, int count)
{
	world_t world = {0};
	bool possible = true;

	restart_proxy(&world);
	for (int i = 0; i < count && possible; i++)
		possible = take_step(&world, steps[i]);
	if (possible && uses_left_target(&world))
		record_violation(search, steps, count, "uses a target that has left:");
	else if (possible && keeps_sound_target_out(&world))
		record_violation(search, steps, count, "keeps a sound target out:");
	cw_target_free(world.proxy);
	return possible;
}

/* Plays all orders that begin with the given steps. */
static void explore(search_t *search, int *steps, int count)
{
	for (int step = 0; step < STEP_DELIVER + MAX_MESSAGES && !*search->violation; step++) {
		steps[count] = step;
		if (!play(search, steps, count + 1))
			continue;
		search->orders++;
		if (count + 1 < search->depth)
			explore(search, steps, count + 1);
	}
}

/* DRAIN: a target that has left is in use again, or a sound one is kept out, in some order of events. */
START_TEST(test_target_that_left_stays_out_in_all_orders)
{
	const char *depth = g_getenv("LIFE_DEPTH");
	search_t search = {.depth = depth ? CLAMP(atoi(depth), 1, MAX_DEPTH) : DEFAULT_DEPTH};
	int steps[MAX_DEPTH];

	explore(&search, steps, 0);
	printf("%lu orders of up to %d events\n", search.orders, search.depth);
	ck_assert_msg(!*search.violation, "%s", search.violation);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("target_life");
	TCase *tcase = tcase_create("target_life");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_target_that_left_stays_out_in_all_orders);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
