/* What a catalog holds for all VMs, and the difference from it to a complete content. */
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
	content->accounts = cw_message_array(capacity[SECTION_ACCOUNT]);
	return content;
}

/* Appends a section. */
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
	case SECTION_ACCOUNT:
		content->accounts[content->n_accounts++] = message;
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
	Caraway__ClientAccount account = CARAWAY__CLIENT_ACCOUNT__INIT;

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
	case SECTION_ACCOUNT:
		account.name = (char *)name;
		account.removed = true;
		return cw_message_copy(&account.base);
	default:
		target.name = (char *)name;
		target.removed = true;
		return cw_message_copy(&target.base);
	}
}

/* Returns whether an entry sets a section and is of a change numbered least_number or above. */
static bool is_set_from(const entry_t *entry, uint64_t least_number)
{
	return entry && entry->number >= least_number && !section_is_removed(entry->section);
}

/* Returns how many entries of a kind a layer has that is_set_from(). */
static size_t count_set(const layer_t *layer, section_kind_t kind, uint64_t least_number)
{
	layer_iter_t iter;
	const entry_t *entry;
	size_t count = 0;

	layer_iter_init(&iter, layer, kind);
	while ((entry = layer_iter_next(&iter)))
		count += is_set_from(entry, least_number);
	return count;
}

/* Orders strings. */
static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the names of the entries of a kind that a complete content lacks, borrowed, ordered. */
static GPtrArray *missing_names(const layer_t *layer, section_kind_t kind, uint64_t least_number,
				const Caraway__Content *complete)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *missing = g_ptr_array_new();
	layer_iter_t iter;
	const entry_t *entry;

	for (size_t i = 0; i < content_count(complete, kind); i++)
		g_hash_table_add(names, (char *)section_name(content_section(complete, kind, i)));
	layer_iter_init(&iter, layer, kind);
	while ((entry = layer_iter_next(&iter)))
		if (is_set_from(entry, least_number) &&
		    !g_hash_table_contains(names, section_name(entry->section)))
			g_ptr_array_add(missing, (char *)section_name(entry->section));
	g_ptr_array_sort(missing, compare_names);
	return missing;
}

/* Appends the sections of a kind that are new or changed, and a removal for each that is gone. */
static void append_differences(cw_difference_t *difference, const layer_t *layer, section_kind_t kind,
			       uint64_t least_number, const Caraway__Content *complete)
{
	size_t present = layer ? count_set(layer, kind, least_number) : 0;
	size_t found = 0;

	for (size_t i = 0; i < content_count(complete, kind); i++) {
		section_t section = content_section(complete, kind, i);
		const entry_t *entry = layer ? layer_entry(layer, kind, section_name(section)) : NULL;
		bool set = is_set_from(entry, least_number);

		found += set;
		if (!set || !cw_message_equal(section.message, entry->section.message))
			append_section(difference->content, kind, (void *)section.message);
	}
	if (found < present) {
		g_autoptr(GPtrArray) missing = missing_names(layer, kind, least_number, complete);

		for (guint i = 0; i < missing->len; i++) {
			void *removal = removal_new(kind, missing->pdata[i]);

			g_ptr_array_add(difference->removals, removal);
			append_section(difference->content, kind, removal);
		}
	}
}

/*
 * Returns what sets and removes sections for every VM so that those of changes numbered
 * least_number or above become a complete content, whose title it has.
 */
cw_difference_t *catalog_difference_for_all_vms(const cw_catalog_t *catalog, uint64_t least_number,
						const Caraway__Content *complete)
{
	size_t slot;
	const layer_t *layer = catalog_find_layer(catalog, "", &slot);
	size_t capacity[SECTION_KINDS];
	cw_difference_t *difference = g_new(cw_difference_t, 1);

	for (int kind = 0; kind < SECTION_KINDS; kind++)
		capacity[kind] = content_count(complete, kind) + (layer ? layer->count[kind] : 0);
	difference->content = content_new(capacity);
	difference->content->title = strdup(complete->title);
	difference->removals = g_ptr_array_new_with_free_func(cw_message_free);
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		append_differences(difference, layer, kind, least_number, complete);
	return difference;
}

/* Frees a difference; the sections to set belong to the complete content. */
void cw_difference_free(cw_difference_t *difference)
{
	cw_content_free_borrowed(difference->content);
	g_ptr_array_unref(difference->removals);
	g_free(difference);
}

/* Returns a layer's entries, without removals, set by changes numbered least_number or above; by name. */
static GPtrArray *entries_from_number(const layer_t *layer, section_kind_t kind, uint64_t least_number)
{
	GPtrArray *entries = g_ptr_array_new();
	layer_iter_t iter;
	const entry_t *entry;

	layer_iter_init(&iter, layer, kind);
	while ((entry = layer_iter_next(&iter)))
		if (is_set_from(entry, least_number))
			g_ptr_array_add(entries, (gpointer)entry);
	entries_sort(entries);
	return entries;
}

/* Returns the messages of entries, kept alive by references added to owners; frees the array of entries. */
static GPtrArray *messages_of(GPtrArray *entries, GPtrArray *owners)
{
	GPtrArray *messages = g_ptr_array_sized_new(entries->len);

	for (guint i = 0; i < entries->len; i++) {
		entry_t *entry = entries->pdata[i];

		g_ptr_array_add(owners, entry_ref(entry));
		g_ptr_array_add(messages, (gpointer)entry->section.message);
	}
	g_ptr_array_unref(entries);
	return messages;
}

/*
 * Returns the sections that apply to every VM and that changes numbered least_number or
 * above have set, as the catalog holds them: the same message as long as it is not
 * replaced.  Freed with cw_config_free().
 */
cw_config_t *catalog_config_for_all_vms(const cw_catalog_t *catalog, uint64_t least_number)
{
	cw_config_t *config = g_new0(cw_config_t, 1);
	GPtrArray *messages[SECTION_KINDS];
	size_t slot;
	const layer_t *layer = catalog_find_layer(catalog, "", &slot);

	config->version = catalog->version;
	config->entries = g_ptr_array_new_with_free_func(entry_unref);
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		messages[kind] = messages_of(layer ? entries_from_number(layer, kind, least_number)
						   : g_ptr_array_new(),
					     config->entries);
	config->services = messages[SECTION_SERVICE];
	config->routes = messages[SECTION_ROUTE];
	config->targets = messages[SECTION_TARGET];
	config->limits = messages[SECTION_LIMITS];
	config->accounts = messages[SECTION_ACCOUNT];
	return config;
}
