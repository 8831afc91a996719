/*
 * Tests of complete configurations in the platform's JSON: what is accepted is read back as it was sent,
 * what cannot be kept exactly is refused with the name of its field, and a body in parts is read like a whole one.
 */
#include <check.h>
#include <string.h>

#include "../../platform/codec.h"
#include "libcaraway.h"
#include "script.h"

enum { DAMAGED_SEEDS = 20, DAMAGED_BODIES = 400 };

/* A value of one field, and whether it can be kept exactly. */
typedef struct {
	const char *field;
	const char *value;
	bool kept;
} figure_t;

static const figure_t figures[] = {
	{"timeout_s", "2", true},
	{"timeout_s", "0.8", true},
	{"timeout_s", "1.234", true},
	{"timeout_s", "59.999", true},
	{"timeout_s", "1.2345", false},
	{"timeout_s", "0.0004", false},
	{"target_latency_s", "0.333", true},
	{"target_latency_s", "0.33333", false},
	{"priority", "4294967295", true},
	{"max_attempts", "4294967295", true},
	{"weight", "1", true},
	{"weight", "33.3333333333", true},
	{"weight", "0.1", true},
	{"weight", "0.0001", true},
	{"max_connections", "4294967295", true},
};

/* Returns the value for a field: that of the figure, or else the usual one. */
static const char *value_of(const figure_t *figure, const char *field, const char *usual)
{
	return !strcmp(figure->field, field) ? figure->value : usual;
}

/* Returns the body of a configuration with a figure. */
static char *body_with(const figure_t *figure)
{
	return g_strdup_printf(
		"{\"version\":\"00000002\",\"base_version\":\"00000001\",\"resources\":["
		"{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"tabla\"},"
		"\"spec\":{\"health_path\":\"/health\",\"max_connections\":%s,\"tls\":false}},"
		"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-1\"},\"spec\":{\"host\":\"a.example\","
		"\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_s\":%s,\"target_latency_s\":%s,"
		"\"priority\":%s,\"max_attempts\":%s,"
		"\"traffic_split\":[{\"service\":\"tabla\",\"weight\":%s}]}},"
		"{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":1000,"
		"\"max_body_bytes\":1000,\"header_timeout_s\":1,\"idle_timeout_s\":1}}]}",
		value_of(figure, "max_connections", "100"), value_of(figure, "timeout_s", "1"),
		value_of(figure, "target_latency_s", "0.4"), value_of(figure, "priority", "1"),
		value_of(figure, "max_attempts", "2"), value_of(figure, "weight", "1"));
}

/* Returns the figure's field of a configuration with one route and one service, in this order. */
static double figure_of(const json_t *body, const figure_t *figure)
{
	size_t resource = strcmp(figure->field, "max_connections") ? 0 : 1;
	const json_t *spec =
		json_object_get(json_array_get(json_object_get(body, "resources"), resource), "spec");

	if (!strcmp(figure->field, "weight"))
		spec = json_array_get(json_object_get(spec, "traffic_split"), 0);
	return json_number_value(json_object_get(spec, figure->field));
}

/* Decodes a body. */
static cw_status_t decode(const char *body, control_replacement_t **replacement)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	g_byte_array_append(bytes, (const guint8 *)body, (guint)strlen(body));
	return codec_decode_replacement(bytes, replacement);
}

/* Returns the body of a reading of a configuration, as it is written after it has come into force. */
static char *encode(const control_replacement_t *replacement)
{
	release_writer_cache_t *cache = release_writer_cache_new();
	cw_catalog_t *catalog = cw_catalog_new();
	Caraway__Vm vm = CARAWAY__VM__INIT;
	size_t budget = SIZE_MAX;
	release_writer_t *writer;
	char *text;

	cw_catalog_apply(catalog, replacement->content, 1, 1);
	writer = release_writer_new(replacement->release, cw_catalog_resolve(catalog, &vm), cache);
	ck_assert(release_writer_continue(writer, &budget));
	text = release_writer_finish(writer);
	release_writer_cache_free(cache);
	cw_catalog_free(catalog);
	return text;
}

/* CONFIG: a configuration is acknowledged, and read back with other figures than were sent. */
START_TEST(test_figures_are_read_back_as_sent_or_refused)
{
	const figure_t *figure = &figures[_i];
	g_autofree char *sent = body_with(figure);
	control_replacement_t *replacement = NULL;
	cw_status_t status = decode(sent, &replacement);
	char *text;
	json_t *read;

	ck_assert_msg((status == CW_OK) == figure->kept, "%s %s: %s", figure->field, figure->value,
		      cw_status_name(status));
	if (status != CW_OK) {
		ck_assert_ptr_nonnull(strstr(cw_last_error_message(), figure->field));
		return;
	}
	text = encode(replacement);
	read = json_loads(text, 0, NULL);
	ck_assert_msg(figure_of(read, figure) == g_ascii_strtod(figure->value, NULL), "%s %s: %s",
		      figure->field, figure->value, text);
	json_decref(read);
	g_free(text);
	control_replacement_free(replacement);
}
END_TEST

