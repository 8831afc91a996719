/* Formatting of replies as human-readable text. */
#include "render.h"

#include <inttypes.h>
#include <stdarg.h>

#include "due.h"
#include "table.h"

/* Returns a table row; takes ownership of the cells, a NULL-terminated list of char *. */
static char **make_row(char *first, ...)
{
	GPtrArray *cells = g_ptr_array_new();
	va_list list;

	va_start(list, first);
	for (char *text = first; text; text = va_arg(list, char *))
		g_ptr_array_add(cells, text);
	va_end(list);
	g_ptr_array_add(cells, NULL);
	return (char **)g_ptr_array_free(cells, FALSE);
}

/* Returns a cell with a copy of a text, or "-" when it is empty. */
static char *text_cell(const char *text)
{
	return g_strdup(text && *text ? text : "-");
}

/* Returns a cell with a number, or "-" for 0. */
static char *number_cell(uint64_t number)
{
	return number ? g_strdup_printf("%" PRIu64, number) : g_strdup("-");
}

/* Returns the name of a change state. */
const char *render_state_name(Caraway__ChangeState state)
{
	switch (state) {
	case CARAWAY__CHANGE_STATE__CHANGE_BOOKED:
		return "booked";
	case CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED:
		return "accepted";
	case CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE:
		return "in force";
	case CARAWAY__CHANGE_STATE__CHANGE_REFUSED:
		return "refused";
	case CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN:
		return "withdrawn";
	default:
		return "unknown";
	}
}

/* Appends a table of changes, one per line. */
void render_changes(const Caraway__OperatorReply *reply, GString *out)
{
	const char *const headings[] = {"NUMBER",      "STATE",	   "DUE",   "VERSION", "BOOKED BY",
					"REVIEWED BY", "SELECTOR", "TITLE", NULL};
	table_t *table = table_new(headings);

	for (size_t i = 0; i < reply->n_changes; i++) {
		const Caraway__Change *change = reply->changes[i];
		const Caraway__Content *content = change->content;

		table_add(table,
			  make_row(number_cell(change->number), text_cell(render_state_name(change->state)),
				   due_format(change->due_ms), number_cell(change->version),
				   text_cell(change->booked_by), text_cell(change->reviewed_by),
				   text_cell(content ? content->selector : ""),
				   text_cell(content ? content->title : ""), NULL));
	}
	table_render(table, out);
	table_free(table);
}

/* Appends a route with its destination services. */
static void render_route(const Caraway__Route *route, GString *out)
{
	g_string_append_printf(out, "route %s: %s%s to %s%s%s", route->name, route->host, route->path,
			       route->service, *route->target ? ", target " : "", route->target);
	for (size_t i = 0; i < route->n_splits; i++)
		g_string_append_printf(out, "%s%s:%g", i ? "," : "", route->splits[i]->service,
				       route->splits[i]->weight);
	if (route->timeout_ms)
		g_string_append_printf(out, ", at most %u ms a call", route->timeout_ms);
	g_string_append_c(out, '\n');
}

/* Appends the services, routes, targets, accounts and limits of a change. */
static void render_content(const Caraway__Content *content, GString *out)
{
	for (size_t i = 0; i < content->n_services; i++) {
		const Caraway__Service *service = content->services[i];
		g_string_append_printf(out, "service %s%s", service->name,
				       service->removed ? ", removed" : "");
		if (service->timeout_ms)
			g_string_append_printf(out, ", at most %u ms a call", service->timeout_ms);
		g_string_append_c(out, '\n');
	}
	for (size_t i = 0; i < content->n_targets; i++) {
		const Caraway__Target *target = content->targets[i];
		if (target->removed)
			g_string_append_printf(out, "target %s, removed\n", target->name);
		else
			g_string_append_printf(out, "target %s: service %s on VMs \"%s\"\n", target->name,
					       target->service, target->selector);
	}
	for (size_t i = 0; i < content->n_routes; i++) {
		const Caraway__Route *route = content->routes[i];
		if (route->removed)
			g_string_append_printf(out, "route %s, removed\n", route->name);
		else
			render_route(route, out);
	}
	for (size_t i = 0; i < content->n_accounts; i++) {
		const Caraway__ClientAccount *account = content->accounts[i];
		if (account->removed)
			g_string_append_printf(out, "account %s, removed\n", account->name);
		else
			g_string_append_printf(out, "account %s: %zu keys, %g calls a second, burst %g\n",
					       account->name, account->n_key_digests / 2,
					       account->calls_per_s, account->burst);
	}
	for (size_t i = 0; i < content->n_limits; i++) {
		const Caraway__CallerLimits *limits = content->limits[i];
		if (limits->removed)
			g_string_append_printf(out, "limits %s, removed\n", limits->name);
		else
			g_string_append_printf(out,
					       "limits %s: headers up to %u bytes within %u ms, idle %u ms\n",
					       limits->name, limits->max_header_bytes,
					       limits->header_timeout_ms, limits->idle_timeout_ms);
	}
}

