/* The receiving side of calls: admission and the target beside this proxy. */
#include "receiver.h"

#include "call_counters.h"
#include "clock.h"

enum {
	RAMP_MS = 2000,
	MAX_TIME_MS = 60 * 60 * 1000, /* that a call may take */
	TARGET_LEAVING_MS = 30000     /* a target that says it drains and stays is taken back after this */
};

struct receiver {
	uint64_t incarnation;
	uint32_t slots;
	target_pool_t *pool;
	cw_admit_t *admit;
	receiver_send_t send;
	void *data;
	GHashTable *queued; /* of target_job_t by cookie */
	uint64_t last_cookie;
	bool draining;			 /* this proxy stops */
	int64_t target_leaving_until_ms; /* 0: the target stays */
	bool was_unreachable;
};

/* Makes the receiving side of a proxy. */
receiver_t *receiver_new(const proxy_settings_t *settings, uint64_t incarnation, target_pool_t *pool,
			 receiver_send_t send, void *data)
{
	receiver_t *receiver = g_new0(receiver_t, 1);
	cw_admit_options_t options = {.slots = settings->slots, .queue = settings->queue, .ramp_ms = RAMP_MS};

	receiver->incarnation = incarnation;
	receiver->slots = settings->slots;
	receiver->pool = pool;
	receiver->admit = cw_admit_new(&options);
	receiver->send = send;
	receiver->data = data;
	receiver->queued = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return receiver;
}

/* Frees a job held in the table of queued ones. */
static void free_queued(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	(void)data;
	target_job_free(value);
}

/* Frees the receiving side; queued calls are dropped. */
void receiver_free(receiver_t *receiver)
{
	g_hash_table_foreach(receiver->queued, free_queued, NULL);
	g_hash_table_destroy(receiver->queued);
	cw_admit_free(receiver->admit);
	g_free(receiver);
}

/* Returns the identifier of a call for the library. */
static cw_call_id_t id_of(const Caraway__CallId *id)
{
	return (cw_call_id_t){.origin = id->origin, .sequence = id->sequence};
}

/* Returns a new reply to a call, with the load here. */
static Caraway__Message *reply_to(const receiver_t *receiver, const Caraway__CallRequest *call)
{
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__CallReply *reply = g_new(Caraway__CallReply, 1);

	caraway__message__init(message);
	caraway__call_reply__init(reply);
	message->body_case = CARAWAY__MESSAGE__BODY_CALL_REPLY;
	message->call_reply = reply;
	reply->id = cw_message_copy(&call->id->base);
	reply->in_use = cw_admit_load(receiver->admit);
	reply->slots = receiver->slots;
	reply->attempt = call->attempt;
	return message;
}

/* Answers a job without an answer of the target and frees it. */
static void answer_reason(receiver_t *receiver, target_job_t *job, Caraway__CallOutcome outcome,
			  cw_reason_t reason)
{
	Caraway__Message *message = reply_to(receiver, job->message->call_request);

	message->call_reply->outcome = outcome;
	message->call_reply->reason = g_strdup(cw_reason_word(reason));
	call_count_refused(reason);
	receiver->send(receiver->data, g_steal_pointer(&job->peer), message);
	target_job_free(job);
}

/* Answers a job with the target's answer and frees it. */
static void answer_whole(receiver_t *receiver, target_job_t *job)
{
	Caraway__Message *message = reply_to(receiver, job->message->call_request);
	Caraway__CallReply *reply = message->call_reply;
	gsize length;

	reply->outcome = CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED;
	reply->status = job->status;
	reply->n_headers = job->headers->len;
	reply->headers = (Caraway__Header **)g_ptr_array_free(job->headers, FALSE);
	job->headers = g_ptr_array_new();
	length = job->body->len;
	reply->body.data = g_byte_array_free(job->body, FALSE);
	reply->body.len = length;
	job->body = g_byte_array_new();
	counter_add(COUNTER_CALL_SERVED, 1);
	receiver->send(receiver->data, g_steal_pointer(&job->peer), message);
	target_job_free(job);
}

/* Gives a job to the target. */
static void start(receiver_t *receiver, target_job_t *job)
{
	job->started_ms = clock_now_ms();
	target_pool_submit(receiver->pool, job);
}

/* Returns the monotonic time of a deadline given in UTC; one that is far off is taken for a wrong clock. */
static int64_t monotonic_deadline_ms(int64_t utc_ms)
{
	return clock_now_ms() + CLAMP(utc_ms - clock_utc_ms(), 0, MAX_TIME_MS);
}

/* Carries out what admission decided on a call that has arrived. */
static void admit_job(receiver_t *receiver, target_job_t *job)
{
	cw_call_id_t id = id_of(job->message->call_request->id);
	uint64_t cookie = ++receiver->last_cookie;
	cw_reason_t reason;

	switch (cw_admit_arrive(receiver->admit, &id, cookie, job->deadline_ms, clock_now_ms(), &reason)) {
	case CW_ADMIT_START:
		start(receiver, job);
		break;
	case CW_ADMIT_QUEUE:
		g_hash_table_insert(receiver->queued, g_memdup2(&cookie, sizeof(cookie)), job);
		break;
	case CW_ADMIT_REFUSE:
		answer_reason(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, reason);
		break;
	case CW_ADMIT_IGNORE:
		counter_add(COUNTER_CALL_DUPLICATE, 1);
		target_job_free(job);
		break;
	}
}

