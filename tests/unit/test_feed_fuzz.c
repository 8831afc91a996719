/*
 * Fuzz test of feed updates: fields are mutated and the hashes recomputed, as a faulty or malicious parent
 * could send them.  No update may crash the feed, a rejected update must change nothing, and an accepted one
 * must leave the feed valid.
 */
#include <check.h>

#include "mutate.h"
#include "script.h"
#include "script_args.h"

enum { ROUNDS = 20000, MAX_UPDATE_BYTES = 1 << 20 };

/* Returns a feed with records of every kind. */
static cw_feed_t *make_source_feed(void)
{
	char *first[] = {"service=a", "route=r:/:a", "target=t:a:tier=new"};
	char *second[] = {"-route=r"};
	char *labels[] = {"zone=eger", "tier=new"};
	Caraway__Content *contents[] = {content_from_args("zone=eger", 3, first),
					content_from_args("", 1, second)};
	Caraway__Vm *vm = vm_from_args("v1", 2, labels);
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

/* Recomputes the digests of staged contents and the chain hashes of all records. */
static void rehash_records(Caraway__News *update)
{
	uint64_t chain = 0;

	for (size_t i = 0; i < update->n_records; i++) {
		Caraway__FeedRecord *record = update->records[i];
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

/* Returns an update of all records after one to three mutations, hashes recomputed, encoded and decoded. */
static Caraway__News *make_mutated_update(GRand *random, const cw_feed_t *source)
{
	Caraway__News update = CARAWAY__NEWS__INIT;
	Caraway__News *sent;
	Caraway__News *received;

	ck_assert_int_eq(cw_feed_fill_update(source, 0, 0, MAX_UPDATE_BYTES, &update), CW_OK);
	sent = cw_message_copy(&update.base);
	for (size_t i = 0; i < update.n_records; i++)
		cw_message_free(update.records[i]);
	g_free(update.records);
	for (int i = g_rand_int_range(random, 1, 4); i > 0; i--) {
		size_t record = (size_t)g_rand_int_range(random, 0, (gint32)sent->n_records);

		mutate_message(random, &sent->records[record]->base);
	}
	rehash_records(sent);
	received = cw_message_copy(&sent->base);
	cw_message_free(sent);
	return received;
}

/* Returns the packed state of a feed. */
static GBytes *pack_feed_state(const cw_feed_t *feed)
{
	Caraway__FeedSnapshot *saved = cw_feed_save(feed);
	GBytes *packed = cw_message_pack(&saved->base);

	cw_message_free(saved);
	return packed;
}

/* Checks that the VMs of a feed are valid, their configurations resolve, and its saved state loads. */
static void check_feed(cw_feed_t *feed)
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

/* Applies mutated updates, each to an empty feed. */
START_TEST(test_mutated_update)
{
	GRand *random = g_rand_new_with_seed(5);
	cw_feed_t *source = make_source_feed();
	int accepted = 0;

	for (int i = 0; i < ROUNDS; i++) {
		Caraway__News *update = make_mutated_update(random, source);
		cw_feed_t *feed = cw_feed_new(100);
		GBytes *before = pack_feed_state(feed);
		cw_status_t status = cw_feed_apply_update(feed, update);
		GBytes *after = pack_feed_state(feed);

		ck_assert(status == CW_OK || status == CW_ERR_DAMAGED || status == CW_ERR_POSITION);
		if (status)
			ck_assert(g_bytes_equal(before, after));
		else
			check_feed(feed);
		accepted += status == CW_OK;
		g_bytes_unref(before);
		g_bytes_unref(after);
		cw_feed_free(feed);
		cw_message_free(update);
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
	tcase_add_test(tcase, test_mutated_update);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
