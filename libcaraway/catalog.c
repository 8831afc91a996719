/* The catalog: sections in one layer per selector, and the table of VMs. */
#include "catalog.h"

/* Returns a new, empty table of VMs. */
static vm_table_t *vm_table_new(void)
{
	vm_table_t *table = g_new0(vm_table_t, 1);

	g_atomic_ref_count_init(&table->ref_count);
	table->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_entry_unref);
	return table;
}

/* Drops a reference to a VM. */
void vm_entry_unref(void *data)
{
	vm_entry_t *entry = data;

	if (!g_atomic_ref_count_dec(&entry->ref_count))
		return;
	cw_message_free(entry->vm);
	g_free(entry);
}

/* Drops a reference to a table of VMs. */
static void vm_table_unref(vm_table_t *table)
{
	if (!g_atomic_ref_count_dec(&table->ref_count))
		return;
	g_hash_table_destroy(table->by_name);
	g_free(table);
}

/* Returns a new table that references the VMs of another. */
static vm_table_t *vm_table_copy(const vm_table_t *table)
{
	vm_table_t *copy = vm_table_new();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		vm_entry_t *entry = value;

		g_atomic_ref_count_inc(&entry->ref_count);
		g_hash_table_insert(copy->by_name, name, entry);
	}
	return copy;
}

/* Returns a new catalog of version 0, without sections or VMs. */
cw_catalog_t *cw_catalog_new(void)
{
	cw_catalog_t *catalog = g_new0(cw_catalog_t, 1);

	catalog->layers = g_ptr_array_new_with_free_func(layer_unref);
	catalog->vms = vm_table_new();
	catalog->grouping = grouping_new();
	return catalog;
}

/* Frees a catalog; NULL is allowed. */
void cw_catalog_free(cw_catalog_t *catalog)
{
	if (!catalog)
		return;
	grouping_unref(catalog->grouping);
	vm_table_unref(catalog->vms);
	g_ptr_array_unref(catalog->layers);
	g_free(catalog);
}

/* Returns a copy that shares layers, VMs and groups with the original; either copies them on write. */
cw_catalog_t *cw_catalog_copy(const cw_catalog_t *catalog)
{
	cw_catalog_t *copy = g_new0(cw_catalog_t, 1);

	copy->version = catalog->version;
	copy->layers = g_ptr_array_new_with_free_func(layer_unref);
	for (size_t i = 0; i < catalog->layers->len; i++) {
		layer_t *layer = catalog->layers->pdata[i];

		g_ptr_array_add(copy->layers, layer ? layer_ref(layer) : NULL);
	}
	copy->vms = catalog->vms;
	g_atomic_ref_count_inc(&copy->vms->ref_count);
	copy->grouping = catalog->grouping;
	g_atomic_ref_count_inc(&copy->grouping->ref_count);
	return copy;
}

/* Returns the configuration version: that of the last content or VM applied. */
uint64_t cw_catalog_version(const cw_catalog_t *catalog)
{
	return catalog->version;
}

/* Returns the layer of a selector text and its slot; NULL when there is none. */
layer_t *catalog_find_layer(const cw_catalog_t *catalog, const char *text, size_t *slot)
{
	for (size_t i = 0; i < catalog->layers->len; i++) {
		layer_t *layer = catalog->layers->pdata[i];

		if (!layer || !g_str_equal(layer->text, text))
			continue;
		*slot = i;
		return layer;
	}
	return NULL;
}

/* Adds an empty layer in the first free slot; takes ownership of the selector. */
layer_t *catalog_add_layer(cw_catalog_t *catalog, const char *text, cw_selector_t *selector, size_t *slot)
{
	layer_t *layer = layer_new(text, selector);

	*slot = 0;
	while (*slot < catalog->layers->len && catalog->layers->pdata[*slot])
		(*slot)++;
	if (*slot == catalog->layers->len)
		g_ptr_array_add(catalog->layers, NULL);
	catalog->layers->pdata[*slot] = layer;
	catalog_update_layer_groups(catalog, (uint32_t)*slot, true);
	return layer;
}

/* Returns the layer of a slot to be modified; copies it first when another catalog shares it. */
static layer_t *writable_layer(cw_catalog_t *catalog, size_t slot)
{
	layer_t *layer = catalog->layers->pdata[slot];

	if (g_atomic_ref_count_compare(&layer->ref_count, 1))
		return layer;
	catalog->layers->pdata[slot] = layer_copy(layer);
	layer_unref(layer);
	return catalog->layers->pdata[slot];
}

/* Removes an entry, and its layer when that becomes empty. */
static void remove_entry(cw_catalog_t *catalog, size_t slot, section_kind_t kind, const char *name)
{
	layer_t *layer = writable_layer(catalog, slot);

	if (!layer_remove(layer, kind, name))
		return;
	catalog_update_layer_groups(catalog, (uint32_t)slot, false);
	catalog->layers->pdata[slot] = NULL;
	layer_unref(layer);
}

/* An entry, and the slot of the layer that has it. */
typedef struct {
	size_t slot;
	const entry_t *entry;
} slot_entry_t;

/* Returns the entries of a name in all layers, with their slots. */
static GArray *find_entries(const cw_catalog_t *catalog, section_kind_t kind, const char *name)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(slot_entry_t));

	for (size_t i = 0; i < catalog->layers->len; i++) {
		const layer_t *layer = catalog->layers->pdata[i];
		const slot_entry_t slot_entry = {.slot = i,
						 .entry = layer ? layer_entry(layer, kind, name) : NULL};

		if (slot_entry.entry)
			g_array_append_val(entries, slot_entry);
	}
	return entries;
}

