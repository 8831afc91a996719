/* Allotments of client accounts on a proxy. */
#include "allotments.h"

#include <string.h>

#include "account_counts.h"
#include "clock.h"
#include "counters.h"
#include "log.h"

enum {
	OWNER_HEARD_MS = 200,	 /* an owner that has granted tokens to this proxy of late is up */
	PROBE_INTERVAL_MS = 500, /* between probes of one that does not answer */
	MAX_PREOPENED_OWNERS = 128,
	KEEP_MS = 60 * 1000, /* buckets and balances that nobody uses */
	EXPIRY_INTERVAL_MS = 10 * 1000
};

/* A proxy that may own accounts. */
typedef struct {
	const char *vm; /* of the view */
	const char *address;
	uint64_t incarnation;
	int64_t granted_ms; /* when it last granted tokens to this proxy, or answered its probe */
	int64_t probed_ms;  /* since when it has not answered a probe of this proxy; 0: none is unanswered */
	int64_t last_probe_ms;
} candidate_t;

struct allotments {
	const proxy_settings_t *settings;
	uint64_t incarnation;
	const published_view_t *published_view;
	link_clients_t *clients;
	allotments_callbacks_t callbacks;
	const view_t *view;	     /* a reference; NULL before the first */
	GArray *candidates;	     /* candidate_t, by name of the VM */
	int64_t candidates_since_ms; /* when they changed last, and so may have the owner of an account */
	GPtrArray *vms;		     /* their names, borrowed */
	GHashTable *accounts;	     /* id -> view_account_t of the view */
	GHashTable *waiting;	     /* account id -> GQueue of cookies */
	cw_allotment_origin_t *origin;
	cw_allotment_owner_t *owner;
	int64_t next_expiry_ms;
};

/* Frees a queue of cookies. */
static void queue_free(gpointer queue)
{
	g_queue_free(queue);
}

/* Creates the allotments of a proxy. */
allotments_t *allotments_new(const proxy_settings_t *settings, uint64_t incarnation,
			     const published_view_t *published_view, link_clients_t *clients,
			     const allotments_callbacks_t *callbacks)
{
	allotments_t *allotments = g_new0(allotments_t, 1);

	allotments->settings = settings;
	allotments->incarnation = incarnation;
	allotments->published_view = published_view;
	allotments->clients = clients;
	allotments->callbacks = *callbacks;
	allotments->candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	allotments->vms = g_ptr_array_new();
	allotments->accounts = g_hash_table_new(g_int64_hash, g_int64_equal);
	allotments->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, queue_free);
	allotments->origin = cw_allotment_origin_new();
	allotments->owner = cw_allotment_owner_new();
	return allotments;
}

/* Frees the allotments; calls that wait are forgotten. */
void allotments_free(allotments_t *allotments)
{
	g_array_unref(allotments->candidates);
	g_ptr_array_unref(allotments->vms);
	g_hash_table_destroy(allotments->accounts);
	g_hash_table_destroy(allotments->waiting);
	cw_allotment_origin_free(allotments->origin);
	cw_allotment_owner_free(allotments->owner);
	view_unref(allotments->view);
	g_free(allotments);
}

/* Orders candidates by the name of the VM, the newest incarnation first. */
static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *left = a, *right = b;
	int order = strcmp(left->vm, right->vm);

	if (order)
		return order;
	return (left->incarnation < right->incarnation) - (left->incarnation > right->incarnation);
}

/* Copies what is known of the state of a proxy, by its VM: a process that was started again is found out by probes. */
static void copy_state(candidate_t *candidate, const GArray *known)
{
	for (guint i = 0; i < known->len; i++) {
		const candidate_t *other = &g_array_index(known, candidate_t, i);

		if (strcmp(other->vm, candidate->vm) != 0)
			continue;
		candidate->granted_ms = other->granted_ms;
		candidate->probed_ms = other->probed_ms;
		candidate->last_probe_ms = other->last_probe_ms;
		return;
	}
}

/* Lists the proxies of a view, one for each VM. */
static GArray *list_candidates(const allotments_t *allotments, const view_t *view)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	for (uint32_t i = 0; i < view->endpoint_count; i++) {
		const view_endpoint_t *endpoint = &view->endpoints[i];
		candidate_t candidate = {.vm = endpoint->vm,
					 .address = endpoint->call_address,
					 .incarnation = endpoint->incarnation};

		g_array_append_val(candidates, candidate);
	}
	g_array_sort(candidates, compare_candidates);
	for (guint i = candidates->len; i > 1; i--)
		if (!strcmp(g_array_index(candidates, candidate_t, i - 1).vm,
			    g_array_index(candidates, candidate_t, i - 2).vm))
			g_array_remove_index(candidates, i - 1);
	for (guint i = 0; i < candidates->len; i++)
		copy_state(&g_array_index(candidates, candidate_t, i), allotments->candidates);
	return candidates;
}

