/* The receiving side of calls: admission and the target beside this proxy. */
#include "receiver.h"

#include "call_counters.h"
#include "clock.h"
#include "headers.h"
#include "histogram.h"
#include "log.h"

enum {
	RAMP_MS = 300,		      /* a reached target proves itself within a few answers */
	MAX_SENDERS = 16384,	      /* as many as admission keeps records of */
	MAX_TIME_MS = 60 * 60 * 1000, /* that a call may take */
	TARGET_LEAVING_MS = 30000,    /* a target that says it drains and stays is taken back after this */
	ASK_MS = 300,	       /* between questions; a target at work answers when it has a free slot */
	ASK_TIMEOUT_MS = 1500, /* an announcement has come by then */
	STATUS_HEALTHY = 200
};

struct receiver {
	const proxy_settings_t *settings;
	uint64_t incarnation;
	cw_target_t *target;
	cw_transit_t *transit;
	GPtrArray *running; /* target_job_t * that the pool has, borrowed */
	target_pool_t *pool;
	cw_admit_t *admit;
	receiver_send_t send;
	void *data;
	GHashTable *queued; /* of target_job_t by cookie */
	uint64_t last_cookie;
	bool draining;			 /* this proxy stops */
	int64_t target_leaving_until_ms; /* 0: the target stays */
	bool was_unreachable;
	char *health_path; /* of the target; "": not known */
	bool asking;	   /* for the target's identity */
	int64_t ask_ms;	   /* when it may be asked again */
};

/* Makes the receiving side of a proxy. */
receiver_t *receiver_new(const proxy_settings_t *settings, uint64_t incarnation, target_pool_t *pool,
			 receiver_send_t send, void *data)
{
	receiver_t *receiver = g_new0(receiver_t, 1);
	cw_admit_options_t options = {.slots = settings->slots, .queue = settings->queue, .ramp_ms = RAMP_MS};

	receiver->settings = settings;
	receiver->incarnation = incarnation;
	receiver->target = cw_target_new(settings->service, settings->target);
	receiver->transit = cw_transit_new(MAX_SENDERS);
	receiver->running = g_ptr_array_new();
	receiver->pool = pool;
	receiver->admit = cw_admit_new(&options);
	receiver->send = send;
	receiver->data = data;
	receiver->queued = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	receiver->health_path = g_strdup("");
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
	cw_target_free(receiver->target);
	cw_transit_free(receiver->transit);
	g_ptr_array_unref(receiver->running);
	g_free(receiver->health_path);
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
	reply->slots = cw_admit_slots(receiver->admit);
	reply->attempt = call->attempt;
	reply->wait_ms = cw_admit_wait_ms(receiver->admit, clock_now_ms());
	reply->service_ms = (uint32_t)cw_admit_service_ms(receiver->admit, call->route);
	return message;
}

/* Answers a job without an answer of the target and frees it. */
static void answer_reason(receiver_t *receiver, target_job_t *job, Caraway__CallOutcome outcome,
			  cw_reason_t reason)
{
	Caraway__Message *message = reply_to(receiver, job->message->call_request);

	message->call_reply->outcome = outcome;
	message->call_reply->reason = g_strdup(cw_reason_name(reason));
	message->call_reply->arrived = job->arrived;
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
	reply->status = job->answer->status;
	reply->headers = cw_message_array(job->answer->headers->len);
	for (guint i = 0; i < job->answer->headers->len; i++) {
		Caraway__Header **header = (Caraway__Header **)&job->answer->headers->pdata[i];

		if (headers_passes_back((*header)->name))
			reply->headers[reply->n_headers++] = g_steal_pointer(header);
	}
	length = job->answer->body->len;
	reply->body.data = g_byte_array_free(g_steal_pointer(&job->answer->body), FALSE);
	reply->body.len = length;
	job->answer->body = g_byte_array_new();
	counter_add(COUNTER_CALL_SERVED, 1);
	receiver->send(receiver->data, g_steal_pointer(&job->peer), message);
	target_job_free(job);
}

