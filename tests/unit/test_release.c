/*
 * Tests of complete configurations in the platform's JSON: what is accepted is read back as it was sent,
 * what cannot be kept exactly is refused with the name of its field.
 */
#include <check.h>
#include <string.h>

#include "../../platform/codec.h"
#include "libcaraway.h"
#include "script.h"

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
	text = codec_encode_release(replacement->release, replacement->content);
	read = json_loads(text, 0, NULL);
	ck_assert_msg(figure_of(read, figure) == g_ascii_strtod(figure->value, NULL), "%s %s: %s",
		      figure->field, figure->value, text);
	json_decref(read);
	free(text);
	control_replacement_free(replacement);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("release");
	TCase *tcase = tcase_create("release");

	tcase_add_loop_test(tcase, test_figures_are_read_back_as_sent_or_refused, 0, G_N_ELEMENTS(figures));
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
