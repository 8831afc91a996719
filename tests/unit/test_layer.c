/* Tests of layers that share the entries of the layer that they were copied from, against a plain table. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catalog.h"
#include "script.h"

enum { ROUNDS = 300, STEPS = 60, NAMES = 12, SERVICES = 3, MAX_COPIES = 3 };

/* A layer and what it must hold: the entry of each name, or NULL. */
typedef struct {
	layer_t *layer;
	const entry_t *expected[NAMES];
} copy_t;

/* Returns a new entry of a route to some service. */
static entry_t *entry_of(unsigned name, unsigned service)
{
	Caraway__Route route = CARAWAY__ROUTE__INIT;
	section_t section = {.kind = SECTION_ROUTE, .route = &route};
	char name_text[8], service_text[8];

	g_snprintf(name_text, sizeof(name_text), "r%u", name);
	g_snprintf(service_text, sizeof(service_text), "s%u", service);
	route.name = name_text;
	route.service = service_text;
	return entry_new(section, 1, 1);
}

/* Checks one name, by lookup and as a referrer of its service. */
static void check_name(const copy_t *copy, unsigned name)
{
	char text[8];

	g_snprintf(text, sizeof(text), "r%u", name);
	ck_assert_ptr_eq(layer_entry(copy->layer, SECTION_ROUTE, text), copy->expected[name]);
}

/* Checks lookups, iteration, the count and the referrers of a layer. */
static void check_layer(const copy_t *copy)
{
	layer_iter_t iter;
	size_t expected = 0, found = 0, referrers = 0;

	for (unsigned name = 0; name < NAMES; name++) {
		check_name(copy, name);
		expected += copy->expected[name] != NULL;
	}
	layer_iter_init(&iter, copy->layer, SECTION_ROUTE);
	while (layer_iter_next(&iter))
		found++;
	for (unsigned service = 0; service < SERVICES; service++) {
		g_autoptr(GPtrArray) entries = NULL;
		char text[8];

		g_snprintf(text, sizeof(text), "s%u", service);
		entries = layer_referrers(copy->layer, SECTION_SERVICE, text);
		for (guint i = 0; i < entries->len; i++) {
			const entry_t *entry = entries->pdata[i];

			ck_assert_str_eq(entry->section.route->service, text);
			ck_assert_ptr_eq(layer_entry(copy->layer, SECTION_ROUTE, entry->section.route->name),
					 entry);
		}
		referrers += entries->len;
	}
	ck_assert_uint_eq(found, expected);
	ck_assert_uint_eq(copy->layer->count[SECTION_ROUTE], expected);
	ck_assert_uint_eq(referrers, expected);
}

/* Puts or removes an entry of the newest copy, the only one that may be altered. */
static void alter(GRand *random, copy_t *copy)
{
	unsigned name = (unsigned)g_rand_int_range(random, 0, NAMES);
	char text[8];

	g_snprintf(text, sizeof(text), "r%u", name);
	if (g_rand_boolean(random)) {
		entry_t *entry = entry_of(name, (unsigned)g_rand_int_range(random, 0, SERVICES));

		layer_put(copy->layer, entry);
		copy->expected[name] = entry;
	} else if (copy->expected[name]) {
		layer_remove(copy->layer, SECTION_ROUTE, text);
		copy->expected[name] = NULL;
	}
}

/* Copies of copies hold what they were given; the layers below them stay as they were. */
START_TEST(test_copies_differ_as_altered)
{
	GRand *random = g_rand_new_with_seed((guint32)_i);
	copy_t copies[MAX_COPIES] = {0};
	int newest = 0;
	cw_selector_t *selector;

	ck_assert_int_eq(cw_selector_parse("", &selector), CW_OK);
	copies[0].layer = layer_new("", selector);
	for (int step = 0; step < STEPS; step++) {
		int action = g_rand_int_range(random, 0, 10);

		if (action == 0 && newest + 1 < MAX_COPIES) {
			copies[newest + 1] = copies[newest];
			copies[newest + 1].layer = layer_copy(copies[newest].layer);
			newest++;
		} else if (action == 1 && newest > 0) {
			layer_unref(copies[newest--].layer);
		} else if (action == 2 && newest > 0) {
			layer_unref(copies[newest - 1].layer);
			copies[newest].layer = layer_settle(copies[newest].layer);
			copies[newest - 1] = copies[newest];
			newest--;
		} else {
			alter(random, &copies[newest]);
		}
		for (int i = 0; i <= newest; i++)
			check_layer(&copies[i]);
	}
	for (int i = 0; i <= newest; i++)
		layer_unref(copies[i].layer);
	g_rand_free(random);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("layer");
	TCase *tcase = tcase_create("layer");

	tcase_add_loop_test(tcase, test_copies_differ_as_altered, 0, ROUNDS);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
