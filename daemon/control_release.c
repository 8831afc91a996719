/* Releases, complete configurations submitted to the gateway: put in force through the replicated log. */
#include <sodium.h>
#include <stdlib.h>

#include "clock.h"
#include "control.h"
#include "log.h"

enum { GATEWAY_TIMEOUT_MS = 3000 /* the outcome of a request is unknown after that */ };

/* Creates a replacement; takes ownership of the content. */
control_replacement_t *control_replacement_new(uint64_t release, uint64_t base_release,
					       Caraway__Content *content)
{
	control_replacement_t *replacement = g_new(control_replacement_t, 1);

	*replacement = (control_replacement_t){.release = release,
					       .base_release = base_release,
					       .content = content,
					       .digest = cw_release_digest(release, base_release, content)};
	return replacement;
}

/* Creates a replacement whose content borrows its sections. */
control_replacement_t *control_replacement_new_shared(uint64_t release, uint64_t base_release,
						      Caraway__Content *content, GPtrArray *owners)
{
	control_replacement_t *replacement = control_replacement_new(release, base_release, content);

	replacement->owners = owners;
	return replacement;
}

/* Frees a replacement; NULL is allowed. */
void control_replacement_free(control_replacement_t *replacement)
{
	if (!replacement)
		return;
	if (replacement->owners) {
		cw_content_free_borrowed(replacement->content);
		g_ptr_array_unref(replacement->owners);
	} else {
		cw_message_free(replacement->content);
	}
	g_free(replacement);
}

/* Returns a pending gateway request; takes ownership of the replacement. */
static pending_request_t *gateway_request_new(pending_request_type_t type, control_replacement_t *replacement,
					      control_callback_t callback, void *data)
{
	pending_request_t *pending = pending_request_new(type, clock_now_ms() + GATEWAY_TIMEOUT_MS);

	pending->gateway_request =
		(control_gateway_request_t){.callback = callback, .data = data, .replacement = replacement};
	return pending;
}

/* Sets the salt of the digests of keys: that of the configuration in force, or a new one. */
static void choose_salt(const control_t *control, uint64_t salt[2])
{
	if (!cw_ledger_account_salt(control->ledger, salt))
		randombytes_buf(salt, 2 * sizeof(*salt));
}

/* Returns a content that borrows all from another one but the accounts, which have digests of their keys. */
static Caraway__Content *content_sealed(const control_t *control, const Caraway__Content *content)
{
	Caraway__Content *sealed = g_memdup2(content, sizeof(*content));
	uint64_t salt[2];

	sealed->accounts = cw_message_array(content->n_accounts);
	if (content->n_accounts)
		choose_salt(control, salt);
	for (size_t i = 0; i < content->n_accounts; i++)
		sealed->accounts[i] = cw_account_seal(content->accounts[i], salt);
	return sealed;
}

/* Frees a content that content_sealed() returned. */
static void content_sealed_free(Caraway__Content *sealed)
{
	for (size_t i = 0; i < sealed->n_accounts; i++)
		cw_message_free(sealed->accounts[i]);
	free(sealed->accounts);
	g_free(sealed);
}

/* Returns the keys of the accounts that a difference sets, borrowed from the complete content. */
static GPtrArray *keys_of_difference(const Caraway__Content *difference, const Caraway__Content *complete)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GHashTable) by_name = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < complete->n_accounts; i++)
		g_hash_table_insert(by_name, complete->accounts[i]->name, complete->accounts[i]);
	for (size_t i = 0; i < difference->n_accounts; i++) {
		const Caraway__ClientAccount *set = difference->accounts[i];
		const Caraway__ClientAccount *account = g_hash_table_lookup(by_name, set->name);
		Caraway__AccountKeys *message;

		if (set->removed || !account)
			continue;
		message = g_new(Caraway__AccountKeys, 1);
		caraway__account_keys__init(message);
		message->name = account->name;
		message->n_keys = account->n_keys;
		message->keys = account->keys;
		g_ptr_array_add(keys, message);
	}
	return keys;
}

/* Proposes the difference between the release in force and the replacement. */
static void propose_replacement(control_t *control, pending_request_t *pending)
{
	const control_replacement_t *replacement = pending->gateway_request.replacement;
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Replace replace = CARAWAY__REPLACE__INIT;
	g_autoptr(GPtrArray) account_keys = NULL;
	Caraway__Content *sealed;
	cw_difference_t *difference;
	int64_t start_ms = clock_now_ms();

	replace.operator_name = control->settings->operator_name;
	replace.approval = control->settings->approval;
	replace.release = replacement->release;
	replace.base_release = replacement->base_release;
	replace.digest = replacement->digest;
	sealed = content_sealed(control, replacement->content);
	difference = cw_ledger_release_difference(control->ledger, sealed);
	account_keys = keys_of_difference(difference->content, replacement->content);
	replace.content = difference->content;
	replace.n_account_keys = account_keys->len;
	replace.account_keys = (Caraway__AccountKeys **)account_keys->pdata;
	command.body_case = CARAWAY__COMMAND__BODY_REPLACE;
	command.replace = &replace;
	control_add_work(control, WORK_DIFFERENCE, start_ms);
	control_propose(control, pending, &command);
	cw_difference_free(difference);
	content_sealed_free(sealed);
}

