/* Entries, each a section as set by a change, and layers, each with the entries of one selector text. */
#include "catalog.h"

/* Returns a new entry that owns a copy of a section. */
entry_t *entry_new(section_t section, uint64_t version, uint64_t number)
{
	entry_t *entry = g_new0(entry_t, 1);

	g_atomic_ref_count_init(&entry->ref_count);
	entry->section.kind = section.kind;
	entry->section.message = cw_message_copy(section.message);
	entry->version = version;
	entry->number = number;
	return entry;
}

/* Takes a reference to an entry. */
entry_t *entry_ref(entry_t *entry)
{
	g_atomic_ref_count_inc(&entry->ref_count);
	return entry;
}

/* Drops a reference to an entry. */
void entry_unref(void *data)
{
	entry_t *entry = data;

	if (!g_atomic_ref_count_dec(&entry->ref_count))
		return;
	cw_message_free((void *)entry->section.message);
	g_free(entry);
}

/* Returns a new layer without entries; takes ownership of the selector. */
layer_t *layer_new(const char *text, cw_selector_t *selector)
{
	layer_t *layer = g_new0(layer_t, 1);

	g_atomic_ref_count_init(&layer->ref_count);
	layer->text = g_strdup(text);
	layer->selector = selector;
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		layer->entries[kind] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_unref);
	return layer;
}

/* Discards the index of referrers, which layer_referrers() builds again. */
static void layer_clear_referrers(layer_t *layer)
{
	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		if (layer->referrers[kind])
			g_hash_table_destroy(layer->referrers[kind]);
		layer->referrers[kind] = NULL;
	}
}

/* Takes a reference to a layer. */
layer_t *layer_ref(layer_t *layer)
{
	g_atomic_ref_count_inc(&layer->ref_count);
	return layer;
}

/* Drops a reference to a layer; NULL is allowed. */
void layer_unref(void *data)
{
	layer_t *layer = data;

	if (!layer || !g_atomic_ref_count_dec(&layer->ref_count))
		return;
	layer_clear_referrers(layer);
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		g_hash_table_destroy(layer->entries[kind]);
	cw_selector_free(layer->selector);
	g_free(layer->text);
	g_free(layer);
}

/* Returns a new layer that shares the entries of another. */
layer_t *layer_copy(const layer_t *layer)
{
	cw_selector_t *selector;
	layer_t *copy;

	cw_selector_parse(layer->text, &selector);
	copy = layer_new(layer->text, selector);
	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		GHashTableIter iter;
		gpointer name;
		gpointer entry;

		g_hash_table_iter_init(&iter, layer->entries[kind]);
		while (g_hash_table_iter_next(&iter, &name, &entry))
			g_hash_table_insert(copy->entries[kind], name, entry_ref(entry));
	}
	return copy;
}

/* Returns a layer's entry of a name; NULL when it has none. */
const entry_t *layer_entry(const layer_t *layer, section_kind_t kind, const char *name)
{
	return g_hash_table_lookup(layer->entries[kind], name);
}

/* Adds an entry, replacing the one of its name; takes ownership of the reference. */
void layer_put(layer_t *layer, entry_t *entry)
{
	layer_clear_referrers(layer);
	g_hash_table_replace(layer->entries[entry->section.kind], (gpointer)section_name(entry->section),
			     entry);
}

/* Removes the entry of a name; returns whether the layer is empty now. */
bool layer_remove(layer_t *layer, section_kind_t kind, const char *name)
{
	size_t remaining = 0;

	layer_clear_referrers(layer);
	g_hash_table_remove(layer->entries[kind], name);
	for (int i = 0; i < SECTION_KINDS; i++)
		remaining += g_hash_table_size(layer->entries[i]);
	return !remaining;
}

/* Adds an entry to the referrers of a name. */
static void add_referrer(layer_t *layer, section_kind_t kind, const char *name, entry_t *entry)
{
	GPtrArray *referrers = g_hash_table_lookup(layer->referrers[kind], name);

	if (!referrers) {
		referrers = g_ptr_array_new();
		g_hash_table_insert(layer->referrers[kind], g_strdup(name), referrers);
	}
	g_ptr_array_add(referrers, entry);
}

/* Builds the index of referrers: for each service and target, the entries that refer to it. */
static void layer_index_referrers(layer_t *layer)
{
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		layer->referrers[kind] = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							       (GDestroyNotify)g_ptr_array_unref);
	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, layer->entries[kind]);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			section_t section = ((entry_t *)value)->section;

			if (section_is_removed(section))
				continue;
			for (size_t i = 0; section_service(section, i); i++)
				add_referrer(layer, SECTION_SERVICE, section_service(section, i), value);
			if (section_target(section))
				add_referrer(layer, SECTION_TARGET, section_target(section), value);
		}
	}
}

/* Returns the entries (entry_t *) of a layer that refer to a service or target; NULL when none do. */
const GPtrArray *layer_referrers(layer_t *layer, section_kind_t kind, const char *name)
{
	if (!layer->referrers[SECTION_SERVICE])
		layer_index_referrers(layer);
	return g_hash_table_lookup(layer->referrers[kind], name);
}

/* Orders entries by name. */
static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const entry_t *left = *(entry_t *const *)a;
	const entry_t *right = *(entry_t *const *)b;

	return g_strcmp0(section_name(left->section), section_name(right->section));
}

/* Orders an array of entries by name. */
void entries_sort(GPtrArray *entries)
{
	g_ptr_array_sort(entries, compare_entries);
}
