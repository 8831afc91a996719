/* The receiving side of calls: admission control in front of this proxy's target. */
#include "receiver.h"

#include <string.h>

#include "call_counters.h"
#include "clock.h"
#include "headers.h"
#include "histogram.h"
#include "log.h"

enum {
	/*
	 * From the first answer of a cold target until all its slots are used.  The
	 * few answers given in that time show that it works.
	 */
	RAMP_MS = 300,
	MAX_SENDERS = 16384, /* whose transport delay is measured; as many as admission keeps records of */
	MAX_CALL_TIME_MS = 60 * 60 * 1000,  /* upper bound on the times in a request */
	TARGET_DRAINING_TIMEOUT_MS = 30000, /* then a draining target that did not stop is used again */
	START_AFTER_LEAVING_MS =
		1000, /* within this time after the target said so, accepted calls still start */
	IDENTITY_PROBE_INTERVAL_MS = 300, /* a busy target answers a probe once it has a free slot */
	IDENTITY_PROBE_TIMEOUT_MS = 1500, /* by then the target has announced itself */
	SMALL_BODY_BYTES = 65536,	  /* a call with a shorter body is never refused for lack of memory */
	STATUS_HEALTHY = 200
};

struct receiver {
	const proxy_settings_t *settings;
	uint64_t incarnation;
	cw_target_t *target;   /* state from its announcements */
	cw_transit_t *transit; /* estimates the transport delay of calls */
	GPtrArray *running;    /* target_job_t * submitted to the pool, which owns them */
	target_pool_t *pool;
	cw_admit_t *admit;
	receiver_send_t send;
	void *data;			  /* passed to send */
	GHashTable *queued;		  /* target_job_t * by cookie */
	uint64_t last_cookie;		  /* of the last call passed to admission control */
	bool draining;			  /* this proxy is shutting down */
	int64_t target_draining_until_ms; /* set by a response that says it is draining; 0: it is not */
	int64_t start_until_ms;		  /* until when accepted calls start; INT64_MAX: the target stays */
	bool was_unreachable;		  /* the target, at the last receiver_run() */
	char *health_path;		  /* of the target's health check; "": unknown */
	bool identity_probe_running;
	bool identity_changed; /* an announcement named another incarnation since the probe was sent */
	int64_t next_identity_probe_ms; /* earliest time of the next identity probe */
};

