/*
 * Client accounts in separate processes: who is served by which key, also after control is out of reach, and how
 * many calls an account gets through all proxies together, also when the proxy that owns it ends.
 */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cluster.h"
#include "script.h"

enum {
	PROXIES = 4,
	TIMEOUT_S = 120,
	AWAIT_TRIES = 200,
	AWAIT_US = 100000,
	RATE = 20, /* calls a second of the account "posta", and its burst */
	WINDOW_S = 5,
	KEY_LEASE_S = 3,
	/* What the rate gives in the window and the burst, with the tolerated tenth. */
	MOST_IN_WINDOW = (RATE * WINDOW_S + RATE) * 11 / 10,
	CALLS = 300
};

static const char salt[] = "00112233445566778899aabbccddeeff";
static const char *const proxies[PROXIES] = {"tabla-1", "tabla-2", "tabla-3", "tabla-4"};

/* Returns the digest of a key, as carawayctl prints it. */
static char *digest_of(cluster_t *cluster, const char *key)
{
	g_autofree char *file = g_strdup_printf("%s/key", cluster_folder(cluster));
	const char *arguments[] = {"digest", salt, file, NULL};
	GString *out = g_string_new(NULL);

	ck_assert(g_file_set_contents(file, key, -1, NULL));
	ck_assert_int_eq(cluster_run_carawayctl(cluster, arguments, out), 0);
	return g_strstrip(g_string_free(out, FALSE));
}

/* Books and reviews a change due now; waits until it is in force. */
static void put_in_force(cluster_t *cluster, int number, const char *sections)
{
	g_autofree char *file = g_strdup_printf("%s/change-%d.ini", cluster_folder(cluster), number);
	g_autofree char *text =
		g_strdup_printf("[change]\ntitle=Accounts %d\nselector=\n%s", number, sections);
	g_autofree char *number_text = g_strdup_printf("%d", number);
	const char *book[] = {"--operator", "anna",  "book", file, "--number",
			      number_text,  "--due", "now",  NULL};
	const char *review[] = {"--operator", "bela", "review", number_text, "--wait=20", NULL};
	g_autoptr(GString) out = g_string_new(NULL);

	ck_assert(g_file_set_contents(file, text, -1, NULL));
	ck_assert_msg(!cluster_run_carawayctl(cluster, book, out), "%s", out->str);
	ck_assert_msg(!cluster_run_carawayctl(cluster, review, out), "%s", out->str);
}

/* Sends a call with a key through a proxy; returns the status and the reason. */
static char *call(cluster_t *cluster, const char *proxy, const char *path, const char *key)
{
	g_autofree char *header = key ? g_strdup_printf("Caraway-Account-Key: %s\r\n", key) : g_strdup("");

	return cluster_http_get_with(cluster, proxy, path, header);
}

/* Waits until a call gets an answer that begins with a text. */
static void await_answer(cluster_t *cluster, const char *proxy, const char *path, const char *key,
			 const char *expected)
{
	g_autofree char *answer = NULL;

	for (int i = 0; i < AWAIT_TRIES; i++) {
		g_free(answer);
		answer = call(cluster, proxy, path, key);
		if (g_str_has_prefix(answer, expected))
			return;
		usleep(AWAIT_US);
	}
	ck_abort_msg("%s at %s: expected \"%s\", got \"%s\"", path, proxy, expected, answer);
}

/* Starts the replicas and proxies and puts two accounts in force. */
static cluster_t *start(void)
{
	cluster_t *cluster = cluster_new();
	g_autofree char *settings =
		g_strdup_printf("key-lease-s=%d\nallotment-window-s=%d\nallotment-overage=0.1\n"
				"freshness-ms=1600\nhold-ms=700\n",
				KEY_LEASE_S, WINDOW_S);
	g_autofree char *posta = digest_of(cluster, "k1");
	g_autofree char *vasut = digest_of(cluster, "k2");
	g_autofree char *sections =
		g_strdup_printf("[service tabla]\n[route board]\npath=/board\nservice=tabla\n"
				"[route open]\npath=/open\nservice=tabla\naccess=public\n"
				"[account posta]\nkey-salt=%s\nkey-digests=%s\ncalls-per-s=%d\nburst=%d\n"
				"[account vasut]\nkey-salt=%s\nkey-digests=%s\n",
				salt, posta, RATE, RATE, salt, vasut);

	cluster_set_proxy_settings(cluster, settings);
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		cluster_format_replica(cluster, id);
		cluster_start_replica(cluster, id);
	}
	for (int i = 0; i < PROXIES; i++) {
		cluster_add_proxy(cluster, proxies[i], "eger", "tabla");
		cluster_start_proxy(cluster, proxies[i]);
	}
	for (int i = 0; i < AWAIT_TRIES && !cluster_leader(cluster); i++)
		usleep(AWAIT_US);
	put_in_force(cluster, 1, sections);
	for (int i = 0; i < PROXIES; i++)
		await_answer(cluster, proxies[i], "/board", "k2", "200");
	return cluster;
}

