/*
 * Tests of announcements that another writer has left: none is applied, and none ends the process.  The
 * target announces itself to the proxy beside it only, so that such an entry reaches no list of others.
 */
#include <check.h>
#include <string.h>

#include "../../platform/codec.h"
#include "libcaraway.h"
#include "script.h"

enum { NESTING = 200000, DIGITS = 5000 };

/* Returns an announcement with the given texts of its address, slots and sequence. */
static char *announcement(const char *address, const char *slots, const char *sequence)
{
	return g_strdup_printf(
		"{\"born\":1000,\"address\":\"%s\",\"info\":{\"service\":\"tabla\",\"slots\":%s},"
		"\"status\":{\"state\":\"ready\",\"sequence\":%s,\"warmup_left_s\":0}}",
		address, slots, sequence);
}

/* Returns whether the target of the service tabla at 10.0.0.1:80 applies an announcement. */
static bool is_applied(const char *body)
{
	GByteArray *bytes = g_byte_array_new();
	cw_target_t *target = cw_target_new("tabla", "10.0.0.1:80", 0);
	codec_announcement_t decoded;
	bool applied;

	g_byte_array_append(bytes, (const guint8 *)body, (guint)strlen(body));
	applied = codec_decode_announcement("i-1", bytes, &decoded) == CW_OK &&
		  cw_target_announce(target, &decoded.announcement, 1000) == CW_TARGET_APPLIED;
	codec_announcement_clear(&decoded);
	cw_target_free(target);
	g_byte_array_unref(bytes);
	return applied;
}

/* Asserts whether an announcement with these texts is applied. */
static void assert_applied(const char *address, const char *slots, const char *sequence, bool expected)
{
	g_autofree char *body = announcement(address, slots, sequence);

	ck_assert_msg(is_applied(body) == expected, "%.200s", body);
}

/* The complete announcement of this target is applied. */
START_TEST(test_complete)
{
	assert_applied("10.0.0.1:80", "12", "1", true);
}
END_TEST

/* Arrays and objects nested many thousand deep, closed or not. */
START_TEST(test_nested)
{
	g_autofree char *open_arrays = g_strnfill(NESTING, '[');
	g_autofree char *closed_arrays = g_strnfill(NESTING, ']');
	g_autofree char *nested = g_strconcat(open_arrays, closed_arrays, NULL);
	g_autoptr(GString) objects = g_string_new(NULL);

	for (int i = 0; i < NESTING; i++)
		g_string_append(objects, "{\"info\":");
	ck_assert(!is_applied(open_arrays));
	ck_assert(!is_applied(nested));
	ck_assert(!is_applied(objects->str));
	assert_applied("10.0.0.1:80", nested, "1", false);
}
END_TEST

/* Numbers that no integer or no double holds. */
START_TEST(test_numbers)
{
	g_autofree char *digits = g_strnfill(DIGITS, '9');

	assert_applied("10.0.0.1:80", digits, "1", false);
	assert_applied("10.0.0.1:80", "12", digits, false);
	assert_applied("10.0.0.1:80", "1e400", "1", false);
	assert_applied("10.0.0.1:80", "-1", "1", false);
	assert_applied("10.0.0.1:80", "18446744073709551616", "1", false);
	assert_applied("10.0.0.1:80", "12", "-9223372036854775809", false);
}
END_TEST

/* Ports that do not exist, and addresses that are none. */
START_TEST(test_addresses)
{
	assert_applied("10.0.0.1:0", "12", "1", false);
	assert_applied("10.0.0.1:70000", "12", "1", false);
	assert_applied("10.0.0.1:99999999999999999999", "12", "1", false);
	assert_applied("10.0.0.1", "12", "1", false);
	assert_applied("", "12", "1", false);
}
END_TEST

/* Returns whether a target that has announced itself as ready applies a deregistration. */
static bool is_deregistered(const char *body)
{
	const cw_announcement_t ready = {.id = "i-1", .started_ms = 1000, .sequence = 1};
	GByteArray *bytes = g_byte_array_new();
	cw_target_t *target = cw_target_new("tabla", "10.0.0.1:80", 0);
	codec_announcement_t decoded;
	bool applied;

	cw_target_announce(target, &ready, 1000);
	g_byte_array_append(bytes, (const guint8 *)body, (guint)strlen(body));
	applied = codec_decode_deregistration("i-1", bytes, &decoded) == CW_OK &&
		  cw_target_announce(target, &decoded.announcement, 1000) == CW_TARGET_APPLIED;
	codec_announcement_clear(&decoded);
	cw_target_free(target);
	g_byte_array_unref(bytes);
	return applied;
}

/* A deregistration as the platform sends it has no body; one with a start time of another type names no target. */
START_TEST(test_deregistration)
{
	ck_assert(is_deregistered(""));
	ck_assert(is_deregistered("{}"));
	ck_assert(is_deregistered("{\"born\":1000}"));
	ck_assert(!is_deregistered("{\"born\":\"1000\"}"));
	ck_assert(!is_deregistered("{\"born\":0}"));
	ck_assert(!is_deregistered("{\"born\":1000.5}"));
	ck_assert(!is_deregistered("[1000]"));
}
END_TEST

/* The version of a heartbeat is kept; one without a version, or with one of another type, is as before. */
START_TEST(test_version)
{
	static const char *const bodies[] = {"\"v2\"", "7", "null"};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		g_autofree char *body = g_strdup_printf(
			"{\"born\":5,\"address\":\"10.0.0.1:80\",\"info\":{\"service\":\"tabla\",\"slots\":4,"
			"\"version\":%s},\"status\":{\"state\":\"ready\",\"sequence\":1,\"warmup_left_s\":0}}",
			bodies[i]);
		g_autoptr(GByteArray) bytes = g_byte_array_new();
		codec_announcement_t decoded;

		g_byte_array_append(bytes, (const guint8 *)body, (guint)strlen(body));
		ck_assert_int_eq(codec_decode_announcement("i-1", bytes, &decoded), CW_OK);
		ck_assert_str_eq(decoded.announcement.version ? decoded.announcement.version : "none",
				 i ? "none" : "v2");
		codec_announcement_clear(&decoded);
	}
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("announcements");
	TCase *tcase = tcase_create("announcements");

	tcase_add_test(tcase, test_complete);
	tcase_add_test(tcase, test_nested);
	tcase_add_test(tcase, test_numbers);
	tcase_add_test(tcase, test_addresses);
	tcase_add_test(tcase, test_deregistration);
	tcase_add_test(tcase, test_version);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
