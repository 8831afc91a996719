/* Tests of client accounts: digests of keys, who has the keys, and the check of the key that a request carries. */
#include <check.h>
#include <string.h>
#include <urcu/urcu-memb.h>

#include "account_counts.h"
#include "accounts.h"
#include "clock.h"

enum { KEEP_RECORDS = 100, LEASE_MS = 60000 };

static const uint64_t salt[2] = {0x1234, 0x5678};
static const header_names_t names = {.account_key = "X-Key", .account = "X-Account"};

/* Returns an account with one key; freed with cw_message_free(). */
static Caraway__ClientAccount *new_account(const char *name, const char *key)
{
	Caraway__ClientAccount account = CARAWAY__CLIENT_ACCOUNT__INIT;
	char *keys[] = {(char *)key};

	account.name = (char *)name;
	account.n_keys = 1;
	account.keys = keys;
	account.has_priority = true;
	account.priority = 3;
	return cw_message_copy(&account.base);
}

/* Applies a release with an account and its key to a ledger; the key may differ from that of the digest. */
static cw_status_t replace(cw_ledger_t *ledger, uint64_t release, const char *digest_of, const char *key)
{
	Caraway__ClientAccount *account = new_account("posta", digest_of);
	Caraway__ClientAccount *sealed = cw_account_seal(account, salt);
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	Caraway__AccountKeys account_keys = CARAWAY__ACCOUNT_KEYS__INIT;
	Caraway__AccountKeys *all_keys[] = {&account_keys};
	char *keys[] = {(char *)key};
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Replace message = CARAWAY__REPLACE__INIT;
	cw_status_t status;

	content.title = "accounts";
	content.n_accounts = 1;
	content.accounts = &sealed;
	account_keys.name = "posta";
	account_keys.n_keys = key ? 1 : 0;
	account_keys.keys = keys;
	message.operator_name = "gateway";
	message.approval = "standing";
	message.release = release;
	message.base_release = release - 1;
	message.digest = release;
	message.content = &content;
	message.n_account_keys = 1;
	message.account_keys = all_keys;
	command.proposed_ms = 1;
	command.body_case = CARAWAY__COMMAND__BODY_REPLACE;
	command.replace = &message;
	status = cw_ledger_apply(ledger, &command, NULL);
	cw_message_free(account);
	cw_message_free(sealed);
	return status;
}

/* Returns whether some bytes contain a text. */
static bool contains(GBytes *bytes, const char *text)
{
	gsize length;
	const char *data = g_bytes_get_data(bytes, &length);

	return memmem(data, length, text, strlen(text)) != NULL;
}

/* A key leaves the control replicas in the feed, or is lost with a snapshot. */
START_TEST(test_only_the_ledger_has_keys)
{
	cw_ledger_t *ledger = cw_ledger_new(KEEP_RECORDS);
	cw_ledger_t *loaded = cw_ledger_new(KEEP_RECORDS);
	Caraway__FeedSnapshot *feed;
	GBytes *saved, *packed;
	cw_config_t *config;
	gsize length;

	ck_assert_int_eq(replace(ledger, 1, "secret-key", "secret-key"), CW_OK);
	feed = cw_feed_save(cw_ledger_feed(ledger));
	packed = cw_message_pack(&feed->base);
	ck_assert(!contains(packed, "secret-key"));
	saved = cw_ledger_save(ledger);
	ck_assert_int_eq(cw_ledger_load(loaded, g_bytes_get_data(saved, &length), g_bytes_get_size(saved)),
			 CW_OK);
	config = cw_ledger_release_config(loaded);
	ck_assert(contains(g_hash_table_lookup(config->account_keys, "posta"), "secret-key"));
	cw_config_free(config);
	g_bytes_unref(saved);
	g_bytes_unref(packed);
	cw_message_free(feed);
	cw_ledger_free(ledger);
	cw_ledger_free(loaded);
}
END_TEST

/* A replacement without the keys of an account is applied, and cannot be read back. */
START_TEST(test_replacement_without_keys_is_refused)
{
	cw_ledger_t *ledger = cw_ledger_new(KEEP_RECORDS);

	ck_assert_int_eq(replace(ledger, 1, "k1", NULL), CW_ERR_USAGE);
	ck_assert_uint_eq(cw_ledger_release_in_force(ledger), 0);
	cw_ledger_free(ledger);
}
END_TEST

/* Publishes a view with two accounts, whose digests have different salts, and two routes, one of them public. */
static published_view_t *publish(const char *key)
{
	published_view_t *published = published_view_new();
	Caraway__ClientAccount *account = new_account("posta", key);
	static const uint64_t other_salt[] = {5, 6};
	Caraway__ClientAccount *other = new_account("vasut", "other key");
	Caraway__ClientAccount *sealed[] = {cw_account_seal(account, salt),
					    cw_account_seal(other, other_salt)};
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	Caraway__Route private_route = CARAWAY__ROUTE__INIT;
	Caraway__Route public_route = CARAWAY__ROUTE__INIT;
	Caraway__Route *routes[] = {&private_route, &public_route};
	Caraway__Vm vm = CARAWAY__VM__INIT;
	g_autoptr(GPtrArray) endpoints = g_ptr_array_new();
	cw_catalog_t *catalog = cw_catalog_new();

	private_route.name = "private";
	private_route.path = "/private";
	public_route.name = "public";
	public_route.path = "/public";
	public_route.access = CARAWAY__ACCESS__ACCESS_PUBLIC;
	private_route.service = public_route.service = "tabla";
	content.n_routes = G_N_ELEMENTS(routes);
	content.routes = routes;
	content.n_accounts = G_N_ELEMENTS(sealed);
	content.accounts = sealed;
	cw_catalog_apply(catalog, &content, 1, 1);
	published_view_replace(published, view_new(catalog, &vm, endpoints));
	cw_catalog_free(catalog);
	cw_message_free(account);
	cw_message_free(other);
	cw_message_free(sealed[0]);
	cw_message_free(sealed[1]);
	return published;
}

