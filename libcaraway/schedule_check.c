/*
 * Checks that configurations are valid at a change's due time and after each
 * accepted change that is due later.
 *
 * A change can break only references from or to the names that it sets.  So
 * only the accepted changes that set such a name, or the name at the other end
 * of such a reference, are applied to a copy of the catalog, in due order.
 */
#include "ledger.h"

/* The change to check, the state to check it against, and what the check has gathered. */
typedef struct {
	const schedule_t *schedule;
	const cw_feed_t *feed;
	const cw_catalog_t *catalog;	 /* in force */
	const Caraway__Content *content; /* of the change to check */
	/* schedule_key() set: the names that the change sets, and those that refer or are referred to */
	GHashTable *related_names;
	GHashTable *contents; /* schedule_item_t -> Caraway__Content, cache */
} check_context_t;

/* Returns the content of an accepted change, borrowed. */
static const Caraway__Content *item_content(const check_context_t *context, const schedule_item_t *item)
{
	Caraway__Content *content = g_hash_table_lookup(context->contents, item);

	if (!content) {
		content = cw_feed_copy_staged_content(context->feed, item->change->number);
		g_hash_table_insert(context->contents, (gpointer)item, content);
	}
	return content;
}

/* Adds a name to the related ones. */
static void add_name(check_context_t *context, section_kind_t kind, const char *name)
{
	g_hash_table_add(context->related_names, schedule_key(kind, name));
}

/* Adds the names that a section refers to. */
static void add_references(check_context_t *context, section_t section)
{
	if (section_is_removed(section))
		return;
	for (size_t i = 0; section_service(section, i); i++)
		add_name(context, SECTION_SERVICE, section_service(section, i));
	if (section_target(section))
		add_name(context, SECTION_TARGET, section_target(section));
}

/* Returns whether a section refers to a name. */
static bool refers_to(section_t section, section_kind_t kind, const char *name)
{
	const char *service;

	if (kind == SECTION_TARGET)
		return section_target(section) && g_str_equal(section_target(section), name);
	for (size_t i = 0; kind == SECTION_SERVICE && (service = section_service(section, i)); i++)
		if (g_str_equal(service, name))
			return true;
	return false;
}

/* Adds the names at the other end of references from or to a name in the catalog. */
static void add_names_in_catalog(check_context_t *context, section_kind_t kind, const char *name)
{
	for (size_t i = 0; i < context->catalog->layers->len; i++) {
		const layer_t *layer = context->catalog->layers->pdata[i];
		const entry_t *entry = layer ? layer_entry(layer, kind, name) : NULL;
		g_autoptr(GPtrArray) referrers =
			layer ? layer_referrers(layer, kind, name) : g_ptr_array_new();

		if (entry)
			add_references(context, entry->section);
		for (size_t j = 0; j < referrers->len; j++) {
			section_t referrer = ((const entry_t *)referrers->pdata[j])->section;

			add_name(context, referrer.kind, section_name(referrer));
		}
	}
}

/* Adds the names at the other end of references from or to a name in a content. */
static void add_names_in_content(check_context_t *context, const Caraway__Content *content,
				 section_kind_t kind, const char *name)
{
	for (int other = 0; other < SECTION_KINDS; other++)
		for (size_t i = 0; i < content_count(content, other); i++) {
			section_t section = content_section(content, other, i);

			if (section.kind == kind && g_str_equal(section_name(section), name))
				add_references(context, section);
			if (refers_to(section, kind, name))
				add_name(context, section.kind, section_name(section));
		}
}

/* Adds the names at the other end of references from or to a name in accepted changes, found in an index. */
static void add_names_in_items(check_context_t *context, GHashTable *index, section_kind_t kind,
			       const char *name)
{
	char *key = schedule_key(kind, name);
	const GPtrArray *items = g_hash_table_lookup(index, key);

	g_free(key);
	for (size_t i = 0; items && i < items->len; i++) {
		const schedule_item_t *item = items->pdata[i];

		add_names_in_content(context, item_content(context, item), kind, name);
	}
}

