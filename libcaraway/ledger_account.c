/*
 * Keys of client accounts.  The ledger, on the control replicas, has the keys as operators submitted
 * them, so that a configuration can be read back; the catalog and the feed have only their digests.
 */
#include "ledger.h"

#include <string.h>

/* Returns the keys of an account in a replacement; NULL when there are none. */
static const Caraway__AccountKeys *find_keys(const Caraway__Replace *replace, const char *name)
{
	for (size_t i = 0; i < replace->n_account_keys; i++)
		if (!strcmp(replace->account_keys[i]->name, name))
			return replace->account_keys[i];
	return NULL;
}

/* Returns the keys of a replacement by account; borrowed. */
static GHashTable *index_keys(const Caraway__Replace *replace)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < replace->n_account_keys; i++)
		g_hash_table_insert(by_name, replace->account_keys[i]->name, replace->account_keys[i]);
	return by_name;
}

/* Checks that a replacement has the keys of each account that it sets, and no keys in its content. */
cw_status_t ledger_check_account_keys(const Caraway__Replace *replace)
{
	g_autoptr(GHashTable) by_name = index_keys(replace);

	for (size_t i = 0; replace->content && i < replace->content->n_accounts; i++) {
		const Caraway__ClientAccount *account = replace->content->accounts[i];
		const Caraway__AccountKeys *keys = g_hash_table_lookup(by_name, account->name);

		if (account->n_keys || (!account->removed && !keys) ||
		    (keys && account->n_key_digests != 2 * keys->n_keys))
			return cw_fail(CW_ERR_USAGE, "account %s: its keys and their digests differ",
				       account->name);
	}
	return CW_OK;
}

/* Stores the keys of the accounts that a replacement sets, and drops those of the accounts that it removes. */
void ledger_apply_account_keys(cw_ledger_t *ledger, const Caraway__Content *content,
			       const Caraway__Replace *replace)
{
	for (size_t i = 0; i < content->n_accounts; i++) {
		const Caraway__ClientAccount *account = content->accounts[i];
		const Caraway__AccountKeys *keys =
			account->removed ? NULL : find_keys(replace, account->name);

		if (keys)
			g_hash_table_replace(ledger->account_keys, g_strdup(account->name),
					     cw_message_pack(&keys->base));
		else
			g_hash_table_remove(ledger->account_keys, account->name);
	}
}

/* Orders keys by the account's name. */
static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp((*(Caraway__AccountKeys *const *)a)->name, (*(Caraway__AccountKeys *const *)b)->name);
}

/* Returns the keys of all accounts as messages, ordered by name; owned by the array. */
GPtrArray *ledger_save_account_keys(const cw_ledger_t *ledger)
{
	GPtrArray *saved = g_ptr_array_new_with_free_func(cw_message_free);
	GHashTableIter iter;
	gpointer bytes;

	g_hash_table_iter_init(&iter, ledger->account_keys);
	while (g_hash_table_iter_next(&iter, NULL, &bytes)) {
		gsize length;
		const uint8_t *data = g_bytes_get_data(bytes, &length);

		g_ptr_array_add(saved, caraway__account_keys__unpack(NULL, length, data));
	}
	g_ptr_array_sort(saved, compare_keys);
	return saved;
}

/* Stores the keys of a snapshot. */
void ledger_load_account_keys(cw_ledger_t *ledger, const Caraway__LedgerSnapshot *snapshot)
{
	for (size_t i = 0; i < snapshot->n_account_keys; i++) {
		const Caraway__AccountKeys *keys = snapshot->account_keys[i];

		g_hash_table_replace(ledger->account_keys, g_strdup(keys->name),
				     cw_message_pack(&keys->base));
	}
}

/* Returns whether the configuration in force has accounts, and the salt of the digests of their keys. */
bool cw_ledger_account_salt(const cw_ledger_t *ledger, uint64_t salt[2])
{
	size_t slot;
	const layer_t *layer = catalog_find_layer(cw_feed_catalog(ledger->feed), "", &slot);
	layer_iter_t iter;
	const entry_t *entry;

	if (!layer)
		return false;
	layer_iter_init(&iter, layer, SECTION_ACCOUNT);
	while ((entry = layer_iter_next(&iter)))
		if (entry->section.account->n_key_salt == 2) {
			memcpy(salt, entry->section.account->key_salt, 2 * sizeof(*salt));
			return true;
		}
	return false;
}
