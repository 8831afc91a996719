/* Reference check: on every VM, the services and targets that sections refer to must be configured. */
#include "catalog.h"

#include <string.h>

/* Frees a reference error; NULL is allowed. */
static void reference_error_free(void *data)
{
	reference_error_t *error = data;

	if (!error)
		return;
	g_free(error->name);
	g_free(error->message);
	g_free(error);
}

/* Fills a layer set with the layers of a group's key. */
static void layer_set_init(layer_set_t *set, const cw_catalog_t *catalog, GBytes *key)
{
	gsize length;
	const uint32_t *slots = g_bytes_get_data(key, &length);

	set->count = length / sizeof(*slots);
	set->layers = g_new(layer_t *, set->count + 1);
	for (size_t i = 0; i < set->count; i++)
		set->layers[i] = catalog->layers->pdata[slots[i]];
}

/* Frees the array of a layer set. */
static void layer_set_clear(layer_set_t *set)
{
	g_clear_pointer(&set->layers, g_free);
}

/* Returns the newest entry of a name in a layer set; NULL when there is none or it is a removal. */
static const entry_t *effective_entry(const layer_set_t *set, section_kind_t kind, const char *name)
{
	const entry_t *newest = NULL;

	for (size_t i = 0; i < set->count; i++) {
		const entry_t *entry = layer_entry(set->layers[i], kind, name);

		if (entry && (!newest || entry->version > newest->version))
			newest = entry;
	}
	return newest && !section_is_removed(newest->section) ? newest : NULL;
}

/*
 * Records that a section lacks a service or target, unless the error found so
 * far is of an earlier section by kind and name: every replica must report the
 * same error, whatever the order of its hash tables.
 */
static void record_error(reference_error_t **first, section_t section, const char *missing, const char *name)
{
	reference_error_t *error;

	if (*first && ((*first)->kind < section.kind || ((*first)->kind == section.kind &&
							 strcmp((*first)->name, section_name(section)) <= 0)))
		return;
	error = g_new0(reference_error_t, 1);
	error->kind = section.kind;
	error->name = g_strdup(section_name(section));
	error->message = g_strdup_printf("%s %s would lack %s %s", section_kind_keyword(section.kind),
					 section_name(section), missing, name);
	reference_error_free(*first);
	*first = error;
}

/* Checks the services and the target that one section refers to. */
static void check_section(const layer_set_t *set, section_t section, reference_error_t **first)
{
	const char *target = section_target(section);
	const char *service;
	const entry_t *entry;

	for (size_t i = 0; (service = section_service(section, i)); i++)
		if (!effective_entry(set, SECTION_SERVICE, service))
			record_error(first, section, "service", service);
	if (!target)
		return;
	entry = effective_entry(set, SECTION_TARGET, target);
	if (!entry)
		record_error(first, section, "target", target);
	else if (strcmp(section_service(entry->section, 0), section_service(section, 0)) != 0)
		record_error(first, section, "a target of its service named", target);
}

/* Checks the sections in use by a group that refer to a name. */
static void check_referrers(const layer_set_t *set, section_kind_t kind, const char *name,
			    reference_error_t **first)
{
	for (size_t i = 0; i < set->count; i++) {
		g_autoptr(GPtrArray) referrers = layer_referrers(set->layers[i], kind, name);

		for (size_t j = 0; j < referrers->len; j++) {
			const entry_t *referrer = referrers->pdata[j];
			const char *referrer_name = section_name(referrer->section);

			if (effective_entry(set, referrer->section.kind, referrer_name) == referrer)
				check_section(set, referrer->section, first);
		}
	}
}

/*
 * Checks the references from and to the section of one name in a group.  A
 * service breaks those who refer to it only when it is missing, a target also
 * when it belongs to another service now.
 */
static void check_name(const layer_set_t *set, section_kind_t kind, const char *name,
		       reference_error_t **first)
{
	const entry_t *entry = effective_entry(set, kind, name);

	if (entry)
		check_section(set, entry->section, first);
	if (kind == SECTION_TARGET || (kind == SECTION_SERVICE && !entry))
		check_referrers(set, kind, name, first);
}

/* Checks the references from and to the sections of a content in a group. */
static void check_content_sections(const layer_set_t *set, const Caraway__Content *content,
				   reference_error_t **first)
{
	section_cursor_t cursor = {0};
	section_t section;

	while (section_cursor_next(&cursor, content, &section))
		check_name(set, section.kind, section_name(section), first);
}

/* Checks every section in use by a group, apart from services, which refer to nothing. */
static void check_all_sections(const layer_set_t *set, reference_error_t **first)
{
	for (size_t i = 0; i < set->count; i++)
		for (int kind = SECTION_ROUTE; kind < SECTION_KINDS; kind++) {
			layer_iter_t iter;
			const entry_t *entry;

			layer_iter_init(&iter, set->layers[i], kind);
			while ((entry = layer_iter_next(&iter)))
				if (effective_entry(set, kind, section_name(entry->section)) == entry)
					check_section(set, entry->section, first);
		}
}

/* Checks one group for the sections of a content, or (NULL) all of it; returns its first error or NULL. */
static reference_error_t *check_group(const cw_catalog_t *catalog, GBytes *key,
				      const Caraway__Content *content)
{
	reference_error_t *first = NULL;
	layer_set_t set;

	layer_set_init(&set, catalog, key);
	if (content)
		check_content_sections(&set, content, &first);
	else
		check_all_sections(&set, &first);
	layer_set_clear(&set);
	return first;
}