/* Gives a job to the target. */
static void start(receiver_t *receiver, target_job_t *job)
{
	job->started_ms = clock_now_ms();
	histogram_add(HISTOGRAM_QUEUE, job->started_ms - job->came_ms);
	g_ptr_array_add(receiver->running, job);
	target_pool_submit(receiver->pool, job);
}

/* Fills in when a call is to start and to end: the times as it was sent, less what the transport has added. */
static void set_times(const receiver_t *receiver, target_job_t *job)
{
	const Caraway__CallRequest *call = job->message->call_request;
	int64_t now_ms = clock_now_ms();

	job->came_ms = now_ms;
	job->transit_ms = cw_transit_delay_ms(receiver->transit, call->id->origin, call->sent_ms, now_ms);
	job->start_by_ms = now_ms + CLAMP((int64_t)call->left_ms - job->transit_ms, 0, MAX_TIME_MS);
	job->deadline_ms = job->start_by_ms + MIN(call->run_on_ms, MAX_TIME_MS);
}

/* Carries out what admission decided on a call that has arrived. */
static void admit_job(receiver_t *receiver, target_job_t *job)
{
	const Caraway__CallRequest *request = job->message->call_request;
	int64_t now_ms = clock_now_ms();
	uint64_t cookie = ++receiver->last_cookie;
	const cw_admit_call_t call = {.id = id_of(request->id),
				      .cookie = cookie,
				      .route = request->route,
				      .priority = request->priority,
				      .deadline_ms = job->start_by_ms,
				      .useful_ms = now_ms + request->useful_ms - job->transit_ms};
	cw_reason_t reason;

	switch (cw_admit_arrive(receiver->admit, &call, now_ms, &reason)) {
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

	set_times(receiver, job);
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

/* Ends a call at the target when it runs there. */
static void stop_running(receiver_t *receiver, const cw_call_id_t *id)
{
	for (guint i = 0; i < receiver->running->len; i++) {
		target_job_t *job = g_ptr_array_index(receiver->running, i);
		const Caraway__CallId *running = job->message->call_request->id;

		if (running->origin != id->origin || running->sequence != id->sequence)
			continue;
		counter_add(COUNTER_CALL_STOPPED, 1);
		target_pool_cancel(receiver->pool, job);
		return;
	}
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
	if (revoke->stop && !reply->never_started)
		stop_running(receiver, &id);
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

	g_ptr_array_remove_fast(receiver->running, job);
	if (job->target_leaving)
		receiver->target_leaving_until_ms = now_ms + TARGET_LEAVING_MS;
	cw_admit_done(receiver->admit, &id, job->message->call_request->route, job->end, job->started_ms,
		      now_ms);
	switch (job->end) {
	case CW_ADMIT_ANSWERED:
	case CW_ADMIT_ERROR:
		histogram_add(HISTOGRAM_TARGET, now_ms - job->started_ms);
		answer_whole(receiver, job);
		break;
	case CW_ADMIT_FAILED:
		answer_reason(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_UNKNOWN, job->reason);
		break;
	case CW_ADMIT_DECLINED:
	case CW_ADMIT_NOT_STARTED:
		answer_reason(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, job->reason);
		break;
	}
}

/* Returns whether calls may be given to the target, as far as it says. */
static bool takes_work(const receiver_t *receiver)
{
	bool known = cw_target_id(receiver->target) || !*receiver->settings->target_listen;

	return known && !receiver->draining && !receiver->target_leaving_until_ms &&
	       !cw_target_is_leaving(receiver->target);
}

/* Takes what the target says of itself. */
cw_target_verdict_t receiver_announce(receiver_t *receiver, const cw_announcement_t *announcement)
{
	g_autofree char *former = g_strdup(cw_target_id(receiver->target));
	bool was_leaving = cw_target_is_leaving(receiver->target);
	cw_target_verdict_t verdict = cw_target_announce(receiver->target, announcement, clock_now_ms());

	if (verdict != CW_TARGET_APPLIED)
		return verdict;
	if (g_strcmp0(former, announcement->id) != 0 || was_leaving != announcement->leaving)
		log_info("target-announced", LOG_STR("target", announcement->id),
			 LOG_STR("state", announcement->leaving ? "leaving" : "up"),
			 LOG_INT("started_ms", announcement->started_ms),
			 LOG_UINT("sequence", announcement->sequence), LOG_UINT("slots", announcement->slots),
			 LOG_END);
	target_pool_expect(receiver->pool, cw_target_id(receiver->target));
	if (!announcement->leaving)
		cw_admit_mark_warm(receiver->admit, clock_now_ms());
	if (cw_target_slots(receiver->target))
		cw_admit_set_slots(receiver->admit, cw_target_slots(receiver->target));
	cw_admit_set_draining(receiver->admit, !takes_work(receiver));
	return verdict;
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
	cw_admit_set_draining(receiver->admit, !takes_work(receiver));
}

/* Sets where the target tells its health. */
void receiver_set_health_path(receiver_t *receiver, const char *path)
{
	g_free(receiver->health_path);
	receiver->health_path = g_strdup(path);
}

/* Returns a job that asks the target for its health. */
static target_job_t *question_new(const receiver_t *receiver)
{
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__CallRequest *call = g_new(Caraway__CallRequest, 1);
	target_job_t *job;

	caraway__message__init(message);
	caraway__call_request__init(call);
	call->method = g_strdup("GET");
	call->path = g_strdup(receiver->health_path);
	call->idempotent = true;
	call->headers = cw_message_array(1);
	call->headers[call->n_headers++] = headers_new("Host", receiver->settings->target);
	message->body_case = CARAWAY__MESSAGE__BODY_CALL_REQUEST;
	message->call_request = call;
	job = target_job_new(message, NULL);
	job->asks_identity = true;
	job->deadline_ms = clock_now_ms() + ASK_TIMEOUT_MS;
	return job;
}

/*
 * Asks a target that was there before this proxy who it is.  It announces
 * itself again too, but only after a whole interval, and until then its slots
 * would stand empty.
 */
static void ask_identity(receiver_t *receiver)
{
	int64_t now_ms = clock_now_ms();

	if (cw_target_id(receiver->target) || !*receiver->settings->target_listen ||
	    !*receiver->settings->headers.target_id || !*receiver->health_path)
		return;
	if (receiver->asking || now_ms < receiver->ask_ms || !target_pool_reachable(receiver->pool))
		return;
	receiver->asking = true;
	receiver->ask_ms = now_ms + ASK_MS;
	target_pool_submit(receiver->pool, question_new(receiver));
}

/* Takes the answer to a question for the target's identity: one that is not healthy may be leaving. */
static void take_identity(receiver_t *receiver, target_job_t *job)
{
	const char *id = NULL;

	receiver->asking = false;
	if (job->end == CW_ADMIT_ANSWERED && job->answer->status == STATUS_HEALTHY)
		id = http_message_header(job->answer, receiver->settings->headers.target_id);
	if (id && cw_target_set_id(receiver->target, id)) {
		log_info("target-found", LOG_STR("target", id), LOG_END);
		target_pool_expect(receiver->pool, id);
		cw_admit_mark_warm(receiver->admit, clock_now_ms());
	}
	target_job_free(job);
}

/* Answers finished jobs, then starts or refuses queued ones. */
void receiver_run(receiver_t *receiver)
{
	target_job_t *job;
	cw_admit_verdict_t verdict;
	cw_reason_t reason;
	uint64_t cookie;

	target_pool_tick(receiver->pool, clock_now_ms());
	while ((job = target_pool_collect(receiver->pool)))
		if (job->asks_identity)
			take_identity(receiver, job);
		else
			finish(receiver, job);
	ask_identity(receiver);
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
	int64_t deadline_ms =
		MIN(cw_admit_next_check_ms(receiver->admit), target_pool_deadline_ms(receiver->pool));

	return cw_target_id(receiver->target) ? deadline_ms : MIN(deadline_ms, clock_now_ms() + ASK_MS);
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
	return target_pool_reachable(receiver->pool) && takes_work(receiver);
}