/* Returns the newest version among the entries whose layer selects every VM; 0 when there is none. */
static uint64_t newest_version_for_all_vms(const cw_catalog_t *catalog, const GArray *entries)
{
	uint64_t newest = 0;

	for (guint i = 0; i < entries->len; i++) {
		const slot_entry_t *slot_entry = &g_array_index(entries, slot_entry_t, i);
		const layer_t *layer = catalog->layers->pdata[slot_entry->slot];

		if (selector_is_empty(layer->selector))
			newest = MAX(newest, slot_entry->entry->version);
	}
	return newest;
}

/* Returns the lowest version, from the given one on, of entries that set a section; UINT64_MAX if none. */
static uint64_t oldest_live_version(const GArray *entries, uint64_t from)
{
	uint64_t oldest = UINT64_MAX;

	for (guint i = 0; i < entries->len; i++) {
		const entry_t *entry = g_array_index(entries, slot_entry_t, i).entry;

		if (entry->version >= from && !section_is_removed(entry->section))
			oldest = MIN(oldest, entry->version);
	}
	return oldest;
}

/*
 * Removes the entries of a name that have no effect on any VM, whatever its
 * labels: those older than an entry that applies to every VM, and removals
 * without an older entry left to hide.
 */
static void prune_name(cw_catalog_t *catalog, section_kind_t kind, const char *name)
{
	GArray *entries = find_entries(catalog, kind, name);
	uint64_t hidden_below = newest_version_for_all_vms(catalog, entries);
	uint64_t oldest = oldest_live_version(entries, hidden_below);

	for (guint i = 0; i < entries->len; i++) {
		const slot_entry_t *slot_entry = &g_array_index(entries, slot_entry_t, i);
		uint64_t version = slot_entry->entry->version;

		if (version < hidden_below ||
		    (section_is_removed(slot_entry->entry->section) && version < oldest))
			remove_entry(catalog, slot_entry->slot, kind, name);
	}
	g_array_unref(entries);
}

/* Returns the slot of the layer of a selector text; adds the layer when there is none. */
static size_t ensure_layer(cw_catalog_t *catalog, const char *text)
{
	cw_selector_t *selector;
	size_t slot;

	if (catalog_find_layer(catalog, text, &slot))
		return slot;
	if (cw_selector_parse(text, &selector))
		g_error("a validated selector does not parse: %s", text);
	catalog_add_layer(catalog, text, selector, &slot);
	return slot;
}

/* Applies one validated section of the change of a number; the version must not be lower than the catalog's. */
void catalog_apply_section(cw_catalog_t *catalog, const char *selector, section_t section, uint64_t number,
			   uint64_t version)
{
	size_t slot = ensure_layer(catalog, selector);

	catalog->version = version;
	layer_put(writable_layer(catalog, slot), entry_new(section, version, number));
	prune_name(catalog, section.kind, section_name(section));
}

/* Applies the validated content of the change of a number; the version must be higher than the catalog's. */
void cw_catalog_apply(cw_catalog_t *catalog, const Caraway__Content *content, uint64_t number,
		      uint64_t version)
{
	section_cursor_t cursor = {0};
	section_t section;

	catalog->version = version;
	while (section_cursor_next(&cursor, content, &section))
		catalog_apply_section(catalog, content->selector, section, number, version);
}

/* Ends the sharing of layers with a catalog that this one was copied from and that has been freed. */
void catalog_settle(cw_catalog_t *catalog)
{
	for (size_t i = 0; i < catalog->layers->len; i++)
		if (catalog->layers->pdata[i])
			catalog->layers->pdata[i] = layer_settle(catalog->layers->pdata[i]);
}

/* Adds a VM or replaces the one of its name; the version must not be lower than the catalog's. */
void cw_catalog_set_vm(cw_catalog_t *catalog, const Caraway__Vm *vm, uint64_t version)
{
	vm_entry_t *entry = g_new0(vm_entry_t, 1);
	vm_table_t *table = catalog->vms;

	if (!g_atomic_ref_count_compare(&table->ref_count, 1)) {
		catalog->vms = vm_table_copy(table);
		vm_table_unref(table);
	}
	g_atomic_ref_count_init(&entry->ref_count);
	entry->vm = cw_message_copy(&vm->base);
	catalog_update_vm_group(catalog, cw_catalog_vm(catalog, vm->name), entry->vm);
	g_hash_table_replace(catalog->vms->by_name, entry->vm->name, entry);
	catalog->version = version;
}

/* Returns a VM by name, borrowed; NULL when there is none. */
const Caraway__Vm *cw_catalog_vm(const cw_catalog_t *catalog, const char *name)
{
	const vm_entry_t *entry = g_hash_table_lookup(catalog->vms->by_name, name);

	return entry ? entry->vm : NULL;
}

/* Returns the number of VMs. */
size_t catalog_vm_count(const cw_catalog_t *catalog)
{
	return g_hash_table_size(catalog->vms->by_name);
}

/* Orders VMs by name. */
static gint compare_vms(gconstpointer a, gconstpointer b)
{
	const Caraway__Vm *left = *(Caraway__Vm *const *)a;
	const Caraway__Vm *right = *(Caraway__Vm *const *)b;

	return g_strcmp0(left->name, right->name);
}

/* Returns every VM, borrowed, ordered by name; the caller frees the array. */
GPtrArray *cw_catalog_vms(const cw_catalog_t *catalog)
{
	GPtrArray *vms = g_ptr_array_sized_new(g_hash_table_size(catalog->vms->by_name));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, catalog->vms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(vms, ((vm_entry_t *)value)->vm);
	g_ptr_array_sort(vms, compare_vms);
	return vms;
}