/* Appends a line with a name and a value unless the value is empty. */
static void render_field(const char *name, const char *value, GString *out)
{
	if (value && *value)
		g_string_append_printf(out, "%-12s %s\n", name, value);
}

/* Appends the details of one change. */
void render_change(const Caraway__Change *change, GString *out)
{
	g_autofree char *due = due_format(change->due_ms);
	g_autofree char *in_force = change->in_force_ms ? due_format(change->in_force_ms) : NULL;
	g_autofree char *version = change->version ? number_cell(change->version) : NULL;

	g_string_append_printf(out, "%-12s %" PRIu64 "\n", "change", change->number);
	render_field("state", render_state_name(change->state), out);
	render_field("refusal", change->refusal, out);
	render_field("due", due, out);
	render_field("in force", in_force, out);
	render_field("version", version, out);
	render_field("booked by", change->booked_by, out);
	render_field("reviewed by", change->reviewed_by, out);
	render_field("withdrawn by", change->withdrawn_by, out);
	if (!change->content)
		return;
	render_field("title", change->content->title, out);
	render_field("selector", *change->content->selector ? change->content->selector : "every VM", out);
	render_content(change->content, out);
}

/* Whether a proxy holds the version in force; PROXY_SILENT: no report was received within the lease. */
typedef enum { PROXY_CURRENT, PROXY_BEHIND, PROXY_SILENT } proxy_status_t;

/* Compares the version that a proxy reported with the version in force. */
static proxy_status_t proxy_status(const Caraway__VmInForce *vm)
{
	if (!vm->reported)
		return PROXY_SILENT;
	return vm->version < vm->wanted ? PROXY_BEHIND : PROXY_CURRENT;
}

/* Returns the text of the PROXY column. */
static const char *proxy_status_text(const Caraway__VmInForce *vm)
{
	switch (proxy_status(vm)) {
	case PROXY_SILENT:
		return "silent";
	case PROXY_BEHIND:
		return "behind";
	case PROXY_CURRENT:
		break;
	}
	return vm->state == CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING ? "current, draining" : "current";
}

/* Returns the text of the ROUTES column. */
static char *routes_text(const Caraway__VmInForce *vm)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < vm->n_routes; i++) {
		const Caraway__Route *route = vm->routes[i];
		g_string_append_printf(text, "%s%s=%s", text->len ? " " : "", route->path, route->service);
		if (*route->target)
			g_string_append_printf(text, "/%s", route->target);
	}
	if (!text->len)
		g_string_append_c(text, '-');
	return g_string_free(text, FALSE);
}

/* Appends a table of the versions that proxies hold, and the totals. */
void render_in_force(const Caraway__OperatorReply *reply, GString *out)
{
	const char *const headings[] = {"VM",	    "ZONE",  "SERVICE", "HOLDS",
					"IN FORCE", "PROXY", "ROUTES",	NULL};
	table_t *table = table_new(headings);
	size_t counts[PROXY_SILENT + 1] = {0};

	for (size_t i = 0; i < reply->n_vms; i++) {
		const Caraway__VmInForce *vm = reply->vms[i];

		counts[proxy_status(vm)]++;
		table_add(table, make_row(text_cell(vm->vm->name), text_cell(vm->vm->zone),
					  text_cell(vm->vm->service), number_cell(vm->version),
					  number_cell(vm->wanted), text_cell(proxy_status_text(vm)),
					  routes_text(vm), NULL));
	}
	table_render(table, out);
	table_free(table);
	g_string_append_printf(out, "%zu selected: %zu current, %zu behind, %zu silent\n", reply->n_vms,
			       counts[PROXY_CURRENT], counts[PROXY_BEHIND], counts[PROXY_SILENT]);
}

