/* Queries that a proxy answers on its feed port: its counters and its state. */
#include <string.h>

#include "clock.h"
#include "counters.h"
#include "proxy_internal.h"

/* Fills in every counter; the caller frees them with clear_reply(). */
static void fill_counters(Caraway__OperatorReply *reply)
{
	reply->n_counters = COUNTER_COUNT;
	reply->counters = g_new(Caraway__Counter *, COUNTER_COUNT);
	for (size_t i = 0; i < COUNTER_COUNT; i++) {
		Caraway__Counter *counter = g_new(Caraway__Counter, 1);

		caraway__counter__init(counter);
		counter->name = (char *)counter_word((counter_t)i);
		counter->value = counter_value((counter_t)i);
		reply->counters[i] = counter;
	}
}

/* Frees what was filled in; names are borrowed. */
static void clear_reply(Caraway__OperatorReply *reply)
{
	for (size_t i = 0; i < reply->n_counters; i++)
		g_free(reply->counters[i]);
	g_free(reply->counters);
}

/* Fills in the state of this proxy. */
static void fill_status(const proxy_t *proxy, Caraway__StatusReport *report)
{
	bool fresh = cw_relay_fresh(proxy->relay, clock_now_ms());

	report->role = proxy->version ? (fresh ? "proxy" : "proxy, stale") : "proxy, no configuration";
	report->term = cw_relay_stamp(proxy->relay)->term;
	report->version = proxy->version;
	report->feed_index = cw_feed_index(proxy->feed);
}

/* Answers counters and status; other requests belong to a control replica. */
void proxy_answer(proxy_t *proxy, GBytes *peer, const Caraway__OperatorRequest *request)
{
	Caraway__OperatorReply reply = CARAWAY__OPERATOR_REPLY__INIT;
	Caraway__StatusReport report = CARAWAY__STATUS_REPORT__INIT;
	Caraway__Message message = CARAWAY__MESSAGE__INIT;

	reply.request = request->request;
	switch (request->body_case) {
	case CARAWAY__OPERATOR_REQUEST__BODY_COUNTERS:
		fill_counters(&reply);
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_STATUS:
		fill_status(proxy, &report);
		reply.report = &report;
		break;
	default:
		reply.status = CW_ERR_STATE;
		reply.message = "this is a proxy; ask a control replica";
		break;
	}
	message.body_case = CARAWAY__MESSAGE__BODY_OPERATOR_REPLY;
	message.operator_reply = &reply;
	link_server_send(proxy->server, peer, &message);
	clear_reply(&reply);
}
