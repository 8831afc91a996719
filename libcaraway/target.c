/*
 * State of the target of a proxy, from the announcements that the target sends.
 *
 * Each start of a target is a new incarnation with its own start time and nearly
 * always its own identifier.  Announcements may arrive late or out of order,
 * even after the incarnation that they describe has ended.
 *
 * A process that has just started does not know which announcements an earlier
 * process of this proxy was sent, so one that arrives late may contradict a later
 * one that was acknowledged there.  Until no such announcement can be on its way any
 * more, an incarnation is used only once its health check has confirmed it.
 */
#include "internal.h"

/* Longest time that an announcement is on its way. */
enum { MAX_ANNOUNCEMENT_DELAY_MS = 10000 };

struct cw_target {
	char *service;
	char *address;
	char *id;	    /* of the current incarnation; NULL while it is not known */
	int64_t started_ms; /* start of the current incarnation, UTC, or of an earlier one; 0: not announced */
	bool has_start;	    /* started_ms is that of the current incarnation */
	uint64_t sequence;  /* of the last announcement applied */
	uint32_t slots;	    /* 0: not announced */
	int64_t warmup_end_ms; /* by the clock of cw_target_announce() */
	bool leaving;
	bool confirmed; /* this incarnation, or an earlier one, is known to have been up since the start */
	int64_t settled_ms; /* from then on every announcement that has to be confirmed has arrived */
};

/* Creates the state of a target without announcements. */
cw_target_t *cw_target_new(const char *service, const char *address, int64_t now_ms)
{
	cw_target_t *target = g_new0(cw_target_t, 1);

	target->settled_ms = now_ms + MAX_ANNOUNCEMENT_DELAY_MS;
	target->service = g_strdup(service);
	target->address = g_strdup(address);
	return target;
}

/* Frees the state of a target. */
void cw_target_free(cw_target_t *target)
{
	g_free(target->service);
	g_free(target->address);
	g_free(target->id);
	g_free(target);
}

/* Returns whether an announcement is older than the state; one without a start time is taken as newer. */
static bool is_stale(const cw_target_t *target, const cw_announcement_t *announcement)
{
	if (!target->id || !announcement->started_ms || announcement->started_ms > target->started_ms)
		return false;
	if (announcement->started_ms < target->started_ms || !target->has_start)
		return true;
	/* Leaving is final for an incarnation: it cannot announce itself as up again. */
	return announcement->sequence <= target->sequence || (target->leaving && !announcement->leaving);
}

/*
 * Returns whether an announcement identifies its incarnation: by its start time,
 * or, when it announces leaving without one, by the identifier already known.
 */
static bool identifies_incarnation(const cw_target_t *target, const cw_announcement_t *announcement)
{
	if (announcement->started_ms > 0)
		return true;
	return !announcement->started_ms && announcement->leaving && !g_strcmp0(target->id, announcement->id);
}

/* Sets the identifier of the current incarnation. */
static void replace_id(cw_target_t *target, const char *id)
{
	char *copy = g_strdup(id);

	g_free(target->id);
	target->id = copy;
}

/*
 * Requires a health check, or time, for the next announcement: it may be a late one of the incarnation that
 * leaves, which cannot be told from one of a successor, as the start time is not known.
 */
static void await_confirmation(cw_target_t *target, int64_t now_ms)
{
	target->confirmed = false;
	target->settled_ms = MAX(target->settled_ms, now_ms + MAX_ANNOUNCEMENT_DELAY_MS);
}

/* Applies an announcement unless it is incomplete, meant for another target, or stale. */
cw_target_verdict_t cw_target_announce(cw_target_t *target, const cw_announcement_t *announcement,
				       int64_t now_ms)
{
	if (!announcement->id || !*announcement->id || !identifies_incarnation(target, announcement))
		return CW_TARGET_INCOMPLETE;
	if ((announcement->service && !g_str_equal(announcement->service, target->service)) ||
	    (announcement->address && !g_str_equal(announcement->address, target->address)))
		return CW_TARGET_MISMATCH;
	if (is_stale(target, announcement))
		return CW_TARGET_STALE;
	/* Without the start time of the incarnation that was confirmed, this one may be older. */
	if (g_strcmp0(target->id, announcement->id) != 0 && !target->started_ms)
		target->confirmed = false;
	if (!announcement->leaving && now_ms >= target->settled_ms)
		target->confirmed = true;
	replace_id(target, announcement->id);
	if (announcement->started_ms) {
		target->started_ms = announcement->started_ms;
		target->has_start = true;
	}
	target->sequence = announcement->sequence;
	target->leaving = announcement->leaving;
	if (target->leaving && !target->has_start)
		await_confirmation(target, now_ms);
	target->warmup_end_ms = now_ms + announcement->warmup_ms;
	if (announcement->slots)
		target->slots = announcement->slots;
	return CW_TARGET_APPLIED;
}

/*
 * Confirms an incarnation by the identifier that a health check returned, sent
 * after the announcements so far, while one is awaited.  An incarnation with another
 * identifier than announced takes the place of that one, whose start time remains as
 * a lower bound: the announcement was late.
 */
bool cw_target_confirm(cw_target_t *target, const char *id)
{
	if (!*id || !cw_target_awaits_check(target))
		return false;
	if (g_strcmp0(target->id, id) != 0)
		target->has_start = false;
	replace_id(target, id);
	target->confirmed = true;
	return true;
}

/* Returns whether the target may be in use once its health check confirms it. */
bool cw_target_awaits_check(const cw_target_t *target)
{
	return !target->confirmed && !target->leaving;
}

/* Returns whether the target is known to run and not leaving. */
bool cw_target_is_up(const cw_target_t *target)
{
	return target->id && target->confirmed && !target->leaving;
}

/* Returns the identifier of the current incarnation, or NULL. */
const char *cw_target_id(const cw_target_t *target)
{
	return target->id;
}

/* Returns whether the target has announced that it is leaving. */
bool cw_target_is_leaving(const cw_target_t *target)
{
	return target->leaving;
}

/* Returns the announced number of slots; 0 when none was announced. */
uint32_t cw_target_slots(const cw_target_t *target)
{
	return target->slots;
}

/* Returns the end of the warm-up of the target, as last announced. */
int64_t cw_target_warmup_end_ms(const cw_target_t *target)
{
	return target->warmup_end_ms;
}
