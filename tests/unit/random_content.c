/* Random contents for the runs of the ledger, as structures and as messages. */
#include "random_content.h"

#include <check.h>
#include <string.h>

const char *const random_zones[RANDOM_ZONES] = {"eger", "ozd", "miskolc"};
const char *const random_tiers[RANDOM_TIERS] = {"old", "new"};

/* Makes a random selector. */
static void random_terms(GRand *random, ob_content_t *content)
{
	content->term_count = g_rand_int_range(random, 0, OB_TERMS + 1);
	for (int i = 0; i < content->term_count; i++) {
		ob_term_t *term = &content->terms[i];

		term->key = g_rand_int_range(random, 0, 8)
				    ? (ob_key_t)(1 + (g_rand_int_range(random, 0, 3) > 0))
				    : OB_KEY_VM;
		term->test = term->key == OB_KEY_TIER ? (ob_test_t)g_rand_int_range(random, 0, 4)
						      : (ob_test_t)g_rand_int_range(random, 0, 2);
		term->value = g_rand_int_range(random, 0, term->key == OB_KEY_VM ? OB_VMS : RANDOM_TIERS);
	}
}

/* Makes a random section. */
static void random_section(GRand *random, const random_hint_t *hint, ob_section_t *section)
{
	section->kind = (ob_kind_t)(g_rand_int_range(random, 0, 5) % 3);
	section->name = g_rand_int_range(random, 0,
					 section->kind == OB_SERVICE ? OB_SERVICES
					 : section->kind == OB_ROUTE ? OB_ROUTES
								     : OB_TARGETS);
	section->removed = g_rand_int_range(random, 0, section->kind == OB_SERVICE ? 4 : 3) == 0;
	section->service =
		g_rand_int_range(random, 0, 8) ? hint->service : g_rand_int_range(random, 0, OB_SERVICES);
	section->target = g_rand_int_range(random, 0, 2) ? OB_NONE : g_rand_int_range(random, 0, OB_TARGETS);
}

void random_content(GRand *random, random_hint_t *hint, ob_content_t *content)
{
	int wanted = 1 + g_rand_int_range(random, 0, OB_SECTIONS);

	memset(content, 0, sizeof(*content));
	if (g_rand_int_range(random, 0, 3))
		*content = hint->last;
	else
		random_terms(random, content);
	content->section_count = 0;
	if (g_rand_int_range(random, 0, 3) == 0) {
		hint->service = g_rand_int_range(random, 0, OB_SERVICES);
		content->sections[content->section_count++] =
			(ob_section_t){.kind = OB_SERVICE, .name = hint->service};
	}
	for (int i = content->section_count; i < wanted; i++) {
		ob_section_t *section = &content->sections[content->section_count];
		bool taken = false;

		random_section(random, hint, section);
		for (int j = 0; j < content->section_count; j++)
			taken = taken || (content->sections[j].kind == section->kind &&
					  content->sections[j].name == section->name);
		content->section_count += !taken;
	}
	hint->last = *content;
}

/* Returns the value of a term as text; to be freed. */
static char *value_text(const ob_term_t *term)
{
	switch (term->key) {
	case OB_KEY_VM:
		return g_strdup_printf("v%d", term->value);
	case OB_KEY_ZONE:
		return g_strdup(random_zones[term->value]);
	default:
		return g_strdup(random_tiers[term->value]);
	}
}

/* Returns a selector as text; to be freed. */
static char *selector_text(const ob_content_t *content)
{
	static const char *const keys[] = {"vm", "zone", "tier"};
	GString *text = g_string_new(NULL);

	for (int i = 0; i < content->term_count; i++) {
		const ob_term_t *term = &content->terms[i];
		char *value = value_text(term);

		if (i)
			g_string_append_c(text, ',');
		if (term->test == OB_HAS || term->test == OB_HAS_NOT)
			g_string_append_printf(text, "%s%s", term->test == OB_HAS ? "" : "!",
					       keys[term->key]);
		else
			g_string_append_printf(text, "%s%s%s", keys[term->key],
					       term->test == OB_IS ? "=" : "!=", value);
		g_free(value);
	}
	return g_string_free(text, FALSE);
}

/* Appends a section to the text of a change file. */
static void append_section(GString *text, const ob_section_t *section)
{
	static const char *const words[] = {"service s", "route r", "target t"};

	g_string_append_printf(text, "[%s%d]\n", words[section->kind], section->name);
	if (section->removed) {
		g_string_append(text, "remove=true\n");
		return;
	}
	if (section->kind == OB_ROUTE)
		g_string_append_printf(text, "path=/%d\n", section->name);
	if (section->kind != OB_SERVICE)
		g_string_append_printf(text, "service=s%d\n", section->service);
	if (section->kind == OB_ROUTE && section->target != OB_NONE)
		g_string_append_printf(text, "target=t%d\n", section->target);
}

Caraway__Content *content_message(const ob_content_t *content)
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
