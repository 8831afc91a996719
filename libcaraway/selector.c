/* Selectors, which match VMs by their built-in keys and their labels. */
#include "catalog.h"

#include <string.h>

enum { SELECTOR_MAX_BYTES = 1024, SELECTOR_MAX_TERMS = 32 };

/* The forms key=value, key!=value, key and !key, in this order. */
typedef enum { TERM_EQUAL, TERM_NOT_EQUAL, TERM_PRESENT, TERM_ABSENT } term_type_t;

typedef struct {
	term_type_t type;
	char *key;
	char *value; /* of TERM_EQUAL and TERM_NOT_EQUAL; NULL otherwise */
} term_t;

struct cw_selector {
	size_t term_count;
	term_t *terms; /* all must match */
};

/* Frees the strings of a term. */
static void term_clear(term_t *term)
{
	g_free(term->key);
	g_free(term->value);
}

/* Frees a selector; NULL is allowed. */
void cw_selector_free(cw_selector_t *selector)
{
	if (!selector)
		return;
	for (size_t i = 0; i < selector->term_count; i++)
		term_clear(&selector->terms[i]);
	g_free(selector->terms);
	g_free(selector);
}

/* Splits a term of the form key, !key, key=value or key!=value, without surrounding spaces. */
static void term_split(const char *text, term_t *term)
{
	const char *equal = strchr(text, '=');

	if (!equal) {
		term->type = *text == '!' ? TERM_ABSENT : TERM_PRESENT;
		term->key = g_strdup(*text == '!' ? text + 1 : text);
		return;
	}
	term->type = equal > text && equal[-1] == '!' ? TERM_NOT_EQUAL : TERM_EQUAL;
	term->key = g_strndup(text, equal - text - (term->type == TERM_NOT_EQUAL));
	term->value = g_strdup(equal + 1);
}

/* Parses one term; CW_ERR_SELECTOR when its key or value is not a valid name. */
static cw_status_t term_parse(const char *text, term_t *term)
{
	char *trimmed = g_strstrip(g_strdup(text));
	bool valid;

	term_split(trimmed, term);
	valid = name_is_valid(term->key) && (!term->value || name_is_valid(term->value));
	if (!valid) {
		cw_fail(CW_ERR_SELECTOR, "selector term \"%s\": expected key, !key, key=value or key!=value",
			trimmed);
		term_clear(term);
	}
	g_free(trimmed);
	return valid ? CW_OK : CW_ERR_SELECTOR;
}

/* Parses the terms of a selector that is not empty. */
static cw_status_t parse_terms(const char *text, cw_selector_t *selector)
{
	char **parts = g_strsplit(text, ",", -1);
	size_t count = g_strv_length(parts);
	cw_status_t status = CW_OK;

	if (count > SELECTOR_MAX_TERMS) {
		g_strfreev(parts);
		return cw_fail(CW_ERR_SELECTOR, "selector has %zu terms, at most %d are allowed", count,
			       SELECTOR_MAX_TERMS);
	}
	selector->terms = g_new0(term_t, count);
	for (size_t i = 0; i < count && !status; i++) {
		status = term_parse(parts[i], &selector->terms[i]);
		if (!status)
			selector->term_count++;
	}
	g_strfreev(parts);
	return status;
}

/*
 * Parses a selector: terms separated by commas, all of which must match.  An
 * empty or blank text selects every VM.  Fails with CW_ERR_SELECTOR.
 */
cw_status_t cw_selector_parse(const char *text, cw_selector_t **selector)
{
	cw_selector_t *parsed;
	cw_status_t status = CW_OK;

	*selector = NULL;
	if (strlen(text) > SELECTOR_MAX_BYTES)
		return cw_fail(CW_ERR_SELECTOR, "selector is longer than %d bytes", SELECTOR_MAX_BYTES);
	parsed = g_new0(cw_selector_t, 1);
	if (strspn(text, " \t") != strlen(text))
		status = parse_terms(text, parsed);
	if (status)
		cw_selector_free(parsed);
	else
		*selector = parsed;
	return status;
}

/* Returns whether a key is built in, and so set by the VM's registration and not by a label. */
bool selector_key_is_builtin(const char *key)
{
	return !strcmp(key, "vm") || !strcmp(key, "zone") || !strcmp(key, "region") ||
	       !strcmp(key, "service");
}

/* Returns the value of a VM's label; NULL when the VM has no label of that key. */
static const char *label_value(const Caraway__Vm *vm, const char *key)
{
	for (size_t i = 0; i < vm->n_labels; i++)
		if (!strcmp(vm->labels[i]->key, key))
			return vm->labels[i]->value;
	return NULL;
}

/*
 * Returns the value that a VM has for a key, NULL when it has none.  Labels never
 * replace built-in keys, which differ in their first letter.
 */
static const char *vm_value(const Caraway__Vm *vm, const char *key)
{
	const char *value;

	if (!selector_key_is_builtin(key))
		return label_value(vm, key);
	switch (*key) {
	case 'v':
		value = vm->name;
		break;
	case 'z':
		value = vm->zone;
		break;
	case 'r':
		value = vm->region;
		break;
	default:
		value = vm->service;
	}
	return *value ? value : NULL;
}

/* Returns whether one term matches a VM. */
static bool term_match(const term_t *term, const Caraway__Vm *vm)
{
	const char *value = vm_value(vm, term->key);

	switch (term->type) {
	case TERM_EQUAL:
		return value && !strcmp(value, term->value);
	case TERM_NOT_EQUAL:
		return !value || strcmp(value, term->value) != 0;
	case TERM_PRESENT:
		return value != NULL;
	case TERM_ABSENT:
		return value == NULL;
	}
	return false;
}

/* Returns whether every term of a selector matches a VM; key!=value also matches a VM without the key. */
bool cw_selector_match(const cw_selector_t *selector, const Caraway__Vm *vm)
{
	for (size_t i = 0; i < selector->term_count; i++)
		if (!term_match(&selector->terms[i], vm))
			return false;
	return true;
}

/* Returns whether a selector selects every VM. */
bool selector_is_empty(const cw_selector_t *selector)
{
	return selector->term_count == 0;
}
