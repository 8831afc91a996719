/* The configuration of one VM: for each name, the newest entry of the layers that select the VM. */
#include "catalog.h"

/* Adds the entries of a layer to a table by name, in place of older ones. */
static void merge_layer(GHashTable *by_name, const layer_t *layer, section_kind_t kind)
{
	layer_iter_t iter;
	const entry_t *entry;

	layer_iter_init(&iter, layer, kind);
	while ((entry = layer_iter_next(&iter))) {
		const char *name = section_name(entry->section);
		const entry_t *newest = g_hash_table_lookup(by_name, name);

		if (!newest || newest->version < entry->version)
			g_hash_table_insert(by_name, (gpointer)name, (gpointer)entry);
	}
}

/* Returns the entries of a kind that apply to a VM, without removals; borrowed, ordered by name. */
static GPtrArray *resolve_kind(const cw_catalog_t *catalog, const Caraway__Vm *vm, section_kind_t kind)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *entries = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	for (size_t i = 0; i < catalog->layers->len; i++) {
		const layer_t *layer = catalog->layers->pdata[i];

		if (layer && cw_selector_match(layer->selector, vm))
			merge_layer(by_name, layer, kind);
	}
	g_hash_table_iter_init(&iter, by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!section_is_removed(((entry_t *)value)->section))
			g_ptr_array_add(entries, value);
	entries_sort(entries);
	g_hash_table_destroy(by_name);
	return entries;
}

/* Returns the messages of entries, kept alive by references added to owners; frees the array of entries. */
static GPtrArray *entry_messages(GPtrArray *entries, GPtrArray *owners)
{
	GPtrArray *messages = g_ptr_array_sized_new(entries->len);

	for (size_t i = 0; i < entries->len; i++) {
		entry_t *entry = entries->pdata[i];

		g_ptr_array_add(owners, entry_ref(entry));
		g_ptr_array_add(messages, (gpointer)entry->section.message);
	}
	g_ptr_array_unref(entries);
	return messages;
}

/*
 * Returns the configuration of a VM, which need not be in the catalog.  Later
 * changes of the catalog don't affect it; it may be freed on another thread.
 */
cw_config_t *cw_catalog_resolve(const cw_catalog_t *catalog, const Caraway__Vm *vm)
{
	cw_config_t *config = g_new0(cw_config_t, 1);

	config->version = catalog->version;
	config->entries = g_ptr_array_new_with_free_func(entry_unref);
	config->services = entry_messages(resolve_kind(catalog, vm, SECTION_SERVICE), config->entries);
	config->routes = entry_messages(resolve_kind(catalog, vm, SECTION_ROUTE), config->entries);
	config->targets = entry_messages(resolve_kind(catalog, vm, SECTION_TARGET), config->entries);
	config->limits = entry_messages(resolve_kind(catalog, vm, SECTION_LIMITS), config->entries);
	config->accounts = entry_messages(resolve_kind(catalog, vm, SECTION_ACCOUNT), config->entries);
	return config;
}

/* Frees a configuration; NULL is allowed. */
void cw_config_free(cw_config_t *config)
{
	if (!config)
		return;
	g_ptr_array_unref(config->services);
	g_ptr_array_unref(config->routes);
	g_ptr_array_unref(config->targets);
	g_ptr_array_unref(config->limits);
	g_ptr_array_unref(config->accounts);
	if (config->account_keys)
		g_hash_table_unref(config->account_keys);
	g_ptr_array_unref(config->entries);
	g_free(config);
}
