/* Entries, each a section as set by a change, and layers, each with the entries of one selector text. */
#include "catalog.h"

#include <string.h>

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

/* Drops the reference of a layer to an entry; NULL marks a removed one. */
static void drop_entry(void *entry)
{
	if (entry)
		entry_unref(entry);
}

/* Returns a new layer without entries; takes ownership of the selector. */
layer_t *layer_new(const char *text, cw_selector_t *selector)
{
	layer_t *layer = g_new0(layer_t, 1);

	g_atomic_ref_count_init(&layer->ref_count);
	layer->text = g_strdup(text);
	layer->selector = selector;
	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		layer->entries[kind] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, drop_entry);
		layer->referrers[kind] = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							       (GDestroyNotify)g_hash_table_unref);
	}
	return layer;
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
	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		g_hash_table_destroy(layer->referrers[kind]);
		g_hash_table_destroy(layer->entries[kind]);
	}
	layer_unref(layer->base);
	cw_selector_free(layer->selector);
	g_free(layer->text);
	g_free(layer);
}

/* Returns a copy of a layer, which refers to it as its base. */
layer_t *layer_copy(layer_t *layer)
{
	cw_selector_t *selector;
	layer_t *copy;

	cw_selector_parse(layer->text, &selector);
	copy = layer_new(layer->text, selector);
	copy->base = layer_ref(layer);
	memcpy(copy->count, layer->count, sizeof(copy->count));
	return copy;
}

/* Returns a layer's entry of a name; NULL when it has none. */
const entry_t *layer_entry(const layer_t *layer, section_kind_t kind, const char *name)
{
	gpointer entry;

	for (; layer; layer = layer->base)
		if (g_hash_table_lookup_extended(layer->entries[kind], name, NULL, &entry))
			return entry;
	return NULL;
}

/* Adds an entry to the referrers of a name. */
static void add_referrer(layer_t *layer, section_kind_t kind, const char *name, entry_t *entry)
{
	GHashTable *referrers = g_hash_table_lookup(layer->referrers[kind], name);

	if (!referrers) {
		referrers = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(layer->referrers[kind], g_strdup(name), referrers);
	}
	g_hash_table_add(referrers, entry);
}

/* Removes an entry from the referrers of a name. */
static void remove_referrer(layer_t *layer, section_kind_t kind, const char *name, entry_t *entry)
{
	GHashTable *referrers = g_hash_table_lookup(layer->referrers[kind], name);

	if (!referrers)
		return;
	g_hash_table_remove(referrers, entry);
	if (!g_hash_table_size(referrers))
		g_hash_table_remove(layer->referrers[kind], name);
}

/* add_referrer() or remove_referrer(). */
typedef void (*referrer_update_t)(layer_t *layer, section_kind_t kind, const char *name, entry_t *entry);

/* Adds an entry to the referrers of each name that it refers to, or removes it from them. */
static void update_referrers(layer_t *layer, entry_t *entry, referrer_update_t update)
{
	section_t section = entry->section;

	if (section_is_removed(section))
		return;
	for (size_t i = 0; section_service(section, i); i++)
		update(layer, SECTION_SERVICE, section_service(section, i), entry);
	if (section_target(section))
		update(layer, SECTION_TARGET, section_target(section), entry);
}

/* Removes a name from the entries of the layer itself. */
static void forget_own(layer_t *layer, section_kind_t kind, const char *name)
{
	entry_t *entry = g_hash_table_lookup(layer->entries[kind], name);

	if (entry)
		update_referrers(layer, entry, remove_referrer);
	g_hash_table_remove(layer->entries[kind], name);
}

/* Adds an entry, replacing the one of its name; takes ownership of the reference. */
void layer_put(layer_t *layer, entry_t *entry)
{
	section_kind_t kind = entry->section.kind;
	const char *name = section_name(entry->section);

	if (!layer_entry(layer, kind, name))
		layer->count[kind]++;
	forget_own(layer, kind, name);
	g_hash_table_insert(layer->entries[kind], (gpointer)name, entry);
	update_referrers(layer, entry, add_referrer);
}

/* Removes the entry of a name; returns whether the layer is empty now. */
bool layer_remove(layer_t *layer, section_kind_t kind, const char *name)
{
	const entry_t *of_base = layer->base ? layer_entry(layer->base, kind, name) : NULL;
	size_t remaining = 0;

	if (layer_entry(layer, kind, name))
		layer->count[kind]--;
	forget_own(layer, kind, name);
	if (of_base)
		g_hash_table_insert(layer->entries[kind], (gpointer)section_name(of_base->section), NULL);
	for (int i = 0; i < SECTION_KINDS; i++)
		remaining += layer->count[i];
	return !remaining;
}