/*
 * Checks whether a replacement builds on the release in force, as far as this
 * replica knows.  *already_accepted: the same one has been accepted before.
 */
static cw_status_t check_release(const control_t *control, const control_replacement_t *replacement,
				 bool *already_accepted)
{
	return cw_ledger_check_release(control->ledger, replacement->release, replacement->base_release,
				       replacement->digest, already_accepted);
}

/*
 * Puts a complete configuration in force.  One that builds on the release
 * known to this replica is proposed at once.  Any other is decided only after
 * a quorum has confirmed which release is in force.
 */
void control_replace_configuration(control_t *control, control_replacement_t *replacement,
				   control_callback_t callback, void *data)
{
	bool already_accepted;
	bool proposable =
		check_release(control, replacement, &already_accepted) == CW_OK && !already_accepted;
	pending_request_t *pending = gateway_request_new(proposable ? PENDING_REPLACEMENT : PENDING_RELEASE,
							 replacement, callback, data);

	if (proposable)
		propose_replacement(control, pending);
	else
		control_confirm_leadership(control, pending);
}

/* Asks a quorum to confirm that the release applied on this replica is the one in force. */
void control_confirm_release(control_t *control, control_callback_t callback, void *data)
{
	control_confirm_leadership(control, gateway_request_new(PENDING_RELEASE, NULL, callback, data));
}

/* Returns how long a gateway request has waited since its last step. */
static int64_t waited_ms(const pending_request_t *pending)
{
	return clock_now_ms() + GATEWAY_TIMEOUT_MS - pending->deadline_ms;
}

/* Logs the outcome of a replacement, with the version and feed index by which proxies name the configuration. */
static void log_replacement(const control_t *control, const pending_request_t *pending, cw_status_t status,
			    const char *message)
{
	const control_replacement_t *replacement = pending->gateway_request.replacement;
	const cw_feed_t *feed = cw_ledger_feed(control->ledger);

	log_info("replacement", LOG_UINT("release", replacement->release),
		 LOG_UINT("base", replacement->base_release), LOG_STR("outcome", cw_status_name(status)),
		 LOG_UINT("version", cw_feed_version(feed)), LOG_UINT("index", cw_feed_index(feed)),
		 LOG_UINT("term", cw_raft_term(control->raft)), LOG_INT("waited_ms", waited_ms(pending)),
		 LOG_STR("reason", message), LOG_END);
}

/* Logs the outcome of a reading; after "ok" the reader is sent this release. */
static void log_reading(const control_t *control, const pending_request_t *pending, cw_status_t status,
			const char *message)
{
	log_info("reading", LOG_UINT("release", cw_ledger_release_in_force(control->ledger)),
		 LOG_STR("outcome", cw_status_name(status)), LOG_UINT("applied", control->applied_index),
		 LOG_UINT("term", cw_raft_term(control->raft)), LOG_INT("waited_ms", waited_ms(pending)),
		 LOG_STR("reason", message), LOG_END);
}

/* Checks a replacement against the release that a quorum has just confirmed, then proposes or answers it. */
static void finish_confirmed_replacement(control_t *control, pending_request_t *pending)
{
	control_gateway_request_t *request = &pending->gateway_request;
	bool already_accepted;
	cw_status_t status = check_release(control, request->replacement, &already_accepted);

	if (status == CW_OK && !already_accepted) {
		control_replace_configuration(control, g_steal_pointer(&request->replacement),
					      request->callback, request->data);
		return;
	}
	log_replacement(control, pending, status,
			status == CW_OK ? "accepted before" : cw_last_error_message());
	request->callback(request->data, status, cw_last_error_message());
}

/* Completes a gateway request, or continues a replacement that waited for a confirmed release. */
void control_finish_gateway_request(control_t *control, pending_request_t *pending, cw_status_t status,
				    const char *message)
{
	control_gateway_request_t *request = &pending->gateway_request;

	if (pending->type == PENDING_RELEASE && request->replacement && status == CW_OK) {
		finish_confirmed_replacement(control, pending);
		return;
	}
	if (request->replacement)
		log_replacement(control, pending, status, message);
	else
		log_reading(control, pending, status, message);
	request->callback(request->data, status, message);
}
