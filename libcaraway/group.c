/* Groups of VMs that the same layers select, and that therefore have the same configuration. */
#include "catalog.h"

/* Frees a group. */
static void group_free(void *data)
{
	group_t *group = data;

	g_bytes_unref(group->key);
	g_free(group);
}

/* Returns the key of a VM's group: the slots of the layers that select the VM. */
GBytes *catalog_group_key(const cw_catalog_t *catalog, const Caraway__Vm *vm)
{
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	size_t length;

	for (uint32_t i = 0; i < catalog->layers->len; i++) {
		const layer_t *layer = catalog->layers->pdata[i];

		if (layer && cw_selector_match(layer->selector, vm))
			g_array_append_val(slots, i);
	}
	length = slots->len * sizeof(uint32_t);
	return g_bytes_new_take(g_array_free(slots, FALSE), length);
}

/* Returns an empty table of groups. */
static GHashTable *group_table_new(void)
{
	return g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL, group_free);
}

/* Adds VMs to the group of a key. */
static void add_vms(GHashTable *groups, GBytes *key, size_t count)
{
	group_t *group = g_hash_table_lookup(groups, key);

	if (!group) {
		group = g_new0(group_t, 1);
		group->key = g_bytes_ref(key);
		g_hash_table_insert(groups, group->key, group);
	}
	group->vm_count += count;
}

/* Returns the groups, GBytes -> group_t, built on the first call and kept up to date from then on. */
GHashTable *catalog_groups(const cw_catalog_t *catalog)
{
	grouping_t *grouping = catalog->grouping;
	GHashTableIter iter;
	gpointer value;

	if (grouping->by_key)
		return grouping->by_key;
	grouping->by_key = group_table_new();
	g_hash_table_iter_init(&iter, catalog->vms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GBytes *key = catalog_group_key(catalog, ((vm_entry_t *)value)->vm);

		add_vms(grouping->by_key, key, 1);
		g_bytes_unref(key);
	}
	return grouping->by_key;
}

/* Returns a grouping whose groups catalog_groups() builds. */
grouping_t *grouping_new(void)
{
	grouping_t *grouping = g_new0(grouping_t, 1);

	g_atomic_ref_count_init(&grouping->ref_count);
	return grouping;
}

/* Drops a reference to a grouping. */
void grouping_unref(grouping_t *grouping)
{
	if (!g_atomic_ref_count_dec(&grouping->ref_count))
		return;
	if (grouping->by_key)
		g_hash_table_destroy(grouping->by_key);
	g_free(grouping);
}

/* Copies a catalog's groups if another catalog shares them; returns whether they have been built. */
static bool unshare_groups(cw_catalog_t *catalog)
{
	grouping_t *shared = catalog->grouping;
	GHashTableIter iter;
	gpointer value;

	if (g_atomic_ref_count_compare(&shared->ref_count, 1))
		return shared->by_key != NULL;
	catalog->grouping = grouping_new();
	if (!shared->by_key) {
		grouping_unref(shared);
		return false;
	}
	catalog->grouping->by_key = group_table_new();
	g_hash_table_iter_init(&iter, shared->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const group_t *group = value;

		add_vms(catalog->grouping->by_key, group->key, group->vm_count);
	}
	grouping_unref(shared);
	return true;
}

/* Removes a VM from the group of a key, and the group with its last VM. */
static void remove_vm(GHashTable *groups, GBytes *key)
{
	group_t *group = g_hash_table_lookup(groups, key);

	if (--group->vm_count == 0)
		g_hash_table_remove(groups, key);
}

/* Updates the groups when a VM is added (from is NULL) or altered. */
void catalog_update_vm_group(cw_catalog_t *catalog, const Caraway__Vm *from, const Caraway__Vm *to)
{
	GBytes *key;

	if (!unshare_groups(catalog))
		return;
	if (from) {
		key = catalog_group_key(catalog, from);
		remove_vm(catalog->grouping->by_key, key);
		g_bytes_unref(key);
	}
	key = catalog_group_key(catalog, to);
	add_vms(catalog->grouping->by_key, key, 1);
	g_bytes_unref(key);
}

/* Returns a group's key without a slot. */
static GBytes *key_without_slot(GBytes *key, uint32_t slot)
{
	gsize length;
	const uint32_t *slots = g_bytes_get_data(key, &length);
	GArray *remaining = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (size_t i = 0; i < length / sizeof(*slots); i++)
		if (slots[i] != slot)
			g_array_append_val(remaining, slots[i]);
	length = remaining->len * sizeof(uint32_t);
	return g_bytes_new_take(g_array_free(remaining, FALSE), length);
}

/*
 * Updates the groups for a layer that was just added or is about to be removed:
 * only the VMs that it selects change their group.
 */
void catalog_update_layer_groups(cw_catalog_t *catalog, uint32_t slot, bool added)
{
	const layer_t *layer = catalog->layers->pdata[slot];
	GHashTableIter iter;
	gpointer value;

	if (!unshare_groups(catalog))
		return;
	g_hash_table_iter_init(&iter, catalog->vms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const Caraway__Vm *vm = ((vm_entry_t *)value)->vm;
		GBytes *key_with;
		GBytes *key_without;

		if (!cw_selector_match(layer->selector, vm))
			continue;
		key_with = catalog_group_key(catalog, vm);
		key_without = key_without_slot(key_with, slot);
		remove_vm(catalog->grouping->by_key, added ? key_without : key_with);
		add_vms(catalog->grouping->by_key, added ? key_with : key_without, 1);
		g_bytes_unref(key_with);
		g_bytes_unref(key_without);
	}
}