/* Returns the entries (entry_t *) of a layer that refer to a service or target, in no order; freed by the caller. */
GPtrArray *layer_referrers(const layer_t *layer, section_kind_t kind, const char *name)
{
	const layer_t *top = layer;
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer entry;

	for (; layer; layer = layer->base) {
		GHashTable *referrers = g_hash_table_lookup(layer->referrers[kind], name);

		if (!referrers)
			continue;
		g_hash_table_iter_init(&iter, referrers);
		while (g_hash_table_iter_next(&iter, &entry, NULL)) {
			section_t section = ((entry_t *)entry)->section;

			if (layer == top || layer_entry(top, section.kind, section_name(section)) == entry)
				g_ptr_array_add(found, entry);
		}
	}
	return found;
}

/* Moves the entries of a layer, and its removals, to the base, which nothing else refers to. */
static void move_to_base(layer_t *layer)
{
	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		GHashTableIter iter;
		gpointer name;
		gpointer entry;

		g_hash_table_iter_init(&iter, layer->entries[kind]);
		while (g_hash_table_iter_next(&iter, &name, &entry)) {
			if (entry)
				layer_put(layer->base, entry_ref(entry));
			else
				layer_remove(layer->base, kind, name);
		}
	}
}

/* Returns whether a value of a table of entries marks a removed entry. */
static gboolean is_removal(gpointer name, gpointer entry, gpointer unused)
{
	(void)name;
	(void)unused;
	return !entry;
}

/* Takes over the entries of the base that are still in use, and drops it; the base has none itself. */
static void take_from_base(layer_t *layer)
{
	layer_t *base = g_steal_pointer(&layer->base);

	for (int kind = 0; kind < SECTION_KINDS; kind++) {
		GHashTableIter iter;
		gpointer name;
		gpointer entry;

		g_hash_table_iter_init(&iter, base->entries[kind]);
		while (g_hash_table_iter_next(&iter, &name, &entry))
			if (!g_hash_table_contains(layer->entries[kind], name)) {
				g_hash_table_insert(layer->entries[kind], name, entry_ref(entry));
				update_referrers(layer, entry, add_referrer);
			}
		g_hash_table_foreach_remove(layer->entries[kind], is_removal, NULL);
	}
	layer_unref(base);
}

/* Returns how many names a layer sets or removes itself. */
static size_t own_count(const layer_t *layer)
{
	size_t count = 0;

	for (int kind = 0; kind < SECTION_KINDS; kind++)
		count += g_hash_table_size(layer->entries[kind]);
	return count;
}

/*
 * Returns a layer with the same entries as one whose base nothing else refers to,
 * and without that base: the smaller of the two is moved to the other.  Takes ownership
 * of the reference.
 */
layer_t *layer_settle(layer_t *layer)
{
	layer_t *base = layer->base;

	if (!base || !g_atomic_ref_count_compare(&layer->ref_count, 1) ||
	    !g_atomic_ref_count_compare(&base->ref_count, 1))
		return layer;
	if (!base->base && own_count(base) < own_count(layer)) {
		take_from_base(layer);
		return layer;
	}
	move_to_base(layer);
	layer_ref(base);
	layer_unref(layer);
	return base;
}

/* Starts at the first entry of a kind. */
void layer_iter_init(layer_iter_t *iter, const layer_t *layer, section_kind_t kind)
{
	*iter = (layer_iter_t){.top = layer, .layer = layer, .kind = kind};
	g_hash_table_iter_init(&iter->iter, layer->entries[kind]);
}

/* Returns the next entry, in no order; NULL after the last. */
const entry_t *layer_iter_next(layer_iter_t *iter)
{
	gpointer entry;

	while (iter->layer) {
		while (g_hash_table_iter_next(&iter->iter, NULL, &entry)) {
			const entry_t *found = entry;

			if (found &&
			    (iter->layer == iter->top ||
			     layer_entry(iter->top, iter->kind, section_name(found->section)) == found))
				return found;
		}
		iter->layer = iter->layer->base;
		if (iter->layer)
			g_hash_table_iter_init(&iter->iter, iter->layer->entries[iter->kind]);
	}
	return NULL;
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
