/* Replies to operators, common to all roles. */
#include "operator_reply.h"

#include "counters.h"

/* Adds every counter of this process to the reply. */
void operator_reply_counters(Caraway__OperatorReply *reply)
{
	reply->counters = g_new(Caraway__Counter *, COUNTER_COUNT);
	for (int i = 0; i < COUNTER_COUNT; i++) {
		Caraway__Counter *counter = g_new(Caraway__Counter, 1);

		caraway__counter__init(counter);
		counter->name = g_strdup(counter_name((counter_t)i));
		counter->value = counter_value((counter_t)i);
		reply->counters[reply->n_counters++] = counter;
	}
}

/* Sends a reply to the operator. */
void operator_reply_send(link_server_t *server, GBytes *peer, Caraway__OperatorReply *reply)
{
	Caraway__Message envelope = CARAWAY__MESSAGE__INIT;

	envelope.body_case = CARAWAY__MESSAGE__BODY_OPERATOR_REPLY;
	envelope.operator_reply = reply;
	link_server_send(server, peer, &envelope);
}