/* Creates the receiving side of a proxy. */
receiver_t *receiver_new(const proxy_settings_t *settings, uint64_t incarnation, target_pool_t *pool,
			 receiver_send_t send, void *data)
{
	receiver_t *receiver = g_new0(receiver_t, 1);
	cw_admit_options_t options = {.slots = settings->slots,
				      .queue = settings->queue,
				      .ramp_ms = RAMP_MS,
				      .cost_aware = settings->cost_aware,
				      .fair_shares = settings->fair_shares};

	receiver->settings = settings;
	receiver->start_until_ms = INT64_MAX;
	receiver->incarnation = incarnation;
	receiver->target = cw_target_new(settings->service, settings->target, clock_now_ms());
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

/* Frees a queued job (GHFunc). */
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

/* Converts a call id from its message form. */
static cw_call_id_t call_id(const Caraway__CallId *id)
{
	return (cw_call_id_t){.origin = id->origin, .sequence = id->sequence};
}

/* Returns the present load of the target for a call of a route and priority. */
cw_pick_load_t receiver_load(const receiver_t *receiver, uint64_t route, uint32_t priority)
{
	int64_t now_ms = clock_now_ms();

	return (cw_pick_load_t){
		.in_use = cw_admit_load(receiver->admit),
		.slots = cw_admit_slots(receiver->admit),
		.route = route,
		.priority = priority,
		.service_ms = (uint32_t)cw_admit_service_ms(receiver->admit, route),
		.short_call = cw_admit_is_short(receiver->admit, route),
		.wait_ms = cw_admit_wait_ms(receiver->admit, priority, now_ms),
		.work_ms = receiver->settings->cost_aware ? cw_admit_work_ms(receiver->admit, now_ms) + 1 : 0,
		.speed_percent = cw_admit_speed_percent(receiver->admit)};
}

/* Returns a new reply to a call, with the current load of the target. */
static Caraway__Message *reply_new(const receiver_t *receiver, const target_job_t *job)
{
	const Caraway__CallRequest *call = job->message->call_request;
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__CallReply *reply = g_new(Caraway__CallReply, 1);
	cw_pick_load_t load = receiver_load(receiver, call->route, call->priority);

	caraway__message__init(message);
	caraway__call_reply__init(reply);
	message->body_case = CARAWAY__MESSAGE__BODY_CALL_REPLY;
	message->call_reply = reply;
	reply->id = cw_message_copy(&call->id->base);
	reply->in_use = load.in_use;
	reply->slots = load.slots;
	reply->attempt = call->attempt;
	reply->wait_ms = load.wait_ms;
	reply->service_ms = load.service_ms;
	reply->short_call = load.short_call;
	reply->work_ms = load.work_ms;
	reply->speed_percent = load.speed_percent;
	reply->held_ms = (uint32_t)(clock_now_ms() - job->received_ms) + 1;
	return message;
}

/* Replies to a call that has no answer of the target, and frees the job. */
static void send_failure_reply(receiver_t *receiver, target_job_t *job, Caraway__CallOutcome outcome,
			       cw_reason_t reason)
{
	Caraway__Message *message = reply_new(receiver, job);

	message->call_reply->outcome = outcome;
	message->call_reply->reason = g_strdup(cw_reason_name(reason));
	message->call_reply->arrived = job->arrived;
	call_count_refused(reason);
	receiver->send(receiver->data, g_steal_pointer(&job->peer), message);
	target_job_free(job);
}

/* Replies to a call with the target's answer, and frees the job. */
static void send_answer_reply(receiver_t *receiver, target_job_t *job)
{
	Caraway__Message *message = reply_new(receiver, job);
	Caraway__CallReply *reply = message->call_reply;
	gsize length;

	reply->outcome = CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED;
	reply->status = job->response->status;
	reply->headers = cw_message_array(job->response->headers->len);
	for (guint i = 0; i < job->response->headers->len; i++) {
		Caraway__Header **header = (Caraway__Header **)&job->response->headers->pdata[i];

		if (headers_is_sent_to_caller((*header)->name))
			reply->headers[reply->n_headers++] = g_steal_pointer(header);
	}
	length = job->response->body->len;
	reply->body.data = g_byte_array_free(g_steal_pointer(&job->response->body), FALSE);
	reply->body.len = length;
	job->response->body = g_byte_array_new();
	counter_add(COUNTER_CALL_SERVED, 1);
	receiver->send(receiver->data, g_steal_pointer(&job->peer), message);
	target_job_free(job);
}

/* Sends a call to the target. */
static void start_job(receiver_t *receiver, target_job_t *job)
{
	job->started_ms = clock_now_ms();
	histogram_add(HISTOGRAM_QUEUE, job->started_ms - job->received_ms);
	g_ptr_array_add(receiver->running, job);
	target_pool_submit(receiver->pool, job);
}

/* Sets the deadlines of a call: the times left when it was sent, minus the delay that the transport added. */
static void set_deadlines(const receiver_t *receiver, target_job_t *job)
{
	const Caraway__CallRequest *call = job->message->call_request;
	int64_t now_ms = clock_now_ms();

	job->received_ms = now_ms;
	job->transit_ms = cw_transit_delay_ms(receiver->transit, call->id->origin, call->sent_ms, now_ms);
	job->start_by_ms = now_ms + CLAMP((int64_t)call->left_ms - job->transit_ms, 0, MAX_CALL_TIME_MS);
	job->deadline_ms = job->start_by_ms + MIN(call->run_on_ms, MAX_CALL_TIME_MS);
}

/* Returns the bytes of the body of a job's call. */
static size_t body_bytes(const target_job_t *job)
{
	return job->message->call_request->body.len;
}

/* Returns the bytes of the bodies of all queued and running calls. */
static size_t held_body_bytes(const receiver_t *receiver)
{
	GHashTableIter iter;
	gpointer job;
	size_t bytes = 0;

	for (guint i = 0; i < receiver->running->len; i++)
		bytes += body_bytes(g_ptr_array_index(receiver->running, i));
	g_hash_table_iter_init(&iter, receiver->queued);
	while (g_hash_table_iter_next(&iter, NULL, &job))
		bytes += body_bytes(job);
	return bytes;
}

/* Returns whether a new call has a long body, and there is no memory for it beside those of other calls. */
static bool lacks_memory(const receiver_t *receiver, const target_job_t *job)
{
	size_t limit = settings_body_memory(receiver->settings);
	size_t held;

	if (body_bytes(job) < SMALL_BODY_BYTES || !limit)
		return false;
	held = held_body_bytes(receiver);
	return held && held + body_bytes(job) > limit;
}

/* Passes a new call to admission: starts it, queues it, refuses it or drops a duplicate. */
static void admit_job(receiver_t *receiver, target_job_t *job)
{
	const Caraway__CallRequest *request = job->message->call_request;
	int64_t now_ms = clock_now_ms();
	uint64_t cookie = ++receiver->last_cookie;
	const cw_admit_call_t call = {.id = call_id(request->id),
				      .cookie = cookie,
				      .route = request->route,
				      .account = request->account,
				      .priority = request->priority,
				      .deadline_ms = job->start_by_ms,
				      .useful_until_ms = now_ms + request->useful_ms - job->transit_ms,
				      .body_bytes = (uint32_t)body_bytes(job),
				      .lacks_memory = lacks_memory(receiver, job)};
	cw_reason_t reason;

	switch (cw_admit_arrive(receiver->admit, &call, now_ms, &reason)) {
	case CW_ADMIT_START:
		start_job(receiver, job);
		break;
	case CW_ADMIT_QUEUE:
		g_hash_table_insert(receiver->queued, g_memdup2(&cookie, sizeof(cookie)), job);
		break;
	case CW_ADMIT_REFUSE:
		send_failure_reply(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, reason);
		break;
	case CW_ADMIT_IGNORE:
		counter_add(COUNTER_CALL_DUPLICATE, 1);
		target_job_free(job);
		break;
	}
}

/* Handles a call request; one addressed to another incarnation of this proxy is refused. */
static void handle_call(receiver_t *receiver, Caraway__Message *message, GBytes *peer)
{
	target_job_t *job = target_job_new(message, peer);

	set_deadlines(receiver, job);
	if (message->call_request->receiver != receiver->incarnation)
		send_failure_reply(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN,
				   CW_REASON_INCARNATION);
	else
		admit_job(receiver, job);
}

/* Removes a job from the table of queued ones and returns it. */
static target_job_t *remove_queued(receiver_t *receiver, uint64_t cookie)
{
	target_job_t *job = g_hash_table_lookup(receiver->queued, &cookie);

	g_hash_table_remove(receiver->queued, &cookie);
	return job;
}

/* Aborts a call that is running at the target, if it is. */
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

/*
 * Handles a revocation.  For one addressed to an earlier incarnation, never_started
 * and kept stay false: this process cannot know whether the call ran.
 */
static void handle_revoke(receiver_t *receiver, const Caraway__Revoke *revoke, GBytes *peer)
{
	cw_call_id_t id = call_id(revoke->id);
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__RevokeReply *reply = g_new(Caraway__RevokeReply, 1);
	target_job_t *job;
	uint64_t cookie = 0;

	caraway__message__init(message);
	caraway__revoke_reply__init(reply);
	message->body_case = CARAWAY__MESSAGE__BODY_REVOKE_REPLY;
	message->revoke_reply = reply;
	reply->id = cw_message_copy(&revoke->id->base);
	if (revoke->receiver == receiver->incarnation) {
		reply->kept =
			revoke->keep_queued && cw_admit_is_expected(receiver->admit, &id, clock_now_ms());
		if (!reply->kept)
			reply->never_started = cw_admit_revoke(receiver->admit, &id, clock_now_ms(), &cookie);
	}
	if (cookie) {
		job = remove_queued(receiver, cookie);
		reply->queued_ms = (uint32_t)(clock_now_ms() - job->received_ms) + 1;
		target_job_free(job);
	}
	if (revoke->stop && !reply->never_started)
		stop_running(receiver, &id);
	counter_add(reply->kept		   ? COUNTER_REVOKE_KEPT
		    : reply->never_started ? COUNTER_REVOKE_NEVER_STARTED
					   : COUNTER_REVOKE_STARTED,
		    1);
	if (cookie)
		counter_add(COUNTER_REVOKE_QUEUED, 1);
	receiver->send(receiver->data, peer, message);
}

/* Handles a message of a sending proxy. */
void receiver_handle_message(receiver_t *receiver, Caraway__Message *message, GBytes *peer)
{
	if (message->body_case == CARAWAY__MESSAGE__BODY_CALL_REQUEST && message->call_request->id) {
		handle_call(receiver, message, peer);
		return;
	}
	if (message->body_case == CARAWAY__MESSAGE__BODY_REVOKE && message->revoke->id) {
		handle_revoke(receiver, message->revoke, peer);
	} else {
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		if (peer)
			g_bytes_unref(peer);
	}
	cw_message_free(message);
}

/* Reports a finished job to admission and replies to its call. */
static void finish_job(receiver_t *receiver, target_job_t *job)
{
	cw_call_id_t id = call_id(job->message->call_request->id);
	int64_t now_ms = clock_now_ms();

	g_ptr_array_remove_fast(receiver->running, job);
	if (job->target_draining)
		receiver->target_draining_until_ms = now_ms + TARGET_DRAINING_TIMEOUT_MS;
	cw_admit_done(receiver->admit, &id, job->message->call_request->route, job->result, job->started_ms,
		      now_ms);
	switch (job->result) {
	case CW_ADMIT_ANSWERED:
	case CW_ADMIT_ERROR:
		histogram_add(HISTOGRAM_TARGET, now_ms - job->started_ms);
		send_answer_reply(receiver, job);
		break;
	case CW_ADMIT_FAILED:
		send_failure_reply(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_UNKNOWN, job->reason);
		break;
	case CW_ADMIT_DECLINED:
	case CW_ADMIT_NOT_STARTED:
		send_failure_reply(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, job->reason);
		break;
	}
}

/*
 * Returns whether the target may be given calls: it is up, if it announces itself at all, and neither the
 * target nor this proxy is draining.
 */
static bool accepts_calls(const receiver_t *receiver)
{
	bool up = cw_target_is_up(receiver->target) || !*receiver->settings->target_listen;

	return up && !receiver->draining && !receiver->target_draining_until_ms;
}

/* Applies whether new calls are accepted, and until when accepted ones start once the target leaves. */
static void update_admission(receiver_t *receiver)
{
	bool leaving = cw_target_is_leaving(receiver->target) || receiver->target_draining_until_ms;

	if (!leaving)
		receiver->start_until_ms = INT64_MAX;
	else if (receiver->start_until_ms == INT64_MAX)
		receiver->start_until_ms = clock_now_ms() + START_AFTER_LEAVING_MS;
	cw_admit_set_start_until(receiver->admit, receiver->start_until_ms);
	target_pool_set_start_until(receiver->pool, receiver->start_until_ms);
	cw_admit_set_draining(receiver->admit, !accepts_calls(receiver));
}

/* Returns the name of the target's state for the log. */
static const char *target_state_name(const cw_target_t *target)
{
	if (cw_target_is_leaving(target))
		return "leaving";
	return cw_target_is_up(target) ? "up" : "unconfirmed";
}

/* Handles an announcement of the target. */
cw_target_verdict_t receiver_handle_announcement(receiver_t *receiver, const cw_announcement_t *announcement)
{
	g_autofree char *previous_id = g_strdup(cw_target_id(receiver->target));
	bool was_leaving = cw_target_is_leaving(receiver->target);
	cw_target_verdict_t verdict = cw_target_announce(receiver->target, announcement, clock_now_ms());

	if (verdict != CW_TARGET_APPLIED)
		return verdict;
	if (g_strcmp0(previous_id, announcement->id) != 0 || was_leaving != announcement->leaving)
		log_info("target-announced", LOG_STR("target", announcement->id),
			 LOG_STR("state", target_state_name(receiver->target)),
			 LOG_INT("started_ms", announcement->started_ms),
			 LOG_UINT("sequence", announcement->sequence), LOG_UINT("slots", announcement->slots),
			 LOG_END);
	receiver->identity_changed |= g_strcmp0(previous_id, announcement->id) != 0;
	if (cw_target_awaits_check(receiver->target))
		counter_add(COUNTER_ANNOUNCEMENT_UNCONFIRMED, 1);
	target_pool_set_target_id(receiver->pool, cw_target_id(receiver->target));
	if (cw_target_is_up(receiver->target))
		cw_admit_mark_warm(receiver->admit, clock_now_ms());
	if (cw_target_slots(receiver->target))
		cw_admit_set_slots(receiver->admit, cw_target_slots(receiver->target));
	update_admission(receiver);
	return verdict;
}

/*
 * Updates the state of the target.  A draining target that became unreachable
 * and is reachable again has been restarted, so it is no longer draining.
 */
static void update_target_state(receiver_t *receiver)
{
	bool reachable = target_pool_is_reachable(receiver->pool);
	bool reachable_again = receiver->was_unreachable && reachable;

	if (reachable_again || clock_now_ms() >= receiver->target_draining_until_ms)
		receiver->target_draining_until_ms = 0;
	receiver->was_unreachable = !reachable;
	target_pool_set_probe_always(receiver->pool, receiver->target_draining_until_ms != 0);
	update_admission(receiver);
}

/* Sets the path of the target's health check. */
void receiver_set_health_path(receiver_t *receiver, const char *path)
{
	g_free(receiver->health_path);
	receiver->health_path = g_strdup(path);
}

/* Returns a job that requests the target's health check, for the identifier in its answer. */
static target_job_t *identity_probe_new(const receiver_t *receiver)
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
	job->is_identity_probe = true;
	job->started_ms = clock_now_ms();
	job->deadline_ms = job->started_ms + IDENTITY_PROBE_TIMEOUT_MS;
	return job;
}