/* Takes a call; one meant for an earlier incarnation of this proxy is refused. */
static void take_call(receiver_t *receiver, Caraway__Message *message, GBytes *peer)
{
	target_job_t *job = target_job_new(message, peer);

	job->deadline_ms = monotonic_deadline_ms(message->call_request->deadline_ms);
	if (message->call_request->receiver != receiver->incarnation)
		answer_reason(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, CW_REASON_INCARNATION);
	else
		admit_job(receiver, job);
}

/* Takes a queued job out of the table. */
static target_job_t *take_queued(receiver_t *receiver, uint64_t cookie)
{
	target_job_t *job = g_hash_table_lookup(receiver->queued, &cookie);

	g_hash_table_remove(receiver->queued, &cookie);
	return job;
}

/* Withdraws a call.  What an earlier incarnation did with it is not known here: no answer says so. */
static void take_revoke(receiver_t *receiver, const Caraway__Revoke *revoke, GBytes *peer)
{
	cw_call_id_t id = id_of(revoke->id);
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__RevokeReply *reply = g_new(Caraway__RevokeReply, 1);
	uint64_t cookie = 0;

	caraway__message__init(message);
	caraway__revoke_reply__init(reply);
	message->body_case = CARAWAY__MESSAGE__BODY_REVOKE_REPLY;
	message->revoke_reply = reply;
	reply->id = cw_message_copy(&revoke->id->base);
	if (revoke->receiver == receiver->incarnation)
		reply->never_started = cw_admit_revoke(receiver->admit, &id, clock_now_ms(), &cookie);
	if (cookie)
		target_job_free(take_queued(receiver, cookie));
	counter_add(reply->never_started ? COUNTER_REVOKE_NEVER_STARTED : COUNTER_REVOKE_STARTED, 1);
	receiver->send(receiver->data, peer, message);
}

/* Takes a message of a sender. */
void receiver_take(receiver_t *receiver, Caraway__Message *message, GBytes *peer)
{
	if (message->body_case == CARAWAY__MESSAGE__BODY_CALL_REQUEST && message->call_request->id) {
		take_call(receiver, message, peer);
		return;
	}
	if (message->body_case == CARAWAY__MESSAGE__BODY_REVOKE && message->revoke->id) {
		take_revoke(receiver, message->revoke, peer);
	} else {
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		if (peer)
			g_bytes_unref(peer);
	}
	cw_message_free(message);
}

/* Ends a job that the target has had. */
static void finish(receiver_t *receiver, target_job_t *job)
{
	cw_call_id_t id = id_of(job->message->call_request->id);
	int64_t now_ms = clock_now_ms();

	if (job->target_leaving)
		receiver->target_leaving_until_ms = now_ms + TARGET_LEAVING_MS;
	cw_admit_done(receiver->admit, &id, job->end, job->started_ms, now_ms);
	switch (job->end) {
	case CW_ADMIT_ANSWERED:
		answer_whole(receiver, job);
		break;
	case CW_ADMIT_FAILED:
		answer_reason(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_UNKNOWN, job->reason);
		break;
	case CW_ADMIT_NOT_STARTED:
		answer_reason(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, job->reason);
		break;
	}
}

/* Follows the target: one that was leaving and could not be reached since is a new one when it is back. */
static void follow_target(receiver_t *receiver)
{
	bool reachable = target_pool_reachable(receiver->pool);
	bool returned = receiver->was_unreachable && reachable;

	if (returned || clock_now_ms() >= receiver->target_leaving_until_ms)
		receiver->target_leaving_until_ms = 0;
	receiver->was_unreachable = !reachable;
	target_pool_watch(receiver->pool, receiver->target_leaving_until_ms != 0);
	cw_admit_set_draining(receiver->admit, receiver->draining || receiver->target_leaving_until_ms);
}

/* Answers finished jobs, then starts or refuses queued ones. */
void receiver_run(receiver_t *receiver)
{
	target_job_t *job;
	cw_admit_verdict_t verdict;
	cw_reason_t reason;
	uint64_t cookie;

	while ((job = target_pool_collect(receiver->pool)))
		finish(receiver, job);
	follow_target(receiver);
	while (cw_admit_next(receiver->admit, clock_now_ms(), &cookie, &verdict, &reason)) {
		job = take_queued(receiver, cookie);
		if (verdict == CW_ADMIT_START)
			start(receiver, job);
		else
			answer_reason(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, reason);
	}
}

/* Returns when receiver_run() is wanted at the latest. */
int64_t receiver_deadline_ms(const receiver_t *receiver)
{
	return cw_admit_deadline_ms(receiver->admit);
}

/* Refuses new calls from now on. */
void receiver_drain(receiver_t *receiver)
{
	receiver->draining = true;
	cw_admit_set_draining(receiver->admit, true);
}

/* Returns how many calls are with the target or wait for it. */
uint32_t receiver_in_flight(const receiver_t *receiver)
{
	return cw_admit_load(receiver->admit);
}

/* Returns whether the target takes work. */
bool receiver_target_ready(const receiver_t *receiver)
{
	return target_pool_reachable(receiver->pool) && !receiver->target_leaving_until_ms;
}