/* Fails with the error of the first VM, by name, that is in a group with an error. */
static cw_status_t fail_for_first_vm(const cw_catalog_t *catalog, GHashTable *errors)
{
	GPtrArray *vms = cw_catalog_vms(catalog);
	cw_status_t status = CW_OK;

	for (size_t i = 0; i < vms->len && !status; i++) {
		const Caraway__Vm *vm = vms->pdata[i];
		GBytes *key = catalog_group_key(catalog, vm);
		const reference_error_t *error = g_hash_table_lookup(errors, key);

		if (error)
			status = cw_fail(CW_ERR_CHECK, "proxy %s: %s", vm->name, error->message);
		g_bytes_unref(key);
	}
	g_ptr_array_unref(vms);
	return status;
}

/* Returns whether a group's key contains a slot. */
static bool key_has_slot(GBytes *key, size_t slot)
{
	gsize length;
	const uint32_t *slots = g_bytes_get_data(key, &length);

	for (size_t i = 0; i < length / sizeof(*slots); i++)
		if (slots[i] == slot)
			return true;
	return false;
}

/* Returns the keys of the groups with a layer's slot, or of all groups; borrowed. */
static GPtrArray *group_keys(const cw_catalog_t *catalog, bool all, size_t slot)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, catalog_groups(catalog));
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (all || key_has_slot(key, slot))
			g_ptr_array_add(keys, key);
	return keys;
}

/*
 * Begins to check each group that a content may affect: the groups of its
 * selector's layer, or every group when there is none, as after pruning.  The catalog
 * and the content must outlast the check unaltered.
 */
void reference_check_init(reference_check_t *check, const cw_catalog_t *catalog,
			  const Caraway__Content *content)
{
	size_t slot = 0;
	bool all = !catalog_find_layer(catalog, content->selector, &slot);

	*check = (reference_check_t){.catalog = catalog, .content = content};
	check->keys = group_keys(catalog, all, slot);
	check->errors = g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL, reference_error_free);
}

/* Checks further sections of the present group; returns whether all were checked. */
static bool check_present_group(reference_check_t *check, size_t *budget)
{
	while (*budget) {
		section_t section;

		if (!section_cursor_next(&check->cursor, check->content, &section))
			return true;
		--*budget;
		check_name(&check->set, section.kind, section_name(section), &check->error);
	}
	return false;
}

/* Checks further sections of further groups while *budget lasts; returns whether all were checked. */
bool reference_check_continue(reference_check_t *check, size_t *budget)
{
	for (; check->next < check->keys->len; check->next++) {
		GBytes *key = check->keys->pdata[check->next];

		if (!check->set.layers)
			layer_set_init(&check->set, check->catalog, key);
		if (!check_present_group(check, budget))
			return false;
		layer_set_clear(&check->set);
		if (check->error)
			g_hash_table_insert(check->errors, key, g_steal_pointer(&check->error));
		check->cursor = (section_cursor_t){0};
	}
	return true;
}

/* Returns the outcome of a check that has ended, or gives up one that has not; frees what it refers to. */
cw_status_t reference_check_finish(reference_check_t *check)
{
	cw_status_t status = CW_OK;

	if (g_hash_table_size(check->errors))
		status = fail_for_first_vm(check->catalog, check->errors);
	layer_set_clear(&check->set);
	reference_error_free(check->error);
	g_hash_table_destroy(check->errors);
	g_ptr_array_unref(check->keys);
	return status;
}

/* Checks every group. */
static cw_status_t check_all_groups(const cw_catalog_t *catalog)
{
	GHashTable *errors = g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL, reference_error_free);
	g_autoptr(GPtrArray) keys = group_keys(catalog, true, 0);
	cw_status_t status = CW_OK;

	for (guint i = 0; i < keys->len; i++) {
		reference_error_t *error = check_group(catalog, keys->pdata[i], NULL);

		if (error)
			g_hash_table_insert(errors, keys->pdata[i], error);
	}
	if (g_hash_table_size(errors))
		status = fail_for_first_vm(catalog, errors);
	g_hash_table_destroy(errors);
	return status;
}

/*
 * Checks all references of every VM of the catalog.  Fails with CW_ERR_CHECK,
 * naming the proxy, the route or target and the name that it refers to.
 */
cw_status_t cw_catalog_check(const cw_catalog_t *catalog)
{
	return check_all_groups(catalog);
}

/*
 * Checks, on every VM, the references from and to the sections of a content
 * that has been applied.  If the catalog passed the check before, this finds
 * what cw_catalog_check() would find, in time that depends on the content's
 * size.
 */
cw_status_t cw_catalog_check_content(const cw_catalog_t *catalog, const Caraway__Content *content)
{
	size_t budget = SIZE_MAX;
	reference_check_t check;

	reference_check_init(&check, catalog, content);
	reference_check_continue(&check, &budget);
	return reference_check_finish(&check);
}

/* Checks one VM, which need not be in the catalog, for the sections of a content or (NULL) all of it. */
static cw_status_t check_vm(const cw_catalog_t *catalog, const Caraway__Content *content,
			    const Caraway__Vm *vm)
{
	GBytes *key = catalog_group_key(catalog, vm);
	reference_error_t *error = check_group(catalog, key, content);
	cw_status_t status = CW_OK;

	if (error)
		status = cw_fail(CW_ERR_CHECK, "proxy %s: %s", vm->name, error->message);
	reference_error_free(error);
	g_bytes_unref(key);
	return status;
}

/* Checks all references of one VM, which need not be in the catalog; CW_ERR_CHECK. */
cw_status_t cw_catalog_check_vm(const cw_catalog_t *catalog, const Caraway__Vm *vm)
{
	return check_vm(catalog, NULL, vm);
}

/* Checks the references from and to the sections of a content on one VM; CW_ERR_CHECK. */
cw_status_t catalog_check_content_vm(const cw_catalog_t *catalog, const Caraway__Content *content,
				     const Caraway__Vm *vm)
{
	return check_vm(catalog, content, vm);
}
