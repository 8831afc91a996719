/* The schedule: the accepted changes in the order in which they are due. */
#include "ledger.h"

/* Frees a selector of the schedule. */
static void selector_free(void *data)
{
	schedule_selector_t *selector = data;

	cw_selector_free(selector->selector);
	g_free(selector);
}

/* Returns a new, empty schedule. */
schedule_t *schedule_new(void)
{
	schedule_t *schedule = g_new0(schedule_t, 1);

	schedule->items = g_ptr_array_new_with_free_func(g_free);
	schedule->selectors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, selector_free);
	schedule->valid_vms =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
	schedule->definers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	schedule->referrers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	return schedule;
}

/* Frees a schedule; the ledger owns the changes. */
void schedule_free(schedule_t *schedule)
{
	g_ptr_array_unref(schedule->items);
	g_hash_table_destroy(schedule->selectors);
	g_hash_table_destroy(schedule->valid_vms);
	g_hash_table_destroy(schedule->definers);
	g_hash_table_destroy(schedule->referrers);
	g_free(schedule);
}

/* Returns the index key of a section's kind and name, freed by the caller. */
char *schedule_key(section_kind_t kind, const char *name)
{
	return g_strconcat(section_kind_keyword(kind), " ", name, NULL);
}

/* Adds an item to the list of a name, unless it was the last one added. */
static void index_add(GHashTable *index, section_kind_t kind, const char *name, schedule_item_t *item)
{
	char *key = schedule_key(kind, name);
	GPtrArray *list = g_hash_table_lookup(index, key);

	if (list) {
		g_free(key);
	} else {
		list = g_ptr_array_new();
		g_hash_table_insert(index, key, list);
	}
	if (!list->len || list->pdata[list->len - 1] != item)
		g_ptr_array_add(list, item);
}

/* Removes an item from the list of a name, and the list when it is empty. */
static void index_remove(GHashTable *index, section_kind_t kind, const char *name, schedule_item_t *item)
{
	char *key = schedule_key(kind, name);
	GPtrArray *list = g_hash_table_lookup(index, key);

	if (list) {
		g_ptr_array_remove(list, item);
		if (!list->len)
			g_hash_table_remove(index, key);
	}
	g_free(key);
}

/* index_add() or index_remove(). */
typedef void (*index_update_t)(GHashTable *index, section_kind_t kind, const char *name,
			       schedule_item_t *item);

/* Adds or removes an item under every name that its change sets or refers to. */
static void update_indexes(schedule_t *schedule, schedule_item_t *item, const Caraway__Content *content,
			   index_update_t update)
{
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		for (size_t i = 0; i < content_count(content, kind); i++) {
			section_t section = content_section(content, kind, i);

			update(schedule->definers, kind, section_name(section), item);
			if (section_is_removed(section))
				continue;
			for (size_t j = 0; section_service(section, j); j++)
				update(schedule->referrers, SECTION_SERVICE, section_service(section, j),
				       item);
			if (section_target(section))
				update(schedule->referrers, SECTION_TARGET, section_target(section), item);
		}
}

/* Orders items by effective due time, then by number. */
int schedule_item_compare(const schedule_item_t *left, const schedule_item_t *right)
{
	if (left->effective_due_ms != right->effective_due_ms)
		return left->effective_due_ms < right->effective_due_ms ? -1 : 1;
	if (left->change->number != right->change->number)
		return left->change->number < right->change->number ? -1 : 1;
	return 0;
}

/* Returns the position of an item, or the position to insert it at. */
static size_t find_position(const schedule_t *schedule, const schedule_item_t *item)
{
	size_t low = 0;
	size_t high = schedule->items->len;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (schedule_item_compare(schedule->items->pdata[middle], item) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns the parsed selector of a text, counting one more change that uses it. */
static const cw_selector_t *acquire_selector(schedule_t *schedule, const char *text)
{
	schedule_selector_t *selector = g_hash_table_lookup(schedule->selectors, text);

	if (!selector) {
		selector = g_new0(schedule_selector_t, 1);
		if (cw_selector_parse(text, &selector->selector))
			g_error("a validated selector does not parse: %s", text);
		g_hash_table_insert(schedule->selectors, g_strdup(text), selector);
	}
	selector->count++;
	return selector->selector;
}

/* Counts one change less that uses a selector, which is freed after its last use. */
static void release_selector(schedule_t *schedule, const char *text)
{
	schedule_selector_t *selector = g_hash_table_lookup(schedule->selectors, text);

	if (--selector->count == 0)
		g_hash_table_remove(schedule->selectors, text);
}

/* Adds a change; the pointer must stay valid until the change is removed. */
void schedule_add(schedule_t *schedule, const Caraway__Change *change, const Caraway__Content *content)
{
	schedule_item_t *item = g_new0(schedule_item_t, 1);

	item->change = change;
	item->effective_due_ms = change_effective_due_ms(change);
	item->selector = acquire_selector(schedule, content->selector);
	g_ptr_array_insert(schedule->items, (gint)find_position(schedule, item), item);
	update_indexes(schedule, item, content, index_add);
	g_hash_table_remove_all(schedule->valid_vms);
}

/* Removes a change; the content must be that with which it was added. */
void schedule_remove(schedule_t *schedule, const Caraway__Change *change, const Caraway__Content *content)
{
	const schedule_item_t search_key = {.change = change,
					    .effective_due_ms = change_effective_due_ms(change)};
	size_t position = find_position(schedule, &search_key);

	update_indexes(schedule, schedule->items->pdata[position], content, index_remove);
	g_ptr_array_remove_index(schedule->items, position);
	release_selector(schedule, content->selector);
	g_hash_table_remove_all(schedule->valid_vms);
}

/* Returns the item that is due first; NULL when there is none. */
const schedule_item_t *schedule_first(const schedule_t *schedule)
{
	return schedule->items->len ? schedule->items->pdata[0] : NULL;
}

/* Discards which VMs were found valid; for a change that comes into force without having been in the schedule. */
void schedule_forget_valid_vms(schedule_t *schedule)
{
	g_hash_table_remove_all(schedule->valid_vms);
}