/* Expects the answer to a call. */
static void expect(cluster_t *cluster, const char *path, const char *key, const char *expected)
{
	g_autofree char *answer = call(cluster, proxies[0], path, key);

	ck_assert_str_eq(answer, expected);
}

/*
 * CONFIG, ROUTE: a call with an unknown or a withdrawn key is run; or with a withdrawn key by a proxy that cannot
 * know it, as control is silent for longer than its lease.
 */
START_TEST(test_keys)
{
	cluster_t *cluster = start();

	expect(cluster, "/board", "k2", "200");
	expect(cluster, "/board", "k9", "401 not-run bad-key");
	expect(cluster, "/board", NULL, "401 not-run bad-key");
	expect(cluster, "/open", NULL, "200");
	put_in_force(cluster, 2, "[account vasut]\nremove=true\n");
	await_answer(cluster, proxies[0], "/board", "k2", "401");
	expect(cluster, "/board", "k1", "200");
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		g_autofree char *name = g_strdup_printf("r%d", id);

		cluster_signal(cluster, name, SIGSTOP);
	}
	usleep((KEY_LEASE_S + 1) * G_USEC_PER_SEC);
	for (int i = 0; i < PROXIES; i++) {
		g_autofree char *answer = call(cluster, proxies[i], "/board", "k1");

		ck_assert_str_eq(answer, "503 not-run keys-unconfirmed");
	}
	expect(cluster, "/open", NULL, "200");
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		g_autofree char *name = g_strdup_printf("r%d", id);

		cluster_signal(cluster, name, SIGCONT);
	}
	await_answer(cluster, proxies[0], "/board", "k1", "200");
	cluster_free(cluster);
}
END_TEST

/* Sends calls of an account through all proxies but one, in turn; returns how many were served. */
static int count_served(cluster_t *cluster, const char *key, int calls, const char *except)
{
	int served = 0;

	for (int i = 0; i < calls; i++) {
		const char *proxy = proxies[i % PROXIES];
		g_autofree char *answer = NULL;

		if (except && !strcmp(proxy, except))
			continue;
		answer = call(cluster, proxy, "/board", key);
		served += g_str_has_prefix(answer, "200");
		ck_assert_msg(!strcmp(answer, "200") || !strcmp(answer, "429 not-run over-allotment") ||
				      !strcmp(answer, "503 not-run allotment-unavailable"),
			      "%s", answer);
	}
	return served;
}

/* QUOTA: an account gets its limit at each proxy. */
START_TEST(test_allotment_over_all_proxies)
{
	cluster_t *cluster = start();
	gint64 begin_us;
	double windows;
	int served;

	/* The owner's bucket is full once no other proxy can have granted tokens for a window. */
	usleep((WINDOW_S + 1) * G_USEC_PER_SEC);
	begin_us = g_get_monotonic_time();
	served = 0;
	while (g_get_monotonic_time() < begin_us + WINDOW_S * G_USEC_PER_SEC)
		served += count_served(cluster, "k1", CALLS, NULL);
	/* The calls span more than a window, and the bound grows with it. */
	windows = 1 + (double)(g_get_monotonic_time() - begin_us) / (WINDOW_S * G_USEC_PER_SEC);
	ck_assert_int_le(served, (int)(MOST_IN_WINDOW * windows));
	ck_assert_int_ge(served, RATE);
	/* An account without a limit is not held up. */
	ck_assert_int_eq(count_served(cluster, "k2", PROXIES, NULL), PROXIES);
	cluster_free(cluster);
}
END_TEST

/* QUOTA: an account has no calls any more, or twice its limit, once the proxy that owns it has ended. */
START_TEST(test_owner_ends)
{
	cluster_t *cluster = start();

	/* One of the four owns the account; each ends in turn and is started again. */
	for (int i = 0; i < PROXIES; i++) {
		const char *other = proxies[(i + 1) % PROXIES];
		gint64 begin_us = g_get_monotonic_time();
		double windows;
		int served;

		cluster_signal(cluster, proxies[i], SIGKILL);
		cluster_wait(cluster, proxies[i]);
		await_answer(cluster, other, "/board", "k1", "200");
		/* On a slow machine the calls span more than a window, and the bound grows with it. */
		served = count_served(cluster, "k1", CALLS / 2, proxies[i]);
		windows = 1 + (double)(g_get_monotonic_time() - begin_us) / (WINDOW_S * G_USEC_PER_SEC);
		ck_assert_int_le(served, (int)(MOST_IN_WINDOW * windows));
		cluster_start_proxy(cluster, proxies[i]);
		await_answer(cluster, proxies[i], "/board", "k2", "200");
	}
	cluster_free(cluster);
}
END_TEST

/* Adds a test in a case of its own, so that a variant of the sources can be tested by it alone. */
static void add_test(Suite *suite, const char *name, const TTest *test)
{
	TCase *tcase = tcase_create(name);

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test);
	suite_add_tcase(suite, tcase);
}

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("client accounts");

	add_test(suite, "keys", test_keys);
	add_test(suite, "allotment", test_allotment_over_all_proxies);
	add_test(suite, "owner", test_owner_ends);
	return script_run_suite(suite);
}