/* Returns the status row of one replica. */
static char **status_row(const process_reply_t *process)
{
	const Caraway__StatusReport *report = process->reply ? process->reply->report : NULL;

	if (!report)
		return make_row(text_cell(process->address), text_cell("-"), text_cell("no answer"),
				text_cell("-"), text_cell("-"), text_cell("-"), text_cell("-"), NULL);
	return make_row(text_cell(process->address), number_cell(report->id), text_cell(report->role),
			number_cell(report->term), number_cell(report->leader_id),
			number_cell(report->commit_index), number_cell(report->version), NULL);
}

/* Appends a table of the replicas as the leader sees them. */
static void render_replicas(const Caraway__StatusReport *report, GString *out)
{
	const char *const headings[] = {"REPLICA", "ADDRESS", "VOTES", "COPY UP TO", "REACHABLE", NULL};
	table_t *table = table_new(headings);

	for (size_t i = 0; i < report->n_replicas; i++) {
		const Caraway__ReplicaStatus *status = report->replicas[i];

		table_add(table,
			  make_row(number_cell(status->replica->id), text_cell(status->replica->address),
				   text_cell(status->voter ? "yes" : "no"), number_cell(status->match_index),
				   text_cell(status->reachable ? "yes" : "no"), NULL));
	}
	g_string_append_c(out, '\n');
	table_render(table, out);
	table_free(table);
}

/* Appends the status that each replica reports, then the data that only the leader has. */
void render_status(const process_reply_t *replies, size_t count, GString *out)
{
	const char *const headings[] = {"ADDRESS", "ID",	"ROLE",	   "TERM",
					"LEADER",  "COMMITTED", "VERSION", NULL};
	table_t *table = table_new(headings);

	for (size_t i = 0; i < count; i++)
		table_add(table, status_row(&replies[i]));
	table_render(table, out);
	table_free(table);
	for (size_t i = 0; i < count; i++) {
		const Caraway__StatusReport *report = replies[i].reply ? replies[i].reply->report : NULL;

		if (!report || g_strcmp0(report->role, "leader") != 0)
			continue;
		render_replicas(report, out);
		g_string_append_printf(out, "%u proxies: %u current, %u behind, %u silent\n",
				       report->proxies_known, report->proxies_current, report->proxies_behind,
				       report->proxies_silent);
	}
}

/* Appends the nonzero counters of each process that replied. */
void render_counters(const process_reply_t *replies, size_t count, GString *out)
{
	const char *const headings[] = {"PROCESS", "COUNTER", "VALUE", NULL};
	table_t *table = table_new(headings);

	for (size_t i = 0; i < count; i++) {
		const Caraway__OperatorReply *reply = replies[i].reply;

		if (!reply)
			table_add(table, make_row(text_cell(replies[i].address), text_cell("no answer"),
						  text_cell("-"), NULL));
		for (size_t j = 0; reply && j < reply->n_counters; j++)
			if (reply->counters[j]->value)
				table_add(table, make_row(text_cell(replies[i].address),
							  text_cell(reply->counters[j]->name),
							  number_cell(reply->counters[j]->value), NULL));
	}
	table_render(table, out);
	table_free(table);
}

/* Returns the refused calls of an account as "REASON=COUNT" separated by spaces. */
static char *refused_cell(const Caraway__AccountCounts *account)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (size_t i = 0; i < account->n_refused; i++)
		g_string_append_printf(text, "%s%s=%" PRIu64, i ? " " : "", account->refused[i]->name,
				       account->refused[i]->value);
	return text_cell(text->str);
}

/* Appends the client accounts of each process that replied. */
void render_accounts(const process_reply_t *replies, size_t count, GString *out)
{
	const char *const headings[] = {"PROCESS", "ACCOUNT", "TAKEN", "ANSWERED",
					"GRANTED", "REFUSED", NULL};
	table_t *table = table_new(headings);

	for (size_t i = 0; i < count; i++) {
		const Caraway__OperatorReply *reply = replies[i].reply;

		if (!reply)
			table_add(table, make_row(text_cell(replies[i].address), text_cell("no answer"),
						  text_cell("-"), text_cell("-"), text_cell("-"),
						  text_cell("-"), NULL));
		for (size_t j = 0; reply && j < reply->n_accounts; j++) {
			const Caraway__AccountCounts *account = reply->accounts[j];

			table_add(table,
				  make_row(text_cell(replies[i].address),
					   text_cell(*account->name ? account->name : "(others)"),
					   number_cell(account->taken), number_cell(account->answered),
					   number_cell(account->granted), refused_cell(account), NULL));
		}
	}
	table_render(table, out);
	table_free(table);
}