/*
 * Probes the identity of a target that was already running when this proxy
 * started.  The target also announces itself periodically, but waiting for that
 * would leave its slots unused for up to a whole interval, and an announcement may
 * be one that was sent before the target left.
 */
static void probe_identity(receiver_t *receiver)
{
	int64_t now_ms = clock_now_ms();

	if (!cw_target_awaits_check(receiver->target) || !*receiver->settings->target_listen ||
	    !*receiver->settings->headers.target_id || !*receiver->health_path)
		return;
	if (receiver->identity_probe_running || now_ms < receiver->next_identity_probe_ms ||
	    !target_pool_is_reachable(receiver->pool))
		return;
	receiver->identity_probe_running = true;
	receiver->identity_changed = false;
	receiver->next_identity_probe_ms = now_ms + IDENTITY_PROBE_INTERVAL_MS;
	target_pool_submit(receiver->pool, identity_probe_new(receiver));
}

/*
 * Handles the answer to an identity probe.  That of an unhealthy target is ignored, as it may be draining,
 * and so is one about another incarnation than was announced since.
 */
static void handle_identity(receiver_t *receiver, target_job_t *job)
{
	const char *id = NULL;

	receiver->identity_probe_running = false;
	if (job->result == CW_ADMIT_ANSWERED && job->response->status == STATUS_HEALTHY)
		id = http_message_header(job->response, receiver->settings->headers.target_id);
	if (id && receiver->identity_changed && strcmp(id, cw_target_id(receiver->target)) != 0)
		id = NULL;
	if (id && cw_target_confirm(receiver->target, id)) {
		log_info("target-found", LOG_STR("target", id), LOG_END);
		target_pool_set_target_id(receiver->pool, id);
		cw_admit_mark_warm(receiver->admit, clock_now_ms());
	}
	target_job_free(job);
}

