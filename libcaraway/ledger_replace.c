/*
 * Complete configurations, each accepted under a standing approval and put in
 * force immediately.
 *
 * The operators give a complete configuration a release number above that in
 * force and name the base, the release that it builds on.  It is refused
 * unless the base is in force.  The log and the feed carry only the difference
 * from the base.  Sending an accepted release again with the same content
 * succeeds at any later time.
 */
#include "ledger.h"

#define NUMBER_FORMAT "%" G_GUINT64_FORMAT

/* Returns the release in force; 0 before the first. */
uint64_t cw_ledger_release_in_force(const cw_ledger_t *ledger)
{
	guint count = ledger->releases->len;

	return count ? g_array_index(ledger->releases, release_t, count - 1).release : 0;
}

/* Returns the digest of a complete configuration, its release and its base. */
uint64_t cw_release_digest(uint64_t release, uint64_t base, const Caraway__Content *complete)
{
	const uint64_t numbers[] = {release, base};

	return cw_hash(numbers, sizeof(numbers), cw_content_digest(complete));
}

/* Returns whether a release was accepted before with the same digest. */
static bool was_accepted(const cw_ledger_t *ledger, uint64_t release, uint64_t digest)
{
	for (guint i = ledger->releases->len; i-- > 0;) {
		const release_t *accepted = &g_array_index(ledger->releases, release_t, i);

		if (accepted->release == release)
			return accepted->digest == digest;
	}
	return false;
}

/*
 * Checks whether a complete configuration can come into force now.  Succeeds
 * with *already_accepted set when the same one was accepted before.
 * CW_ERR_CONFLICT: the base is not the release in force; CW_ERR_STALE: the
 * release number is not above that in force, or not below FIRST_RELEASE_NUMBER.
 */
cw_status_t cw_ledger_check_release(const cw_ledger_t *ledger, uint64_t release, uint64_t base,
				    uint64_t digest, bool *already_accepted)
{
	uint64_t current = cw_ledger_release_in_force(ledger);

	*already_accepted = was_accepted(ledger, release, digest);
	if (*already_accepted)
		return CW_OK;
	if (base != current)
		return cw_fail(CW_ERR_CONFLICT,
			       "release " NUMBER_FORMAT " builds on " NUMBER_FORMAT ", but " NUMBER_FORMAT
			       " is in force",
			       release, base, current);
	if (release <= current || release >= FIRST_RELEASE_NUMBER)
		return cw_fail(CW_ERR_STALE, "release " NUMBER_FORMAT " is not above " NUMBER_FORMAT, release,
			       current);
	return CW_OK;
}

/* Returns a copy of the table of keys, which shares its values. */
static GHashTable *copy_account_keys(const cw_ledger_t *ledger)
{
	GHashTable *copy =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	GHashTableIter iter;
	gpointer name, keys;

	g_hash_table_iter_init(&iter, ledger->account_keys);
	while (g_hash_table_iter_next(&iter, &name, &keys))
		g_hash_table_insert(copy, g_strdup(name), g_bytes_ref(keys));
	return copy;
}

/* Returns the sections of the release in force that no booked change for all VMs has replaced. */
cw_config_t *cw_ledger_release_config(cw_ledger_t *ledger)
{
	cw_config_t *config = catalog_config_for_all_vms(cw_feed_catalog(ledger->feed), FIRST_RELEASE_NUMBER);

	/* A copy: the release may be written in several turns, between which another one comes into force. */
	if (config->accounts->len)
		config->account_keys = copy_account_keys(ledger);
	return config;
}

/* Returns the difference from the release in force to a complete configuration. */
cw_difference_t *cw_ledger_release_difference(cw_ledger_t *ledger, const Caraway__Content *complete)
{
	return catalog_difference_for_all_vms(cw_feed_catalog(ledger->feed), FIRST_RELEASE_NUMBER, complete);
}

/* Returns whether a difference has no sections to set or to remove. */
static bool is_empty(const Caraway__Content *content)
{
	return !content->n_services && !content->n_routes && !content->n_targets && !content->n_limits &&
	       !content->n_accounts;
}

/*
 * Checks a committed replacement before its content.  *needed: its content has to be
 * applied, as it sets or removes something and was not accepted before.
 */
cw_status_t ledger_check_replacement(const cw_ledger_t *ledger, const Caraway__Replace *replace, bool *needed)
{
	bool already_accepted = false;
	cw_status_t status = ledger_check_operator(replace->operator_name);

	if (!status && (!*replace->approval || !replace->content))
		status = cw_fail(CW_ERR_USAGE,
				 "a complete configuration needs a standing approval and a content");
	if (!status)
		status = ledger_check_account_keys(replace);
	if (!status)
		status = cw_ledger_check_release(ledger, replace->release, replace->base_release,
						 replace->digest, &already_accepted);
	*needed = !status && !already_accepted && replace->content && !is_empty(replace->content);
	return status;
}

/* Records a release as the one in force. */
void ledger_record_release(cw_ledger_t *ledger, const Caraway__Replace *replace)
{
	release_t accepted = {replace->release, replace->digest};

	g_array_append_val(ledger->releases, accepted);
}

/* Carries out a committed replacement that has no content to apply: one accepted before, or equal to its base. */
cw_status_t ledger_replace_without_content(cw_ledger_t *ledger, const Caraway__Replace *replace)
{
	bool needed;
	cw_status_t status = ledger_check_replacement(ledger, replace, &needed);

	if (!status && !was_accepted(ledger, replace->release, replace->digest))
		ledger_record_release(ledger, replace);
	return status;
}
