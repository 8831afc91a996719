/* The difference of two contents, and the content that a catalog holds for all VMs. */
#include "catalog.h"

#include <string.h>

/* Returns an empty content that applies to every VM, with capacity for so many sections of each kind. */
static Caraway__Content *content_new(const size_t *capacity)
{
	Caraway__Content *content = malloc(sizeof(*content));

	caraway__content__init(content);
	content->services = cw_message_array(capacity[SECTION_SERVICE]);
	content->routes = cw_message_array(capacity[SECTION_ROUTE]);
	content->targets = cw_message_array(capacity[SECTION_TARGET]);
	content->limits = cw_message_array(capacity[SECTION_LIMITS]);
	return content;
}

/* Appends a section; the content takes ownership of the message. */
static void append_section(Caraway__Content *content, section_kind_t kind, void *message)
{
	switch (kind) {
	case SECTION_SERVICE:
		content->services[content->n_services++] = message;
		break;
	case SECTION_ROUTE:
		content->routes[content->n_routes++] = message;
		break;
	case SECTION_LIMITS:
		content->limits[content->n_limits++] = message;
		break;
	default:
		content->targets[content->n_targets++] = message;
		break;
	}
}

/* Returns a new section that removes a name. */
static void *removal_new(section_kind_t kind, const char *name)
{
	Caraway__Service service = CARAWAY__SERVICE__INIT;
	Caraway__Route route = CARAWAY__ROUTE__INIT;
	Caraway__Target target = CARAWAY__TARGET__INIT;
	Caraway__CallerLimits limits = CARAWAY__CALLER_LIMITS__INIT;

	switch (kind) {
	case SECTION_SERVICE:
		service.name = (char *)name;
		service.removed = true;
		return cw_message_copy(&service.base);
	case SECTION_ROUTE:
		route.name = (char *)name;
		route.removed = true;
		return cw_message_copy(&route.base);
	case SECTION_LIMITS:
		limits.name = (char *)name;
		limits.removed = true;
		return cw_message_copy(&limits.base);
	default:
		target.name = (char *)name;
		target.removed = true;
		return cw_message_copy(&target.base);
	}
}

/* Returns whether two sections of the same kind are equal. */
static bool sections_equal(section_t a, section_t b)
{
	g_autoptr(GBytes) left = cw_message_pack(a.message);
	g_autoptr(GBytes) right = cw_message_pack(b.message);

	return g_bytes_equal(left, right);
}

/* Returns the messages of the sections of a kind by name; keys and values are borrowed. */
static GHashTable *sections_by_name(const Caraway__Content *content, section_kind_t kind)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < content_count(content, kind); i++) {
		section_t section = content_section(content, kind, i);

		g_hash_table_insert(names, (char *)section_name(section), (gpointer)section.message);
	}
	return names;
}

/* Appends the sections of a kind that are new or changed, and a removal for each that is gone. */
static void append_differences(Caraway__Content *difference, const Caraway__Content *from,
			       const Caraway__Content *to, section_kind_t kind)
{
	g_autoptr(GHashTable) old_sections = sections_by_name(from, kind);
	g_autoptr(GHashTable) new_sections = sections_by_name(to, kind);

	for (size_t i = 0; i < content_count(to, kind); i++) {
		section_t section = content_section(to, kind, i);
		section_t old_section = {.kind = kind,
					 .message = g_hash_table_lookup(old_sections, section_name(section))};

		if (!old_section.message || !sections_equal(section, old_section))
			append_section(difference, kind, cw_message_copy(section.message));
	}
	for (size_t i = 0; i < content_count(from, kind); i++) {
		const char *name = section_name(content_section(from, kind, i));

		if (!g_hash_table_contains(new_sections, name))
			append_section(difference, kind, removal_new(kind, name));
	}
}

/* Returns the content that turns one content into another when applied; its title is that of the second. */
Caraway__Content *cw_content_difference(const Caraway__Content *from, const Caraway__Content *to)
{
	size_t capacity[SECTION_KINDS];
	Caraway__Content *difference;

	for (int kind = 0; kind < SECTION_KINDS; kind++)
		capacity[kind] = content_count(from, kind) + content_count(to, kind);
	difference = content_new(capacity);
	difference->title = strdup(to->title);
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		append_differences(difference, from, to, kind);
	return difference;
}

/* Returns a layer's entries, without removals, set by changes numbered least_number or above; by name. */
static GPtrArray *entries_from_number(const layer_t *layer, section_kind_t kind, uint64_t least_number)
{
	GPtrArray *entries = g_ptr_array_new();
	layer_iter_t iter;
	const entry_t *entry;

	layer_iter_init(&iter, layer, kind);
	while ((entry = layer_iter_next(&iter)))
		if (entry->number >= least_number && !section_is_removed(entry->section))
			g_ptr_array_add(entries, (gpointer)entry);
	entries_sort(entries);
	return entries;
}

/* Returns the sections under the empty selector that were set by changes numbered least_number or above. */
Caraway__Content *cw_catalog_content_for_all_vms(const cw_catalog_t *catalog, uint64_t least_number)
{
	size_t slot;
	const layer_t *layer = catalog_find_layer(catalog, "", &slot);
	GPtrArray *entries[SECTION_KINDS];
	size_t capacity[SECTION_KINDS] = {0};
	Caraway__Content *content;

	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		entries[kind] = layer ? entries_from_number(layer, kind, least_number) : g_ptr_array_new();
		capacity[kind] = entries[kind]->len;
	}
	content = content_new(capacity);
	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		for (guint i = 0; i < entries[kind]->len; i++) {
			const entry_t *entry = entries[kind]->pdata[i];

			append_section(content, kind, cw_message_copy(entry->section.message));
		}
		g_ptr_array_unref(entries[kind]);
	}
	return content;
}