/* A body with every kind of resource, escapes, nesting and white space. */
static const char sample_body[] =
	" {\"version\" : \"0000000a\",\n\"note\":{\"a\":[1,\"]}\\\"\",{}],\"b\":null}, \"base_version\":\"00000009\",\t"
	"\"resources\":[ {\"resource_kind\":\"services\",\"metadata\":{\"name\":\"tabla\"},\"spec\":"
	"{\"health_path\":\"/h\\u0065alth\",\"max_connections\":5,\"tls\":true}} ,\n"
	"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-1\"},\"spec\":{\"host\":\"a.example\","
	"\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_s\":1,\"target_latency_s\":0.4,\"priority\":1,"
	"\"max_attempts\":2,\"service\":\"tabla\",\"x\":[[],{}]}},{\"resource_kind\":\"limits\",\"metadata\":{},"
	"\"spec\":{\"max_header_bytes\":1000,\"max_body_bytes\":1000,\"header_timeout_s\":1,"
	"\"idle_timeout_s\":1}}], \"z\": -1.5e3 }\n";

/* A configuration with an account, a public route and one for long bodies; the keys are inserted. */
static const char accounts_body[] =
	"{\"version\":\"00000002\",\"base_version\":\"00000001\",\"resources\":["
	"{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"tabla\"},"
	"\"spec\":{\"health_path\":\"/health\",\"max_connections\":5,\"tls\":false}},"
	"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-1\"},\"spec\":{\"host\":\"a.example\","
	"\"path_prefix\":\"/a/\",\"kind\":\"upload\",\"timeout_s\":1,\"target_latency_s\":1,\"priority\":1,"
	"\"max_attempts\":2,\"service\":\"tabla\",\"public\":false}},"
	"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-2\"},\"spec\":{\"host\":\"a.example\","
	"\"path_prefix\":\"/b/\",\"kind\":\"safe\",\"timeout_s\":1,\"target_latency_s\":1,\"priority\":1,"
	"\"max_attempts\":2,\"service\":\"tabla\",\"public\":true}},"
	"{\"resource_kind\":\"tenants\",\"metadata\":{\"name\":\"posta\"},\"spec\":{"
	"\"api_keys\":[\"k1\",\"k2\"],\"priority\":0,\"rate_per_s\":12.5,\"burst\":3}},"
	"{\"resource_kind\":\"tenants\",\"metadata\":{\"name\":\"vasut\"},\"spec\":{\"api_keys\":[%s]}}]}";

/* CONFIG: accounts, long bodies or public routes are read back with other values than were sent. */
START_TEST(test_accounts_are_read_back)
{
	g_autofree char *sent = g_strdup_printf(accounts_body, "\"k3\"");
	control_replacement_t *replacement = NULL;
	json_t *sent_resources, *read;
	char *text;

	ck_assert_int_eq(decode(sent, &replacement), CW_OK);
	text = encode(replacement);
	read = json_loads(text, 0, NULL);
	sent_resources = json_loads(sent, 0, NULL);
	for (size_t i = 0; i < json_array_size(json_object_get(sent_resources, "resources")); i++) {
		json_t *resource = json_array_get(json_object_get(sent_resources, "resources"), i);
		bool found = false;

		for (size_t j = 0; j < json_array_size(json_object_get(read, "resources")); j++)
			found = found ||
				json_equal(resource, json_array_get(json_object_get(read, "resources"), j));
		ck_assert_msg(found, "resource %zu is not in %s", i, text);
	}
	json_decref(sent_resources);
	json_decref(read);
	g_free(text);
	control_replacement_free(replacement);
}
END_TEST

/* CONFIG: a configuration in which two accounts have one key, or an account has a bad one, is acknowledged. */
START_TEST(test_invalid_keys_are_refused)
{
	static const char *const keys[] = {"\"k2\"", "\"k3\",\"k1\"", "\"\"", "\"a b\"", "7", "null"};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		g_autofree char *body = g_strdup_printf(accounts_body, keys[i]);
		control_replacement_t *replacement = NULL;

		ck_assert_msg(decode(body, &replacement) != CW_OK, "%s", keys[i]);
	}
}
END_TEST

/* Reads a body in parts of a budget; returns how many parts there were, 0 after a failure. */
static unsigned read_in_parts(const char *body, size_t length, size_t part, release_reader_cache_t *cache,
			      size_t *parsed, control_replacement_t **replacement)
{
	release_reader_t *reader = release_reader_new(g_memdup2(body, length), length, cache);
	size_t budget = part;
	unsigned parts = 1;

	for (; !release_reader_continue(reader, &budget); parts++)
		budget = part;
	*parsed = release_reader_parsed(reader);
	return release_reader_finish(reader, replacement) == CW_OK ? parts : 0;
}

