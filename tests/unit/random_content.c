/* Random contents for tests of the ledger, as structures of the model and as protobuf messages. */
#include "random_content.h"

#include <check.h>
#include <string.h>

const char *const random_zones[RANDOM_ZONE_COUNT] = {"eger", "ozd", "miskolc"};
const char *const random_tiers[RANDOM_TIER_COUNT] = {"old", "new"};

/* Makes a random selector, mostly of tiers and zones; it uses only the first RANDOM_TIER_COUNT zones. */
static void random_selector(GRand *random, model_content_t *content)
{
	content->term_count = g_rand_int_range(random, 0, MODEL_MAX_TERMS + 1);
	for (int i = 0; i < content->term_count; i++) {
		model_term_t *term = &content->terms[i];

		term->key = g_rand_int_range(random, 0, 8)
				    ? (model_key_t)(1 + (g_rand_int_range(random, 0, 3) > 0))
				    : MODEL_KEY_VM;
		term->type = term->key == MODEL_KEY_TIER ? (model_term_type_t)g_rand_int_range(random, 0, 4)
							 : (model_term_type_t)g_rand_int_range(random, 0, 2);
		term->value = g_rand_int_range(
			random, 0, term->key == MODEL_KEY_VM ? MODEL_VM_COUNT : RANDOM_TIER_COUNT);
	}
}

/* Makes a random section; services and routes are twice as frequent as targets. */
static void random_section(GRand *random, const random_context_t *context, model_section_t *section)
{
	section->kind = (model_kind_t)(g_rand_int_range(random, 0, 5) % 3);
	section->name = g_rand_int_range(random, 0,
					 section->kind == MODEL_SERVICE ? MODEL_SERVICE_COUNT
					 : section->kind == MODEL_ROUTE ? MODEL_ROUTE_COUNT
									: MODEL_TARGET_COUNT);
	section->removed = g_rand_int_range(random, 0, section->kind == MODEL_SERVICE ? 4 : 3) == 0;
	section->service = g_rand_int_range(random, 0, 8) ? context->service
							  : g_rand_int_range(random, 0, MODEL_SERVICE_COUNT);
	section->target =
		g_rand_int_range(random, 0, 2) ? MODEL_NONE : g_rand_int_range(random, 0, MODEL_TARGET_COUNT);
}

void random_content(GRand *random, random_context_t *context, model_content_t *content)
{
	int max_sections = 1 + g_rand_int_range(random, 0, MODEL_MAX_SECTIONS);

	memset(content, 0, sizeof(*content));
	if (g_rand_int_range(random, 0, 3))
		*content = context->previous;
	else
		random_selector(random, content);
	content->section_count = 0;
	if (g_rand_int_range(random, 0, 3) == 0) {
		context->service = g_rand_int_range(random, 0, MODEL_SERVICE_COUNT);
		content->sections[content->section_count++] =
			(model_section_t){.kind = MODEL_SERVICE, .name = context->service};
	}
	for (int i = content->section_count; i < max_sections; i++) {
		model_section_t *section = &content->sections[content->section_count];
		bool duplicate = false;

		random_section(random, context, section);
		for (int j = 0; j < content->section_count; j++)
			duplicate = duplicate || (content->sections[j].kind == section->kind &&
						  content->sections[j].name == section->name);
		content->section_count += !duplicate;
	}
	context->previous = *content;
}

/* Returns the value of a term as text, owned by the caller. */
static char *value_text(const model_term_t *term)
{
	switch (term->key) {
	case MODEL_KEY_VM:
		return g_strdup_printf("v%d", term->value);
	case MODEL_KEY_ZONE:
		return g_strdup(random_zones[term->value]);
	default:
		return g_strdup(random_tiers[term->value]);
	}
}

/* Returns a selector as text, owned by the caller. */
static char *selector_text(const model_content_t *content)
{
	static const char *const keys[] = {"vm", "zone", "tier"};
	GString *text = g_string_new(NULL);

	for (int i = 0; i < content->term_count; i++) {
		const model_term_t *term = &content->terms[i];
		char *value = value_text(term);

		if (i)
			g_string_append_c(text, ',');
		if (term->type == MODEL_TERM_PRESENT || term->type == MODEL_TERM_ABSENT)
			g_string_append_printf(text, "%s%s", term->type == MODEL_TERM_PRESENT ? "" : "!",
					       keys[term->key]);
		else
			g_string_append_printf(text, "%s%s%s", keys[term->key],
					       term->type == MODEL_TERM_EQUAL ? "=" : "!=", value);
		g_free(value);
	}
	return g_string_free(text, FALSE);
}

/* Appends a section to the text of a change file. */
static void append_section(GString *text, const model_section_t *section)
{
	static const char *const headers[] = {"service s", "route r", "target t"};

	g_string_append_printf(text, "[%s%d]\n", headers[section->kind], section->name);
	if (section->removed) {
		g_string_append(text, "remove=true\n");
		return;
	}
	if (section->kind == MODEL_ROUTE)
		g_string_append_printf(text, "path=/%d\n", section->name);
	if (section->kind != MODEL_SERVICE)
		g_string_append_printf(text, "service=s%d\n", section->service);
	if (section->kind == MODEL_ROUTE && section->target != MODEL_NONE)
		g_string_append_printf(text, "target=t%d\n", section->target);
}

Caraway__Content *content_message(const model_content_t *content)
{
	GString *text = g_string_new(NULL);
	char *selector = selector_text(content);
	Caraway__Content *message;

	g_string_append_printf(text, "[change]\ntitle=random\nselector=%s\n", selector);
	for (int i = 0; i < content->section_count; i++)
		append_section(text, &content->sections[i]);
	ck_assert_msg(cw_change_parse(text->str, text->len, "random", &message) == CW_OK, "%s",
		      cw_last_error_message());
	g_string_free(text, TRUE);
	g_free(selector);
	return message;
}
