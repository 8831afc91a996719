/* Operators' queries: the configuration of VMs, the changes, and the status of the replicas. */
#include "clock.h"
#include "control.h"
#include "operator_reply.h"

#include <inttypes.h>
#include <string.h>

/* Returns a C array with a copy of each message. */
static void *copy_messages(const GPtrArray *messages, size_t *count)
{
	ProtobufCMessage **copies = g_new(ProtobufCMessage *, messages->len);

	for (guint i = 0; i < messages->len; i++)
		copies[i] = cw_message_copy(g_ptr_array_index(messages, i));
	*count = messages->len;
	return copies;
}

/* Returns a copy of a change for the list of changes: its content has only the title and the selector. */
static Caraway__Change *copy_summary(const control_t *control, uint64_t number)
{
	Caraway__Change *change = cw_ledger_copy_change(control->ledger, number);
	Caraway__Content summary = CARAWAY__CONTENT__INIT;
	Caraway__Content *content = change->content;
	Caraway__Change *copy;

	if (!content)
		return change;
	summary.title = content->title;
	summary.selector = content->selector;
	change->content = &summary;
	copy = cw_message_copy(&change->base);
	change->content = content;
	cw_message_free(change);
	return copy;
}

/* Adds a summary of every change to the reply, ordered by number. */
static cw_status_t fill_changes(const control_t *control, Caraway__OperatorReply *reply)
{
	GPtrArray *changes = cw_ledger_changes(control->ledger);

	reply->changes = g_new(Caraway__Change *, changes->len + 1);
	for (guint i = 0; i < changes->len; i++) {
		const Caraway__Change *change = g_ptr_array_index(changes, i);

		reply->changes[reply->n_changes++] = copy_summary(control, change->number);
	}
	g_ptr_array_free(changes, TRUE);
	return CW_OK;
}

/* Adds a change to the reply, with its content if still kept.  CW_ERR_NOT_FOUND: it was never booked. */
static cw_status_t fill_change(const control_t *control, uint64_t number, Caraway__OperatorReply *reply)
{
	Caraway__Change *change = cw_ledger_copy_change(control->ledger, number);

	if (!change)
		return cw_fail(CW_ERR_NOT_FOUND, "no change has number %" PRIu64, number);
	reply->changes = g_new(Caraway__Change *, 1);
	reply->changes[reply->n_changes++] = change;
	return CW_OK;
}

/* Returns true when a configuration has the service, or when no service was requested. */
static bool has_service(const cw_config_t *config, const char *service)
{
	if (!*service)
		return true;
	for (guint i = 0; i < config->services->len; i++) {
		const Caraway__Service *entry = g_ptr_array_index(config->services, i);

		if (!strcmp(entry->name, service))
			return true;
	}
	return false;
}

/* Returns the configuration that a VM should have and the version that it last reported. */
static Caraway__VmInForce *describe_vm(const control_t *control, const Caraway__Vm *vm,
				       const cw_config_t *config)
{
	Caraway__VmInForce *in_force = g_new(Caraway__VmInForce, 1);
	const Caraway__Endpoint *endpoint = cw_members_endpoint(control->members, vm->name);
	int64_t reported_ms = 0;
	const Caraway__Report *report = cw_members_last_report(control->members, vm->name, &reported_ms);

	caraway__vm_in_force__init(in_force);
	in_force->vm = cw_message_copy(&vm->base);
	in_force->wanted = cw_feed_version(cw_ledger_feed(control->ledger));
	in_force->state = endpoint ? endpoint->state : CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE;
	in_force->reported = report != NULL;
	in_force->version = report ? report->version : 0;
	in_force->reported_ms = reported_ms;
	in_force->services = copy_messages(config->services, &in_force->n_services);
	in_force->routes = copy_messages(config->routes, &in_force->n_routes);
	in_force->targets = copy_messages(config->targets, &in_force->n_targets);
	in_force->limits = copy_messages(config->limits, &in_force->n_limits);
	return in_force;
}