/* Finds the names related to the change to check. */
static void find_related_names(check_context_t *context)
{
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		for (size_t i = 0; i < content_count(context->content, kind); i++) {
			section_t section = content_section(context->content, kind, i);
			const char *name = section_name(section);

			add_name(context, kind, name);
			add_references(context, section);
			add_names_in_catalog(context, kind, name);
			add_names_in_items(context, context->schedule->definers, kind, name);
			add_names_in_items(context, context->schedule->referrers, kind, name);
		}
}

/* Orders items as the schedule does. */
static gint compare_items(gconstpointer a, gconstpointer b)
{
	return schedule_item_compare(*(schedule_item_t *const *)a, *(schedule_item_t *const *)b);
}

/* Returns the accepted changes that set a related name, in due order. */
static GPtrArray *list_related_items(const check_context_t *context)
{
	GHashTable *found = g_hash_table_new(NULL, NULL);
	GPtrArray *items = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, context->related_names);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const GPtrArray *definers = g_hash_table_lookup(context->schedule->definers, key);

		for (size_t i = 0; definers && i < definers->len; i++)
			if (g_hash_table_add(found, definers->pdata[i]))
				g_ptr_array_add(items, definers->pdata[i]);
	}
	g_ptr_array_sort(items, compare_items);
	g_hash_table_destroy(found);
	return items;
}

/* Fails for an accepted change that would no longer pass the check; the last message becomes its reason. */
static cw_status_t fail_for_later_change(const Caraway__Change *later)
{
	char *reason = g_strdup(cw_last_error_message());

	cw_fail(CW_ERR_CHECK, "accepted change %" G_GUINT64_FORMAT " would then fail: %s", later->number,
		reason);
	g_free(reason);
	return CW_ERR_CHECK;
}

/* Applies a content to a catalog under the next version. */
static void apply_change(cw_catalog_t *catalog, const Caraway__Change *change,
			 const Caraway__Content *content)
{
	cw_catalog_apply(catalog, content, change->number, cw_catalog_version(catalog) + 1);
}

/* Applies an accepted change to a catalog under the next version. */
static void apply_item(const check_context_t *context, cw_catalog_t *catalog, const schedule_item_t *item)
{
	apply_change(catalog, item->change, item_content(context, item));
}

/*
 * Applies the related changes to a copy of the catalog in force and checks the
 * names of one change from its due time on, with that change or without it.
 */
static cw_status_t simulate_schedule(const check_context_t *context, const Caraway__Change *change,
				     bool with_change)
{
	const schedule_item_t checked_item = {.change = change,
					      .effective_due_ms = change_effective_due_ms(change)};
	cw_catalog_t *catalog = cw_catalog_copy(context->catalog);
	GPtrArray *items = list_related_items(context);
	cw_status_t status = CW_OK;
	size_t i = 0;

	for (; i < items->len && schedule_item_compare(items->pdata[i], &checked_item) < 0; i++)
		apply_item(context, catalog, items->pdata[i]);
	if (with_change) {
		apply_change(catalog, change, context->content);
		status = cw_catalog_check_content(catalog, context->content);
	}
	for (; i < items->len && !status; i++) {
		const schedule_item_t *later = items->pdata[i];

		if (later->change == change)
			continue;
		apply_item(context, catalog, later);
		if (cw_catalog_check_content(catalog, context->content))
			status = fail_for_later_change(later->change);
	}
	g_ptr_array_unref(items);
	cw_catalog_free(catalog);
	return status;
}

/* Checks the schedule with a change, or without it. */
static cw_status_t check_schedule(const schedule_t *schedule, const cw_feed_t *feed,
				  const Caraway__Change *change, const Caraway__Content *content,
				  bool with_change)
{
	check_context_t context = {
		.schedule = schedule, .feed = feed, .catalog = cw_feed_catalog(feed), .content = content};
	cw_status_t status;

	context.related_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	context.contents = g_hash_table_new_full(NULL, NULL, NULL, cw_message_free);
	find_related_names(&context);
	status = simulate_schedule(&context, change, with_change);
	g_hash_table_destroy(context.related_names);
	g_hash_table_destroy(context.contents);
	return status;
}