/* Returns the proxy of a rank for an account; NULL when there are fewer. */
static candidate_t *ranked_candidate(const allotments_t *allotments, uint64_t account, size_t rank)
{
	size_t ranked[CW_ALLOTMENT_OWNERS];
	size_t count = cw_allotment_rank(account, (const char *const *)allotments->vms->pdata,
					 allotments->vms->len, ranked);

	return rank < count ? &g_array_index(allotments->candidates, candidate_t, ranked[rank]) : NULL;
}

/* Returns whether a candidate is this proxy. */
static bool is_self(const allotments_t *allotments, const candidate_t *candidate)
{
	return candidate->incarnation == allotments->incarnation &&
	       !strcmp(candidate->vm, allotments->settings->vm);
}

/* Returns whether two lists have the same proxies. */
static bool are_equal(const GArray *left, const GArray *right)
{
	for (guint i = 0; i < MIN(left->len, right->len); i++) {
		const candidate_t *a = &g_array_index(left, candidate_t, i);
		const candidate_t *b = &g_array_index(right, candidate_t, i);

		if (a->incarnation != b->incarnation || strcmp(a->vm, b->vm) != 0)
			return false;
	}
	return left->len == right->len;
}

/* Opens connections to the owners of accounts, so that the first calls do not wait for them. */
static void connect_owners(const allotments_t *allotments)
{
	for (uint32_t i = 0; i < MIN(allotments->view->account_count, MAX_PREOPENED_OWNERS); i++) {
		const view_account_t *account = &allotments->view->accounts[i];
		const candidate_t *owner =
			account->calls_per_s > 0 ? ranked_candidate(allotments, account->id, 0) : NULL;

		if (owner && !is_self(allotments, owner))
			link_clients_connect(allotments->clients, owner->address);
	}
}

/* Applies a new view; one without limited accounts costs nothing. */
void allotments_set_view(allotments_t *allotments, const view_t *view)
{
	bool is_limited = false;
	GArray *candidates;

	g_hash_table_remove_all(allotments->accounts);
	for (uint32_t i = 0; i < view->account_count; i++) {
		is_limited = is_limited || view->accounts[i].calls_per_s > 0;
		g_hash_table_insert(allotments->accounts, &view->accounts[i].id, &view->accounts[i]);
	}
	candidates = is_limited ? list_candidates(allotments, view)
				: g_array_new(FALSE, FALSE, sizeof(candidate_t));
	if (!are_equal(allotments->candidates, candidates))
		allotments->candidates_since_ms = clock_now_ms();
	g_array_unref(allotments->candidates);
	allotments->candidates = candidates;
	g_ptr_array_set_size(allotments->vms, 0);
	for (guint i = 0; i < candidates->len; i++)
		g_ptr_array_add(allotments->vms, (gpointer)g_array_index(candidates, candidate_t, i).vm);
	view_unref(allotments->view);
	allotments->view = view_ref(view);
	connect_owners(allotments);
}

/* Asks a proxy for no tokens of an account, to learn whether it would grant any. */
static void probe(allotments_t *allotments, candidate_t *candidate, uint64_t account, int64_t now_ms)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__AllotmentRequest request = CARAWAY__ALLOTMENT_REQUEST__INIT;
	Caraway__AllotmentNeed need = CARAWAY__ALLOTMENT_NEED__INIT;
	Caraway__AllotmentNeed *needs[] = {&need};

	need.account = account;
	request.owner = candidate->incarnation;
	request.n_needs = G_N_ELEMENTS(needs);
	request.needs = needs;
	message.body_case = CARAWAY__MESSAGE__BODY_ALLOTMENT_REQUEST;
	message.allotment_request = &request;
	candidate->last_probe_ms = now_ms;
	if (!candidate->probed_ms)
		candidate->probed_ms = now_ms;
	/* One that cannot be sent counts as unanswered. */
	link_clients_send(allotments->clients, candidate->address, &message);
}

/*
 * Returns whether the owner of an account does not answer this proxy either: an origin that cannot reach it may only
 * be cut off from it.
 */
static bool is_owner_down(allotments_t *allotments, candidate_t *owner, uint64_t account, int64_t now_ms)
{
	if (!owner->probed_ms && now_ms < owner->granted_ms + OWNER_HEARD_MS)
		return false;
	if (now_ms >= owner->last_probe_ms + PROBE_INTERVAL_MS)
		probe(allotments, owner, account, now_ms);
	return owner->probed_ms && now_ms >= owner->probed_ms + CW_ALLOTMENT_PROBE_MS;
}

