/*
 * Client accounts: validation, and the digests by which their keys are known outside the control replicas.
 */
#include "catalog.h"

#include <sodium.h>
#include <string.h>

enum {
	KEY_MAX_BYTES = 256,
	MAX_KEYS = 1000, /* of one account */
	DIGEST_WORDS = 2 /* of a key, and of the salt */
};

static const double max_calls_per_s = 1e9;

/* Returns whether a text can be the value of a header: printable ASCII without spaces, and not too long. */
static bool key_is_valid(const char *key)
{
	size_t length = strlen(key);

	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isgraph(key[i]))
			return false;
	return length > 0 && length <= KEY_MAX_BYTES;
}

/* Checks the keys of an account, or their digests. */
static cw_status_t check_keys(const Caraway__ClientAccount *account)
{
	if (account->n_keys > MAX_KEYS || account->n_key_digests > (size_t)DIGEST_WORDS * MAX_KEYS)
		return cw_fail(CW_ERR_CHANGE_FILE, "account %s has more than %d keys", account->name,
			       MAX_KEYS);
	for (size_t i = 0; i < account->n_keys; i++)
		if (!key_is_valid(account->keys[i]))
			return cw_fail(CW_ERR_CHANGE_FILE, "account %s: a key is not valid", account->name);
	if (account->n_key_digests % DIGEST_WORDS ||
	    (account->n_key_salt != DIGEST_WORDS && account->n_key_digests))
		return cw_fail(CW_ERR_CHANGE_FILE, "account %s: the digests of its keys are not valid",
			       account->name);
	return CW_OK;
}

/* Checks the fields of an account that is not a removal. */
cw_status_t account_check(const Caraway__ClientAccount *account)
{
	if (!(account->calls_per_s >= 0 && account->calls_per_s <= max_calls_per_s))
		return cw_fail(CW_ERR_CHANGE_FILE, "account %s: the rate is not between 0 and %g",
			       account->name, max_calls_per_s);
	if (!(account->burst >= 0 && account->burst <= max_calls_per_s))
		return cw_fail(CW_ERR_CHANGE_FILE, "account %s: the burst is not between 0 and %g",
			       account->name, max_calls_per_s);
	return check_keys(account);
}

/* Returns whether a removal sets none of the other fields. */
bool account_removal_is_valid(const Caraway__ClientAccount *account)
{
	return !account->n_keys && !account->n_key_digests && !account->n_key_salt &&
	       !account->has_priority && !account->has_rate && !account->has_burst;
}

/* Adds a key, or a digest as text, to the keys seen; returns whether another account has it. */
static bool add_key(GHashTable *keys, char *key, const Caraway__ClientAccount *account)
{
	const Caraway__ClientAccount *other = g_hash_table_lookup(keys, key);

	if (!other)
		g_hash_table_insert(keys, key, (gpointer)account);
	else
		g_free(key);
	return other && other != account;
}

/* Adds the keys of an account to those of the accounts seen; returns whether another account has one of them. */
bool account_adds_shared_key(const Caraway__ClientAccount *account, GHashTable *keys)
{
	for (size_t i = 0; i < account->n_keys; i++)
		if (add_key(keys, g_strdup(account->keys[i]), account))
			return true;
	for (size_t i = 0; i + 1 < account->n_key_digests; i += DIGEST_WORDS)
		if (add_key(keys,
			    g_strdup_printf("%016" G_GINT64_MODIFIER "x %016" G_GINT64_MODIFIER "x",
					    account->key_digests[i], account->key_digests[i + 1]),
			    account))
			return true;
	return false;
}

/* Returns the BLAKE2b digest of a key, keyed by a salt. */
cw_key_digest_t cw_account_key_digest(const uint64_t salt[2], const char *key)
{
	const uint64_t salt_le[DIGEST_WORDS] = {GUINT64_TO_LE(salt[0]), GUINT64_TO_LE(salt[1])};
	cw_key_digest_t digest;

	G_STATIC_ASSERT(sizeof(digest.words) >= crypto_generichash_BYTES_MIN &&
			sizeof(salt_le) >= crypto_generichash_KEYBYTES_MIN);
	crypto_generichash((unsigned char *)digest.words, sizeof(digest.words), (const unsigned char *)key,
			   strlen(key), (const unsigned char *)salt_le, sizeof(salt_le));
	for (int i = 0; i < DIGEST_WORDS; i++)
		digest.words[i] = GUINT64_FROM_LE(digest.words[i]);
	return digest;
}

/* Writes a digest as hexadecimal digits. */
void cw_key_digest_format(const cw_key_digest_t *digest, char text[CW_KEY_DIGEST_TEXT_BYTES])
{
	g_snprintf(text, CW_KEY_DIGEST_TEXT_BYTES, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
		   digest->words[0], digest->words[1]);
}

/* Reads a digest that cw_key_digest_format() has written. */
bool cw_key_digest_parse(const char *text, cw_key_digest_t *digest)
{
	enum { WORD_DIGITS = 16, HEX_BASE = 16 };

	if (strlen(text) != DIGEST_WORDS * WORD_DIGITS)
		return false;
	for (int i = 0; i < DIGEST_WORDS; i++) {
		g_autofree char *word = g_strndup(text + i * WORD_DIGITS, WORD_DIGITS);
		guint64 value;

		if (!g_ascii_string_to_unsigned(word, HEX_BASE, 0, G_MAXUINT64, &value, NULL))
			return false;
		digest->words[i] = value;
	}
	return true;
}

/* Returns a copy of an account with the digests of its keys in place of the keys. */
Caraway__ClientAccount *cw_account_seal(const Caraway__ClientAccount *account, const uint64_t salt[2])
{
	Caraway__ClientAccount sealed = *account;
	g_autofree uint64_t *digests = g_new(uint64_t, DIGEST_WORDS * account->n_keys + 1);

	for (size_t i = 0; i < account->n_keys; i++) {
		cw_key_digest_t digest = cw_account_key_digest(salt, account->keys[i]);

		memcpy(&digests[DIGEST_WORDS * i], digest.words, sizeof(digest.words));
	}
	sealed.n_keys = 0;
	sealed.n_key_salt = DIGEST_WORDS;
	sealed.key_salt = (uint64_t *)salt;
	sealed.n_key_digests = DIGEST_WORDS * account->n_keys;
	sealed.key_digests = digests;
	return cw_message_copy(&sealed.base);
}
