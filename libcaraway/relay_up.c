/* The relay as a child: sends changed endpoints, and reports that renew leases, toward the leader. */
#include "relay_internal.h"

/* Shortest interval between announcements of this proxy's endpoint while the member table lacks it. */
enum { ANNOUNCE_INTERVAL_MS = 1000 };

void cw_relay_pending_free(void *data)
{
	relay_pending_t *item = data;

	cw_message_free(item->endpoint);
	cw_message_free(item->report);
	g_free(item);
}

/* Returns true when (incarnation, sequence) is older than another one of the same VM. */
static bool is_older(uint64_t incarnation, uint64_t sequence, uint64_t other_incarnation,
		     uint64_t other_sequence)
{
	if (incarnation != other_incarnation)
		return incarnation < other_incarnation;
	return sequence < other_sequence;
}

void cw_relay_up_queue_endpoint(cw_relay_t *relay, const Caraway__Endpoint *endpoint, int64_t now_ms)
{
	relay_pending_t *item = g_hash_table_lookup(relay->pending_endpoints, endpoint->vm);

	if (item && is_older(endpoint->incarnation, endpoint->sequence, item->endpoint->incarnation,
			     item->endpoint->sequence))
		return;
	item = g_new0(relay_pending_t, 1);
	item->endpoint = cw_message_copy(&endpoint->base);
	g_hash_table_replace(relay->pending_endpoints, g_strdup(endpoint->vm), item);
	relay->early_pull_ms = MIN(relay->early_pull_ms, now_ms + relay->options.batch_ms);
}

/* Queues a report for the next pull. */
static void queue_report(cw_relay_t *relay, const Caraway__Report *report)
{
	relay_pending_t *item = g_hash_table_lookup(relay->pending_reports, report->vm);

	if (item && is_older(report->incarnation, report->sequence, item->report->incarnation,
			     item->report->sequence))
		return;
	item = g_new0(relay_pending_t, 1);
	item->report = cw_message_copy(&report->base);
	g_hash_table_replace(relay->pending_reports, g_strdup(report->vm), item);
}

/* Stores an announced endpoint in the leader's member table; adds actions if that has changed the table. */
static void announce_at_leader(cw_relay_t *relay, const Caraway__Endpoint *endpoint, int64_t now_ms,
			       cw_relay_actions_t *actions)
{
	uint64_t sequence = cw_members_sequence(relay->members);

	if (cw_members_announce(relay->members, endpoint, now_ms) != CW_OK)
		return;
	if (cw_members_sequence(relay->members) == sequence)
		return;
	cw_relay_add_action(actions, CW_RELAY_AC_ANNOUNCED)->endpoint = cw_message_copy(&endpoint->base);
	cw_relay_add_action(actions, CW_RELAY_AC_ENDPOINTS);
}

void cw_relay_up_receive(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			 cw_relay_actions_t *actions)
{
	const Caraway__Pull *pull = event->pull;

	for (size_t i = 0; i < pull->n_endpoints; i++) {
		if (relay->leading)
			announce_at_leader(relay, pull->endpoints[i], now_ms, actions);
		else
			cw_relay_up_queue_endpoint(relay, pull->endpoints[i], now_ms);
	}
	for (size_t i = 0; i < pull->n_evidence; i++)
		cw_relay_add_evidence(relay, pull->evidence[i], now_ms);
	/* A rejected report needs no answer: its proxy finds the table without its state and announces it. */
	for (size_t i = 0; i < pull->n_reports; i++) {
		if (relay->leading)
			cw_members_report(relay->members, pull->reports[i], now_ms, event->utc_ms);
		else
			queue_report(relay, pull->reports[i]);
	}
}

/* Returns true when the member table contains the current state of this proxy. */
static bool is_own_endpoint_current(const cw_relay_t *relay)
{
	const Caraway__Endpoint *listed = cw_members_endpoint(relay->members, relay->own_endpoint->vm);

	return listed && listed->incarnation == relay->own_endpoint->incarnation &&
	       listed->sequence == relay->own_endpoint->sequence &&
	       listed->state == relay->own_endpoint->state;
}

void cw_relay_up_queue_own(cw_relay_t *relay, int64_t now_ms)
{
	Caraway__Report report = CARAWAY__REPORT__INIT;
	uint64_t version = cw_feed_version(relay->feed);
	uint64_t epoch = cw_members_epoch(relay->members);
	bool version_changed = relay->ready && version != relay->reported_version;

	if (!relay->own_endpoint)
		return;
	/* A new leader may have no endpoints: announce this one without waiting for the next report. */
	if (now_ms >= relay->announce_after_ms &&
	    (epoch != relay->announced_epoch || !is_own_endpoint_current(relay))) {
		cw_relay_up_queue_endpoint(relay, relay->own_endpoint, now_ms);
		relay->announce_after_ms = now_ms + ANNOUNCE_INTERVAL_MS;
		relay->announced_epoch = epoch;
	}
	if (now_ms < relay->report_by_ms && !version_changed)
		return;
	report.vm = relay->own_endpoint->vm;
	report.incarnation = relay->own_endpoint->incarnation;
	report.sequence = relay->own_endpoint->sequence;
	report.version = relay->ready ? version : 0;
	report.feed_index = cw_feed_index(relay->feed);
	queue_report(relay, &report);
	relay->reported_version = report.version;
	relay->report_by_ms = now_ms + relay->options.report_ms;
}

/* Adds the endpoints that are not sent yet to a pull. */
static void attach_endpoints(cw_relay_t *relay, Caraway__Pull *pull)
{
	GHashTableIter iter;
	void *data;

	pull->endpoints = g_new(Caraway__Endpoint *, g_hash_table_size(relay->pending_endpoints) + 1);
	g_hash_table_iter_init(&iter, relay->pending_endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		relay_pending_t *item = data;

		if (item->sent_request)
			continue;
		item->sent_request = pull->request;
		pull->endpoints[pull->n_endpoints++] = item->endpoint;
	}
}

/* Adds the reports that are not sent yet to a pull. */
static void attach_reports(cw_relay_t *relay, Caraway__Pull *pull)
{
	GHashTableIter iter;
	void *data;

	pull->reports = g_new(Caraway__Report *, g_hash_table_size(relay->pending_reports) + 1);
	g_hash_table_iter_init(&iter, relay->pending_reports);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		relay_pending_t *item = data;

		if (item->sent_request)
			continue;
		item->sent_request = pull->request;
		pull->reports[pull->n_reports++] = item->report;
	}
}

void cw_relay_up_attach(cw_relay_t *relay, Caraway__Pull *pull)
{
	attach_endpoints(relay, pull);
	attach_reports(relay, pull);
	relay->early_pull_ms = INT64_MAX;
}

/* Returns true for an item that was sent in a pull with a number up to the one given. */
static gboolean is_acknowledged(gpointer key, gpointer data, gpointer request)
{
	const relay_pending_t *item = data;

	(void)key;
	return item->sent_request && item->sent_request <= *(const uint64_t *)request;
}

void cw_relay_up_acknowledge(cw_relay_t *relay, uint64_t request)
{
	g_hash_table_foreach_remove(relay->pending_endpoints, is_acknowledged, &request);
	g_hash_table_foreach_remove(relay->pending_reports, is_acknowledged, &request);
}

/* Marks all items of a table as not sent. */
static void mark_unsent(GHashTable *table)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		((relay_pending_t *)data)->sent_request = 0;
}

void cw_relay_up_mark_unsent(cw_relay_t *relay)
{
	mark_unsent(relay->pending_endpoints);
	mark_unsent(relay->pending_reports);
}