/* Notes that a proxy has granted tokens, or answered a probe. */
static void note_granted(const allotments_t *allotments, const char *address)
{
	for (guint i = 0; address && i < allotments->candidates->len; i++) {
		candidate_t *candidate = &g_array_index(allotments->candidates, candidate_t, i);

		if (strcmp(candidate->address, address) != 0)
			continue;
		candidate->granted_ms = clock_now_ms();
		candidate->probed_ms = 0;
	}
}

/* Finds what entitles this proxy to grant tokens of an account; returns false when nothing does. */
static bool find_title(allotments_t *allotments, uint64_t account, bool substitute, int64_t now_ms,
		       cw_allotment_title_t *title)
{
	candidate_t *owner = ranked_candidate(allotments, account, 0);

	*title = CW_ALLOTMENT_OWNER;
	if (!owner)
		return false;
	if (!is_self(allotments, owner)) {
		*title = CW_ALLOTMENT_SUBSTITUTE;
		if (substitute && !is_owner_down(allotments, owner, account, now_ms))
			return false;
	}
	if (now_ms >= published_view_current_until_ms(allotments->published_view))
		*title = CW_ALLOTMENT_UNCONFIRMED;
	return true;
}

/* Grants tokens of an account; returns false when this proxy may not. */
static bool grant(allotments_t *allotments, uint64_t account_id, const cw_allotment_need_t *need,
		  bool substitute, cw_allotment_grant_t *granted)
{
	const view_account_t *account = g_hash_table_lookup(allotments->accounts, &account_id);
	int64_t now_ms = clock_now_ms();
	cw_allotment_limit_t limit;
	cw_allotment_title_t title;

	if (!account || !find_title(allotments, account_id, substitute, now_ms, &title)) {
		counter_add(COUNTER_ALLOTMENT_DECLINED, 1);
		return false;
	}
	limit = (cw_allotment_limit_t){.calls_per_s = account->calls_per_s,
				       .burst = account->burst,
				       .window_ms = allotments->settings->allotment_window_ms,
				       .overage_permille = allotments->settings->allotment_overage_permille};
	*granted = (cw_allotment_grant_t){.tokens = need->tokens};
	if (limit.calls_per_s > 0)
		*granted = cw_allotment_owner_grant(allotments->owner, account_id, &limit, title,
						    allotments->candidates_since_ms, need, now_ms);
	counter_add(COUNTER_ALLOTMENT_GRANTED, granted->tokens + granted->spare_tokens);
	account_counts_granted(account, granted->tokens + granted->spare_tokens);
	counter_add(COUNTER_ALLOTMENT_WITHHELD, need->tokens - granted->tokens);
	return true;
}

/* Returns the answer to a request of another proxy. */
Caraway__Message *allotments_answer(allotments_t *allotments, const Caraway__AllotmentRequest *request,
				    uint64_t origin)
{
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__AllotmentGrant *answer = g_new(Caraway__AllotmentGrant, 1);

	caraway__message__init(message);
	caraway__allotment_grant__init(answer);
	message->body_case = CARAWAY__MESSAGE__BODY_ALLOTMENT_GRANT;
	message->allotment_grant = answer;
	answer->shares = cw_message_array(request->n_needs);
	for (size_t i = 0; i < request->n_needs; i++) {
		const Caraway__AllotmentNeed *need = request->needs[i];
		Caraway__AllotmentShare *share = g_new(Caraway__AllotmentShare, 1);
		const cw_allotment_need_t asked = {
			.origin = origin, .tokens = need->tokens, .unspent = need->unspent};
		cw_allotment_grant_t granted = {0};

		caraway__allotment_share__init(share);
		share->account = need->account;
		share->request = need->request;
		share->declined = !grant(allotments, need->account, &asked, request->substitute, &granted);
		share->tokens = granted.tokens;
		share->spare_tokens = granted.spare_tokens;
		share->scarce = granted.scarce;
		share->retry_after_ms = granted.retry_after_ms;
		answer->shares[answer->n_shares++] = share;
	}
	return message;
}

/* Returns the calls of an account that wait, created if needed. */
static GQueue *get_waiting(allotments_t *allotments, uint64_t account)
{
	GQueue *queue = g_hash_table_lookup(allotments->waiting, &account);

	if (queue)
		return queue;
	queue = g_queue_new();
	g_hash_table_insert(allotments->waiting, g_memdup2(&account, sizeof(account)), queue);
	return queue;
}

