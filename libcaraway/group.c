/* Groups of VMs that the same layers select, and that therefore hold the same configuration. */
#include "catalog.h"

/* Frees a group. */
static void group_free(void *data)
{
	group_t *group = data;

	g_bytes_unref(group->key);
	g_free(group);
}

/* Returns the slots of the layers that select a VM, as a key of its group. */
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

/* Counts a VM in the group of its key. */
static void count_vm(GHashTable *groups, GBytes *key)
{
	group_t *group = g_hash_table_lookup(groups, key);

	if (!group) {
		group = g_new0(group_t, 1);
		group->key = g_bytes_ref(key);
		g_hash_table_insert(groups, group->key, group);
	}
	group->vm_count++;
}

/* Returns the groups, GBytes -> group_t, made on the first call after a layer came or went. */
GHashTable *catalog_groups(const cw_catalog_t *catalog)
{
	grouping_t *grouping = catalog->grouping;
	GHashTableIter iter;
	gpointer value;

	if (grouping->by_key)
		return grouping->by_key;
	grouping->by_key = g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL, group_free);
	g_hash_table_iter_init(&iter, catalog->vms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GBytes *key = catalog_group_key(catalog, ((vm_entry_t *)value)->vm);

		count_vm(grouping->by_key, key);
		g_bytes_unref(key);
	}
	return grouping->by_key;
}

/* Returns groups that are to be made when wanted. */
grouping_t *grouping_new(void)
{
	grouping_t *grouping = g_new0(grouping_t, 1);

	g_atomic_ref_count_init(&grouping->references);
	return grouping;
}

/* Gives a reference to groups back. */
void grouping_release(grouping_t *grouping)
{
	if (!g_atomic_ref_count_dec(&grouping->references))
		return;
	if (grouping->by_key)
		g_hash_table_destroy(grouping->by_key);
	g_free(grouping);
}

/* Drops the groups, after a layer came or went. */
void catalog_forget_groups(cw_catalog_t *catalog)
{
	grouping_release(catalog->grouping);
	catalog->grouping = grouping_new();
}

/* Takes a VM out of its group. */
static void leave_group(const cw_catalog_t *catalog, GHashTable *groups, const Caraway__Vm *vm)
{
	GBytes *key = catalog_group_key(catalog, vm);
	group_t *group = g_hash_table_lookup(groups, key);

	if (--group->vm_count == 0)
		g_hash_table_remove(groups, key);
	g_bytes_unref(key);
}

/* Keeps the groups right when a VM comes (from is NULL) or its labels change. */
void catalog_move_vm(cw_catalog_t *catalog, const Caraway__Vm *from, const Caraway__Vm *to)
{
	GHashTable *groups;
	GBytes *key;

	if (!g_atomic_ref_count_compare(&catalog->grouping->references, 1))
		catalog_forget_groups(catalog);
	groups = catalog->grouping->by_key;
	if (!groups)
		return;
	if (from)
		leave_group(catalog, groups, from);
	key = catalog_group_key(catalog, to);
	count_vm(groups, key);
	g_bytes_unref(key);
}