/* A body in parts is read as at once; resources that come again are not read again, changed ones are. */
START_TEST(test_resources_that_come_again_are_not_read_again)
{
	release_reader_cache_t *cache = release_reader_cache_new();
	g_autofree char *changed = g_strdup(sample_body);
	control_replacement_t *first, *second, *third;
	size_t parsed;

	ck_assert_uint_gt(read_in_parts(sample_body, strlen(sample_body), 1, cache, &parsed, &first), 3);
	ck_assert_uint_eq(parsed, 3);
	ck_assert_uint_gt(read_in_parts(sample_body, strlen(sample_body), 1, cache, &parsed, &second), 3);
	ck_assert_uint_eq(parsed, 0);
	ck_assert_uint_eq(first->digest, second->digest);
	*strstr(strstr(changed, "\"priority\""), "1") = '7';
	ck_assert_uint_gt(read_in_parts(changed, strlen(changed), 100, cache, &parsed, &third), 0);
	ck_assert_uint_eq(parsed, 1);
	ck_assert_uint_ne(first->digest, third->digest);
	control_replacement_free(first);
	release_reader_cache_free(cache);
	ck_assert_uint_eq(second->release, 10);
	ck_assert_uint_eq(second->base_release, 9);
	ck_assert_str_eq(second->content->services[0]->health_path, "/health");
	ck_assert_uint_eq(second->content->routes[0]->priority, 1);
	ck_assert_uint_eq(third->content->routes[0]->priority, 7);
	ck_assert_uint_eq(third->content->n_limits, 1);
	control_replacement_free(second);
	control_replacement_free(third);
}
END_TEST

/* A sender that leaves ends the reading midway. */
START_TEST(test_reading_is_given_up)
{
	release_reader_cache_t *cache = release_reader_cache_new();

	for (size_t budget = 1; budget < 40; budget++) {
		size_t left = budget;
		release_reader_t *reader = release_reader_new(g_memdup2(sample_body, strlen(sample_body)),
							      strlen(sample_body), cache);

		release_reader_continue(reader, &left);
		release_reader_free(reader);
	}
	release_reader_cache_free(cache);
}
END_TEST

/* Replaces, removes or inserts bytes of a body, or cuts it; returns its new length. */
static size_t damage(GRand *random, GString *body)
{
	static const char bytes[] = "{}[]\",:\\ \n0a-\t\xff";
	gint place = g_rand_int_range(random, 0, (gint32)body->len);
	char byte = bytes[g_rand_int_range(random, 0, sizeof(bytes))];

	switch (g_rand_int_range(random, 0, 4)) {
	case 0:
		body->str[place] = byte;
		break;
	case 1:
		g_string_erase(body, place, MIN(2, (gssize)body->len - place));
		break;
	case 2:
		g_string_insert_c(body, place, byte);
		break;
	default:
		g_string_truncate(body, (gsize)place);
		break;
	}
	return body->len;
}

/* What the JSON library refuses as a whole is refused in parts, and nothing else is refused as not being JSON. */
START_TEST(test_damaged_bodies_are_read_like_whole_ones)
{
	release_reader_cache_t *cache = release_reader_cache_new();
	GRand *random = g_rand_new_with_seed((guint32)_i);

	for (int round = 0; round < DAMAGED_BODIES; round++) {
		g_autoptr(GString) body = g_string_new(sample_body);
		control_replacement_t *replacement = NULL;
		size_t parsed;
		json_t *whole;

		for (int i = g_rand_int_range(random, 1, 3); i > 0 && body->len > 4; i--)
			damage(random, body);
		whole = json_loadb(body->str, body->len, JSON_REJECT_DUPLICATES, NULL);
		if (read_in_parts(body->str, body->len, 2, cache, &parsed, &replacement)) {
			ck_assert_msg(whole != NULL, "accepted: %s", body->str);
			control_replacement_free(replacement);
		} else if (json_is_object(whole)) {
			ck_assert_msg(!strstr(cw_last_error_message(), "not valid JSON"), "%s: %s",
				      cw_last_error_message(), body->str);
		}
		json_decref(whole);
	}
	g_rand_free(random);
	release_reader_cache_free(cache);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("release");
	TCase *tcase = tcase_create("release");

	tcase_add_loop_test(tcase, test_figures_are_read_back_as_sent_or_refused, 0, G_N_ELEMENTS(figures));
	tcase_add_test(tcase, test_accounts_are_read_back);
	tcase_add_test(tcase, test_invalid_keys_are_refused);
	tcase_add_test(tcase, test_resources_that_come_again_are_not_read_again);
	tcase_add_test(tcase, test_reading_is_given_up);
	tcase_add_loop_test(tcase, test_damaged_bodies_are_read_like_whole_ones, 0, DAMAGED_SEEDS);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