/* Spends a token on a call. */
cw_allotment_verdict_t allotments_take(allotments_t *allotments, const view_account_t *account, void *cookie,
				       uint32_t *retry_after_ms)
{
	cw_allotment_verdict_t verdict = cw_allotment_origin_take(allotments->origin, account->id, true,
								  clock_now_ms(), retry_after_ms);

	if (verdict == CW_ALLOTMENT_WAIT)
		g_queue_push_tail(get_waiting(allotments, account->id), cookie);
	return verdict;
}

/* Forgets a call that waits. */
void allotments_cancel(allotments_t *allotments, uint64_t account, const void *cookie)
{
	GQueue *queue = g_hash_table_lookup(allotments->waiting, &account);

	if (queue && g_queue_remove(queue, cookie))
		cw_allotment_origin_leave(allotments->origin, account);
}

/* Spends tokens on the calls of an account that wait, or refuses them. */
static void serve_waiting(allotments_t *allotments, uint64_t account)
{
	GQueue *queue = g_hash_table_lookup(allotments->waiting, &account);
	uint32_t retry_after_ms;

	while (queue && queue->length) {
		void *cookie = g_queue_peek_head(queue);

		switch (cw_allotment_origin_take(allotments->origin, account, false, clock_now_ms(),
						 &retry_after_ms)) {
		case CW_ALLOTMENT_WAIT:
			return;
		case CW_ALLOTMENT_TAKEN:
			g_queue_pop_head(queue);
			allotments->callbacks.granted(allotments->callbacks.data, cookie);
			break;
		case CW_ALLOTMENT_REFUSED:
			g_queue_pop_head(queue);
			allotments->callbacks.refused(allotments->callbacks.data, cookie,
						      CW_REASON_OVER_ALLOTMENT, retry_after_ms);
			break;
		}
	}
}

/* Handles the answer to a request of this proxy. */
void allotments_handle_grant(allotments_t *allotments, const Caraway__AllotmentGrant *answer,
			     const char *address)
{
	int64_t now_ms = clock_now_ms();

	for (size_t i = 0; i < answer->n_shares; i++) {
		const Caraway__AllotmentShare *share = answer->shares[i];
		const cw_allotment_grant_t granted = {.tokens = share->tokens,
						      .spare_tokens = share->spare_tokens,
						      .scarce = share->scarce,
						      .retry_after_ms = share->retry_after_ms};

		if (share->declined) {
			cw_allotment_origin_failed(allotments->origin, share->account, share->request,
						   CW_ALLOTMENT_DECLINED, now_ms);
		} else {
			note_granted(allotments, address);
			cw_allotment_origin_granted(allotments->origin, share->account, share->request,
						    &granted, now_ms);
		}
		serve_waiting(allotments, share->account);
	}
}

/* The requests of one turn to one proxy. */
typedef struct {
	const candidate_t *candidate;
	bool substitute;
	GPtrArray *needs; /* Caraway__AllotmentNeed * */
} batch_t;

/* Returns the batch for a proxy and rank, added if needed. */
static batch_t *get_batch(GArray *batches, const candidate_t *candidate, bool substitute)
{
	batch_t added = {.candidate = candidate, .substitute = substitute};

	for (guint i = 0; i < batches->len; i++) {
		batch_t *batch = &g_array_index(batches, batch_t, i);

		if (batch->candidate == candidate && batch->substitute == substitute)
			return batch;
	}
	added.needs = g_ptr_array_new_with_free_func(cw_message_free);
	g_array_append_val(batches, added);
	return &g_array_index(batches, batch_t, batches->len - 1);
}

/* Grants tokens of an account that this proxy owns to itself. */
static void grant_to_self(allotments_t *allotments, const cw_allotment_ask_t *ask)
{
	const cw_allotment_need_t need = {
		.origin = allotments->incarnation, .tokens = ask->tokens, .unspent = ask->unspent};
	cw_allotment_grant_t granted;
	int64_t now_ms = clock_now_ms();

	if (grant(allotments, ask->account, &need, ask->rank > 0, &granted))
		cw_allotment_origin_granted(allotments->origin, ask->account, ask->request, &granted, now_ms);
	else
		cw_allotment_origin_failed(allotments->origin, ask->account, ask->request,
					   CW_ALLOTMENT_DECLINED, now_ms);
	serve_waiting(allotments, ask->account);
}