/* Adds the VMs to the reply that match the selector and have the service. */
static cw_status_t fill_in_force(const control_t *control, const Caraway__InForceQuery *query,
				 Caraway__OperatorReply *reply)
{
	const cw_catalog_t *catalog = cw_feed_catalog(cw_ledger_feed(control->ledger));
	cw_selector_t *selector;
	cw_status_t status = cw_selector_parse(query->selector, &selector);
	GPtrArray *vms;

	if (status != CW_OK)
		return status;
	vms = cw_catalog_vms(catalog);
	reply->vms = g_new(Caraway__VmInForce *, vms->len);
	for (guint i = 0; i < vms->len; i++) {
		const Caraway__Vm *vm = g_ptr_array_index(vms, i);
		cw_config_t *config;

		if (!cw_selector_match(selector, vm))
			continue;
		config = cw_catalog_resolve(catalog, vm);
		if (has_service(config, query->service))
			reply->vms[reply->n_vms++] = describe_vm(control, vm, config);
		cw_config_free(config);
	}
	g_ptr_array_free(vms, TRUE);
	cw_selector_free(selector);
	return CW_OK;
}

/* Counts the proxies whose last reported version is current or behind, and those without a report. */
static void count_proxies(const control_t *control, Caraway__StatusReport *report)
{
	GPtrArray *vms = cw_catalog_vms(cw_feed_catalog(cw_ledger_feed(control->ledger)));

	report->proxies_known = vms->len;
	for (guint i = 0; i < vms->len; i++) {
		const Caraway__Vm *vm = g_ptr_array_index(vms, i);
		int64_t reported_ms;
		const Caraway__Report *last =
			cw_members_last_report(control->members, vm->name, &reported_ms);

		if (!last)
			report->proxies_silent++;
		else if (last->version < report->version)
			report->proxies_behind++;
		else
			report->proxies_current++;
	}
	g_ptr_array_free(vms, TRUE);
}

/* Adds the status of this replica to the reply and, on the leader, that of the other replicas and proxies. */
static cw_status_t fill_status(const control_t *control, Caraway__OperatorReply *reply)
{
	Caraway__StatusReport *report = g_new(Caraway__StatusReport, 1);
	cw_feed_t *feed = cw_ledger_feed(control->ledger);
	GPtrArray *replicas = cw_raft_replica_statuses(control->raft, clock_now_ms());

	caraway__status_report__init(report);
	report->id = control->settings->id;
	report->role = g_strdup(control_role_name(cw_raft_role(control->raft)));
	report->term = cw_raft_term(control->raft);
	report->leader_id = cw_raft_leader_id(control->raft);
	report->commit_index = cw_raft_commit_index(control->raft);
	report->version = cw_feed_version(feed);
	report->feed_index = cw_feed_index(feed);
	report->replicas = copy_messages(replicas, &report->n_replicas);
	g_ptr_array_set_free_func(replicas, cw_message_free);
	g_ptr_array_free(replicas, TRUE);
	if (cw_raft_role(control->raft) == CW_RAFT_LEADER)
		count_proxies(control, report);
	reply->report = report;
	return CW_OK;
}

/* Fills the reply to a query from the current state; an error status says why it cannot be answered. */
cw_status_t control_answer_query(control_t *control, const Caraway__OperatorRequest *request,
				 Caraway__OperatorReply *reply)
{
	switch (request->body_case) {
	case CARAWAY__OPERATOR_REQUEST__BODY_CHANGES:
		return fill_changes(control, reply);
	case CARAWAY__OPERATOR_REQUEST__BODY_SHOW:
		return fill_change(control, request->show->number, reply);
	case CARAWAY__OPERATOR_REQUEST__BODY_IN_FORCE:
		return fill_in_force(control, request->in_force, reply);
	case CARAWAY__OPERATOR_REQUEST__BODY_STATUS:
		return fill_status(control, reply);
	case CARAWAY__OPERATOR_REQUEST__BODY_COUNTERS:
		operator_reply_counters(reply);
		return CW_OK;
	default:
		return cw_fail(CW_ERR_DECODE, "the request is not a query");
	}
}
