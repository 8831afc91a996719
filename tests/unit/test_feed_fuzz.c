/*
 * Seeded mutations of news: fields are altered and hashes made to hold again,
 * as from a parent that is wrong or hostile.  Nothing may crash, a refusal
 * changes nothing, and what is accepted must be valid.
 */
#include <check.h>

#include "mutate.h"
#include "script.h"
#include "words.h"

enum { ROUNDS = 20000, MAX_BYTES = 1 << 20 };

/* Returns a feed with records of every kind. */
static cw_feed_t *source_feed(void)
{
	char *first[] = {"service=a", "route=r:/:a", "target=t:a:tier=new"};
	char *second[] = {"-route=r"};
	char *labels[] = {"zone=eger", "tier=new"};
	Caraway__Content *contents[] = {words_content("zone=eger", 3, first), words_content("", 1, second)};
	Caraway__Vm *vm = words_vm("v1", 2, labels);
	cw_feed_t *feed = cw_feed_new(100);

	cw_feed_set_vm(feed, vm);
	cw_feed_stage(feed, 1, contents[0]);
	cw_feed_activate(feed, 1, 10, 10);
	cw_feed_stage(feed, 2, contents[1]);
	cw_feed_stage(feed, 3, contents[1]);
	cw_feed_drop(feed, 3);
	cw_feed_activate(feed, 2, 20, 20);
	cw_message_free(contents[0]);
	cw_message_free(contents[1]);
	cw_message_free(vm);
	return feed;
}

/* Makes the digests of staged contents and the chain hold again. */
static void seal(Caraway__News *news)
{
	uint64_t chain = 0;

	for (size_t i = 0; i < news->n_records; i++) {
		Caraway__FeedRecord *record = news->records[i];
		GBytes *packed;
		gsize length;
		const void *data;

		if (record->body_case == CARAWAY__FEED_RECORD__BODY_STAGE && record->stage &&
		    record->stage->content)
			record->stage->digest = cw_content_digest(record->stage->content);
		record->chain = 0;
		packed = cw_message_pack(&record->base);
		data = g_bytes_get_data(packed, &length);
		chain = record->chain = cw_hash(data, length, chain);
		g_bytes_unref(packed);
	}
}

/* Returns news from the first record on, altered, sealed and sent over a wire. */
static Caraway__News *altered_news(GRand *random, const cw_feed_t *source)
{
	Caraway__News news = CARAWAY__NEWS__INIT;
	Caraway__News *sent;
	Caraway__News *received;

	ck_assert_int_eq(cw_feed_fill_update(source, 0, 0, MAX_BYTES, &news), CW_OK);
	sent = cw_message_copy(&news.base);
	for (size_t i = 0; i < news.n_records; i++)
		cw_message_free(news.records[i]);
	g_free(news.records);
	for (int i = g_rand_int_range(random, 1, 4); i > 0; i--) {
		size_t record = (size_t)g_rand_int_range(random, 0, (gint32)sent->n_records);

		mutate_message(random, &sent->records[record]->base);
	}
	seal(sent);
	received = cw_message_copy(&sent->base);
	cw_message_free(sent);
	return received;
}

/* Returns the packed state of a feed. */
static GBytes *feed_state(const cw_feed_t *feed)
{
	Caraway__FeedSnapshot *saved = cw_feed_save(feed);
	GBytes *packed = cw_message_pack(&saved->base);

	cw_message_free(saved);
	return packed;
}

/* What was accepted must be valid and can be used. */
static void use_feed(cw_feed_t *feed)
{
	GPtrArray *vms = cw_catalog_vms(cw_feed_catalog(feed));
	Caraway__FeedSnapshot *saved = cw_feed_save(feed);
	cw_feed_t *loaded = cw_feed_new(10);

	for (size_t i = 0; i < vms->len; i++) {
		ck_assert_int_eq(cw_vm_check(vms->pdata[i]), CW_OK);
		cw_config_free(cw_catalog_resolve(cw_feed_catalog(feed), vms->pdata[i]));
	}
	ck_assert_int_eq(cw_feed_load(loaded, saved), CW_OK);
	cw_feed_free(loaded);
	cw_message_free(saved);
	g_ptr_array_unref(vms);
}

/* News whose fields were altered. */
START_TEST(test_news)
{
	GRand *random = g_rand_new_with_seed(5);
	cw_feed_t *source = source_feed();
	int accepted = 0;

	for (int i = 0; i < ROUNDS; i++) {
		Caraway__News *news = altered_news(random, source);
		cw_feed_t *feed = cw_feed_new(100);
		GBytes *before = feed_state(feed);
		cw_status_t status = cw_feed_apply_update(feed, news);
		GBytes *after = feed_state(feed);

		ck_assert(status == CW_OK || status == CW_ERR_DAMAGED || status == CW_ERR_POSITION);
		if (status)
			ck_assert(g_bytes_equal(before, after));
		else
			use_feed(feed);
		accepted += status == CW_OK;
		g_bytes_unref(before);
		g_bytes_unref(after);
		cw_feed_free(feed);
		cw_message_free(news);
	}
	ck_assert_int_gt(accepted, ROUNDS / 100);
	ck_assert_int_lt(accepted, ROUNDS);
	cw_feed_free(source);
	g_rand_free(random);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("feed_fuzz");
	TCase *tcase = tcase_create("feed_fuzz");

	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, test_news);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