/* Adds a request for tokens to its batch. */
static void add_ask(allotments_t *allotments, GArray *batches, const cw_allotment_ask_t *ask)
{
	candidate_t *candidate = ranked_candidate(allotments, ask->account, ask->rank);
	Caraway__AllotmentNeed *need;

	if (!candidate) {
		cw_allotment_origin_failed(allotments->origin, ask->account, ask->request,
					   CW_ALLOTMENT_UNSENT, clock_now_ms());
		return;
	}
	if (is_self(allotments, candidate)) {
		grant_to_self(allotments, ask);
		return;
	}
	need = g_new(Caraway__AllotmentNeed, 1);
	caraway__allotment_need__init(need);
	need->account = ask->account;
	need->request = ask->request;
	need->tokens = ask->tokens;
	need->unspent = ask->unspent;
	g_ptr_array_add(get_batch(batches, candidate, ask->rank > 0)->needs, need);
}

/* Sends a batch. */
static void send_batch(allotments_t *allotments, const batch_t *batch)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__AllotmentRequest request = CARAWAY__ALLOTMENT_REQUEST__INIT;

	request.owner = batch->candidate->incarnation;
	request.substitute = batch->substitute;
	request.n_needs = batch->needs->len;
	request.needs = (Caraway__AllotmentNeed **)batch->needs->pdata;
	message.body_case = CARAWAY__MESSAGE__BODY_ALLOTMENT_REQUEST;
	message.allotment_request = &request;
	counter_add(COUNTER_ALLOTMENT_ASKED, 1);
	if (link_clients_send(allotments->clients, batch->candidate->address, &message) == CW_OK)
		return;
	for (guint i = 0; i < batch->needs->len; i++) {
		const Caraway__AllotmentNeed *need = batch->needs->pdata[i];

		cw_allotment_origin_failed(allotments->origin, need->account, need->request,
					   CW_ALLOTMENT_UNSENT, clock_now_ms());
	}
}

/* Sends the requests that are due, one message for each proxy. */
static void send_asks(allotments_t *allotments)
{
	g_autoptr(GArray) batches = g_array_new(FALSE, FALSE, sizeof(batch_t));
	cw_allotment_ask_t ask;

	while (cw_allotment_origin_next_ask(allotments->origin, clock_now_ms(), &ask))
		add_ask(allotments, batches, &ask);
	for (guint i = 0; i < batches->len; i++) {
		const batch_t *batch = &g_array_index(batches, batch_t, i);

		send_batch(allotments, batch);
		g_ptr_array_unref(batch->needs);
	}
}

/* Refuses the calls of an account that wait: none of its proxies answers. */
static void refuse_waiting(allotments_t *allotments, uint64_t account)
{
	GQueue *queue = g_hash_table_lookup(allotments->waiting, &account);
	const view_account_t *found = g_hash_table_lookup(allotments->accounts, &account);
	const candidate_t *owner = ranked_candidate(allotments, account, 0);
	void *cookie;

	log_info("allotment-unavailable", LOG_STR("account", found ? found->name : NULL),
		 LOG_STR("owner", owner ? owner->vm : NULL), LOG_UINT("calls", queue ? queue->length : 0),
		 LOG_END);
	while (queue && (cookie = g_queue_pop_head(queue)))
		allotments->callbacks.refused(allotments->callbacks.data, cookie,
					      CW_REASON_ALLOTMENT_UNAVAILABLE, 0);
}

/* Removes buckets, balances and queues that nobody uses. */
static void expire(allotments_t *allotments, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer queue;

	if (now_ms < allotments->next_expiry_ms)
		return;
	allotments->next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
	cw_allotment_owner_expire(allotments->owner, now_ms - KEEP_MS);
	cw_allotment_origin_expire(allotments->origin, now_ms - KEEP_MS);
	g_hash_table_iter_init(&iter, allotments->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		if (g_queue_is_empty(queue))
			g_hash_table_iter_remove(&iter);
}

/* Sends the requests that are due and ends those without an answer. */
void allotments_run(allotments_t *allotments)
{
	cw_allotment_event_t event;

	do {
		event = cw_allotment_origin_tick(allotments->origin, clock_now_ms());
		switch (event.type) {
		case CW_ALLOTMENT_NO_EVENT:
			break;
		case CW_ALLOTMENT_CREDIT:
			counter_add(COUNTER_ALLOTMENT_CREDIT, 1);
			serve_waiting(allotments, event.account);
			break;
		case CW_ALLOTMENT_UNAVAILABLE:
			refuse_waiting(allotments, event.account);
			break;
		}
	} while (event.type != CW_ALLOTMENT_NO_EVENT);
	send_asks(allotments);
	expire(allotments, clock_now_ms());
}

/* Returns by when allotments_run() must be called next. */
int64_t allotments_next_tick_ms(const allotments_t *allotments)
{
	return cw_allotment_origin_next_tick_ms(allotments->origin);
}
