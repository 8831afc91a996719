/* Operators' queries to the feed port of a proxy: its counters, its status and its client accounts. */
#include <string.h>

#include "account_counts.h"
#include "clock.h"
#include "counters.h"
#include "operator_reply.h"
#include "proxy_internal.h"

/* Adds the status of this proxy to the reply. */
static void fill_status(const proxy_t *proxy, Caraway__OperatorReply *reply)
{
	Caraway__StatusReport *report = g_new(Caraway__StatusReport, 1);
	bool fresh = cw_relay_is_fresh(proxy->relay_io.relay, clock_now_ms());

	caraway__status_report__init(report);
	report->role = g_strdup(proxy->published_version ? (fresh ? "proxy" : "proxy, stale")
							 : "proxy, no configuration");
	report->term = cw_relay_stamp(proxy->relay_io.relay)->term;
	report->version = proxy->published_version;
	report->feed_index = cw_feed_index(proxy->feed);
	reply->report = report;
}

/* Replies to queries for counters, status and accounts; only control replicas handle other requests. */
void proxy_answer_query(proxy_t *proxy, GBytes *peer, const Caraway__OperatorRequest *request)
{
	Caraway__OperatorReply *reply = g_new(Caraway__OperatorReply, 1);

	caraway__operator_reply__init(reply);
	reply->request = request->request;
	switch (request->body_case) {
	case CARAWAY__OPERATOR_REQUEST__BODY_COUNTERS:
		operator_reply_counters(reply);
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_STATUS:
		fill_status(proxy, reply);
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_ACCOUNTS:
		account_counts_fill(reply);
		break;
	default:
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		reply->status = CW_ERR_STATE;
		reply->message = g_strdup("this is a proxy; ask a control replica");
		break;
	}
	operator_reply_send(proxy->server, peer, reply);
	cw_message_free(reply);
}