/* Replies to finished calls, then starts or refuses queued ones. */
void receiver_run(receiver_t *receiver)
{
	target_job_t *job;
	cw_admit_verdict_t verdict;
	cw_reason_t reason;
	uint64_t cookie;

	target_pool_tick(receiver->pool, clock_now_ms());
	while ((job = target_pool_collect(receiver->pool)))
		if (job->is_identity_probe)
			handle_identity(receiver, job);
		else
			finish_job(receiver, job);
	probe_identity(receiver);
	update_target_state(receiver);
	while (cw_admit_next(receiver->admit, clock_now_ms(), &cookie, &verdict, &reason)) {
		job = remove_queued(receiver, cookie);
		if (verdict == CW_ADMIT_START)
			start_job(receiver, job);
		else
			send_failure_reply(receiver, job, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, reason);
	}
}

/* Returns by when receiver_run() must be called next. */
int64_t receiver_next_tick_ms(const receiver_t *receiver)
{
	int64_t deadline_ms =
		MIN(cw_admit_next_check_ms(receiver->admit), target_pool_next_tick_ms(receiver->pool));

	if (!cw_target_awaits_check(receiver->target))
		return deadline_ms;
	return MIN(deadline_ms, clock_now_ms() + IDENTITY_PROBE_INTERVAL_MS);
}

/* Refuses new calls from now on. */
void receiver_drain(receiver_t *receiver)
{
	receiver->draining = true;
	cw_admit_set_draining(receiver->admit, true);
}

/* Returns the number of calls running at the target or queued. */
uint32_t receiver_in_flight(const receiver_t *receiver)
{
	return cw_admit_load(receiver->admit);
}

/* Returns whether the target can be given calls. */
bool receiver_target_ready(const receiver_t *receiver)
{
	return target_pool_is_reachable(receiver->pool) && accepts_calls(receiver);
}