/* Returns a request with a key and a forged account. */
static Caraway__CallRequest *new_request(const char *key)
{
	Caraway__CallRequest *request = g_new(Caraway__CallRequest, 1);

	caraway__call_request__init(request);
	request->headers = cw_message_array(3);
	request->headers[request->n_headers++] = headers_new("X-Account", "forged");
	request->headers[request->n_headers++] = headers_new("Accept", "x");
	if (key)
		request->headers[request->n_headers++] = headers_new("x-key", key);
	return request;
}

/* Checks a request; returns the reason, and the headers that the target gets as text. */
static cw_reason_t identify(const published_view_t *published, const char *path, const char *key,
			    char **headers)
{
	Caraway__CallRequest *request = new_request(key);
	const view_account_t *account;
	GString *text = g_string_new(NULL);
	endpoints_t endpoints;
	cw_reason_t reason;

	endpoints_lookup(&endpoints, published, NULL, path, 0);
	reason = accounts_identify(&endpoints, &names, request, &account);
	for (size_t i = 0; i < request->n_headers; i++)
		g_string_append_printf(text, "%s=%s;", request->headers[i]->name, request->headers[i]->value);
	*headers = g_string_free(text, FALSE);
	ck_assert(reason == CW_REASON_NONE || !account);
	endpoints_clear(&endpoints);
	cw_message_free(request);
	return reason;
}

/* Expects the reason of a request and, where it is not refused, the headers that the target gets. */
static void expect(const published_view_t *published, const char *path, const char *key, cw_reason_t reason,
		   const char *headers)
{
	char *actual;

	ck_assert_str_eq(cw_reason_name(identify(published, path, key, &actual)), cw_reason_name(reason));
	if (headers)
		ck_assert_str_eq(actual, headers);
	g_free(actual);
}

/* UNASKED, ROUTE, CONFIG: a key reaches the target, a forged account does, or a request with a bad key runs. */
START_TEST(test_keys_of_requests)
{
	published_view_t *published = publish("k1");

	urcu_memb_register_thread();
	published_view_set_current_until(published, clock_now_ms() + LEASE_MS);
	expect(published, "/private", "k1", CW_REASON_NONE, "Accept=x;X-Account=posta;");
	/* The digest of this key has another salt than those of the account before. */
	expect(published, "/private", "other key", CW_REASON_NONE, "Accept=x;X-Account=vasut;");
	expect(published, "/private", "k2", CW_REASON_BAD_KEY, NULL);
	expect(published, "/private", NULL, CW_REASON_BAD_KEY, NULL);
	expect(published, "/public", "k2", CW_REASON_NONE, "Accept=x;");
	/* It may lack a key that a newer configuration has. */
	published_view_set_current_until(published, clock_now_ms());
	expect(published, "/private", "k1", CW_REASON_NONE, "Accept=x;X-Account=posta;");
	expect(published, "/private", "k2", CW_REASON_KEYS_UNCONFIRMED, NULL);
	/* It may have a key that was withdrawn. */
	published_view_set_keys_until(published, clock_now_ms());
	expect(published, "/private", "k1", CW_REASON_KEYS_UNCONFIRMED, NULL);
	expect(published, "/public", NULL, CW_REASON_NONE, "Accept=x;");
	published_view_free(published);
	urcu_memb_unregister_thread();
}
END_TEST

/* Guards against a reply that grows with the number of accounts, and against one without the busiest of them. */
START_TEST(test_counts_of_accounts)
{
	Caraway__OperatorReply *reply = g_new(Caraway__OperatorReply, 1);
	const Caraway__AccountCounts *first;

	for (uint64_t id = 1; id <= 12000; id++) {
		g_autofree char *name = g_strdup_printf("account-%" G_GUINT64_FORMAT, id);
		const view_account_t account = {.name = name, .id = id};

		for (int i = 0; i < (id == 7 ? 3 : 1); i++)
			account_counts_taken(&account);
		account_counts_ended(&account, id == 7 ? CW_REASON_CROWDED : CW_REASON_NONE);
		account_counts_granted(&account, 2);
	}
	caraway__operator_reply__init(reply);
	account_counts_fill(reply);
	ck_assert_uint_eq(reply->n_accounts, 1000);
	/* The accounts beyond 10,000 are counted together. */
	ck_assert_str_eq(reply->accounts[0]->name, "");
	ck_assert_uint_eq(reply->accounts[0]->taken, 2000);
	ck_assert_uint_eq(reply->accounts[0]->answered, 2000);
	ck_assert_uint_eq(reply->accounts[0]->granted, 4000);
	first = reply->accounts[1];
	ck_assert_str_eq(first->name, "account-7");
	ck_assert_uint_eq(first->taken, 3);
	ck_assert_uint_eq(first->n_refused, 1);
	ck_assert_str_eq(first->refused[0]->name, "crowded");
	ck_assert_uint_eq(first->refused[0]->value, 1);
	cw_message_free(reply);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("accounts");
	TCase *tcase = tcase_create("accounts");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_only_the_ledger_has_keys);
	tcase_add_test(tcase, test_replacement_without_keys_is_refused);
	tcase_add_test(tcase, test_keys_of_requests);
	tcase_add_test(tcase, test_counts_of_accounts);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