/*
 * Checks a change that is not in the schedule at its due time, and every
 * accepted change that is due after it; CW_ERR_CHECK.
 */
cw_status_t schedule_check_add(const schedule_t *schedule, const cw_feed_t *feed,
			       const Caraway__Change *change, const Caraway__Content *content)
{
	return check_schedule(schedule, feed, change, content, true);
}

/* Checks that the accepted changes after one of the schedule are valid without it; CW_ERR_CHECK. */
cw_status_t schedule_check_remove(const schedule_t *schedule, const cw_feed_t *feed,
				  const Caraway__Change *change, const Caraway__Content *content)
{
	return check_schedule(schedule, feed, change, content, false);
}

/* Applies an accepted change to a catalog and checks its names for a VM; CW_ERR_CHECK. */
static cw_status_t apply_and_check_vm(cw_catalog_t *catalog, const cw_feed_t *feed,
				      const Caraway__Change *change, const Caraway__Vm *vm)
{
	Caraway__Content *content = cw_feed_copy_staged_content(feed, change->number);
	cw_status_t status;

	apply_change(catalog, change, content);
	status = catalog_check_content_vm(catalog, content, vm);
	cw_message_free(content);
	return status ? fail_for_later_change(change) : CW_OK;
}

/* Checks a VM's configuration now and after each accepted change; CW_ERR_CHECK. */
static cw_status_t simulate_vm(const schedule_t *schedule, const cw_feed_t *feed, const Caraway__Vm *vm)
{
	const cw_catalog_t *catalog = cw_feed_catalog(feed);
	cw_status_t status = cw_catalog_check_vm(catalog, vm);
	cw_catalog_t *copy;

	if (status)
		return status;
	copy = cw_catalog_copy(catalog);
	for (size_t i = 0; i < schedule->items->len && !status; i++) {
		const schedule_item_t *item = schedule->items->pdata[i];

		if (cw_selector_match(item->selector, vm))
			status = apply_and_check_vm(copy, feed, item->change, vm);
	}
	cw_catalog_free(copy);
	return status;
}

/*
 * Returns a key that is equal for VMs with the same check result: the slots of
 * the layers that select the VM, then for each selector of the schedule whether
 * it does.  The order of the selectors is the hash table's, which stays the same
 * until the schedule changes.
 */
static GBytes *vm_check_key(const schedule_t *schedule, const cw_catalog_t *catalog, const Caraway__Vm *vm)
{
	GBytes *layers = catalog_group_key(catalog, vm);
	gsize length;
	const void *data = g_bytes_get_data(layers, &length);
	GByteArray *key = g_byte_array_new();
	GHashTableIter iter;
	gpointer selector;

	g_byte_array_append(key, data, (guint)length);
	g_bytes_unref(layers);
	g_hash_table_iter_init(&iter, schedule->selectors);
	while (g_hash_table_iter_next(&iter, NULL, &selector)) {
		guint8 selects = cw_selector_match(((schedule_selector_t *)selector)->selector, vm);

		g_byte_array_append(key, &selects, 1);
	}
	return g_byte_array_free_to_bytes(key);
}

/*
 * Checks the configuration that a new or altered VM would have, now and after
 * each accepted change; CW_ERR_CHECK.  VMs that the same selectors select are
 * checked once until the schedule changes.  That covers the catalog too: a
 * change that comes into force leaves the schedule.
 */
cw_status_t schedule_check_vm(const schedule_t *schedule, const cw_feed_t *feed, const Caraway__Vm *vm)
{
	GBytes *key = vm_check_key(schedule, cw_feed_catalog(feed), vm);
	cw_status_t status = CW_OK;

	if (!g_hash_table_contains(schedule->valid_vms, key))
		status = simulate_vm(schedule, feed, vm);
	if (status)
		g_bytes_unref(key);
	else
		g_hash_table_add(schedule->valid_vms, key);
	return status;
}
