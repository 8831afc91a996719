/* Saving the catalog as a message, and loading it with every field validated. */
#include "catalog.h"

/* Returns a layer's entries of a kind, borrowed, ordered by name. */
static GPtrArray *sorted_entries(const layer_t *layer, section_kind_t kind)
{
	GPtrArray *entries = g_ptr_array_new();
	layer_iter_t iter;
	const entry_t *entry;

	layer_iter_init(&iter, layer, kind);
	while ((entry = layer_iter_next(&iter)))
		g_ptr_array_add(entries, (gpointer)entry);
	entries_sort(entries);
	return entries;
}

/* Fills in the services of a saved layer. */
static void save_services(const layer_t *layer, Caraway__Layer *saved)
{
	GPtrArray *entries = sorted_entries(layer, SECTION_SERVICE);

	saved->n_services = entries->len;
	saved->services = cw_message_array(entries->len);
	for (size_t i = 0; i < entries->len; i++) {
		const entry_t *entry = entries->pdata[i];
		Caraway__LayerService *item = malloc(sizeof(*item));

		caraway__layer_service__init(item);
		item->version = entry->version;
		item->number = entry->number;
		item->service = cw_message_copy(entry->section.message);
		saved->services[i] = item;
	}
	g_ptr_array_unref(entries);
}

/* Fills in the routes of a saved layer. */
static void save_routes(const layer_t *layer, Caraway__Layer *saved)
{
	GPtrArray *entries = sorted_entries(layer, SECTION_ROUTE);

	saved->n_routes = entries->len;
	saved->routes = cw_message_array(entries->len);
	for (size_t i = 0; i < entries->len; i++) {
		const entry_t *entry = entries->pdata[i];
		Caraway__LayerRoute *item = malloc(sizeof(*item));

		caraway__layer_route__init(item);
		item->version = entry->version;
		item->number = entry->number;
		item->route = cw_message_copy(entry->section.message);
		saved->routes[i] = item;
	}
	g_ptr_array_unref(entries);
}

/* Fills in the targets of a saved layer. */
static void save_targets(const layer_t *layer, Caraway__Layer *saved)
{
	GPtrArray *entries = sorted_entries(layer, SECTION_TARGET);

	saved->n_targets = entries->len;
	saved->targets = cw_message_array(entries->len);
	for (size_t i = 0; i < entries->len; i++) {
		const entry_t *entry = entries->pdata[i];
		Caraway__LayerTarget *item = malloc(sizeof(*item));

		caraway__layer_target__init(item);
		item->version = entry->version;
		item->number = entry->number;
		item->target = cw_message_copy(entry->section.message);
		saved->targets[i] = item;
	}
	g_ptr_array_unref(entries);
}

/* Fills in the limits of a saved layer. */
static void save_limits(const layer_t *layer, Caraway__Layer *saved)
{
	GPtrArray *entries = sorted_entries(layer, SECTION_LIMITS);

	saved->n_limits = entries->len;
	saved->limits = cw_message_array(entries->len);
	for (size_t i = 0; i < entries->len; i++) {
		const entry_t *entry = entries->pdata[i];
		Caraway__LayerLimits *item = malloc(sizeof(*item));

		caraway__layer_limits__init(item);
		item->version = entry->version;
		item->number = entry->number;
		item->limits = cw_message_copy(entry->section.message);
		saved->limits[i] = item;
	}
	g_ptr_array_unref(entries);
}

/* Fills in the accounts of a saved layer. */
static void save_accounts(const layer_t *layer, Caraway__Layer *saved)
{
	GPtrArray *entries = sorted_entries(layer, SECTION_ACCOUNT);

	saved->n_accounts = entries->len;
	saved->accounts = cw_message_array(entries->len);
	for (size_t i = 0; i < entries->len; i++) {
		const entry_t *entry = entries->pdata[i];
		Caraway__LayerAccount *item = malloc(sizeof(*item));

		caraway__layer_account__init(item);
		item->version = entry->version;
		item->number = entry->number;
		item->account = cw_message_copy(entry->section.message);
		saved->accounts[i] = item;
	}
	g_ptr_array_unref(entries);
}

/* Returns a layer as a message. */
static Caraway__Layer *save_layer(const layer_t *layer)
{
	Caraway__Layer *saved = malloc(sizeof(*saved));

	caraway__layer__init(saved);
	saved->selector = strdup(layer->text);
	save_services(layer, saved);
	save_routes(layer, saved);
	save_targets(layer, saved);
	save_limits(layer, saved);
	save_accounts(layer, saved);
	return saved;
}

/* Orders layers by selector text. */
static gint compare_layers(gconstpointer a, gconstpointer b)
{
	const layer_t *left = *(layer_t *const *)a;
	const layer_t *right = *(layer_t *const *)b;

	return g_strcmp0(left->text, right->text);
}

/* Fills in the layers of a saved catalog, ordered by selector text. */
static void save_layers(const cw_catalog_t *catalog, Caraway__Catalog *saved)
{
	GPtrArray *layers = g_ptr_array_new();

	for (size_t i = 0; i < catalog->layers->len; i++)
		if (catalog->layers->pdata[i])
			g_ptr_array_add(layers, catalog->layers->pdata[i]);
	g_ptr_array_sort(layers, compare_layers);
	saved->n_layers = layers->len;
	saved->layers = cw_message_array(layers->len);
	for (size_t i = 0; i < layers->len; i++)
		saved->layers[i] = save_layer(layers->pdata[i]);
	g_ptr_array_unref(layers);
}

/*
 * Returns the catalog as a message, freed with cw_message_free().  Equal
 * catalogs give equal messages, whatever their history.
 */
Caraway__Catalog *cw_catalog_save(const cw_catalog_t *catalog)
{
	Caraway__Catalog *saved = malloc(sizeof(*saved));
	GPtrArray *vms = cw_catalog_vms(catalog);

	caraway__catalog__init(saved);
	saved->version = catalog->version;
	save_layers(catalog, saved);
	saved->n_vms = vms->len;
	saved->vms = cw_message_array(vms->len);
	for (size_t i = 0; i < vms->len; i++)
		saved->vms[i] = cw_message_copy(&((Caraway__Vm *)vms->pdata[i])->base);
	g_ptr_array_unref(vms);
	return saved;
}

/*
 * Adds one saved section to a layer; CW_ERR_DECODE when it is not valid, its
 * version is above newest, the catalog's, or its name appears twice.
 */
static cw_status_t load_section(layer_t *layer, section_t section, uint64_t version, uint64_t number,
				uint64_t newest)
{
	if (!section.message || version > newest || section_check(section))
		return cw_fail(CW_ERR_DECODE, "catalog: a %s is not valid",
			       section_kind_keyword(section.kind));
	if (layer_entry(layer, section.kind, section_name(section)))
		return cw_fail(CW_ERR_DECODE, "catalog: a %s appears twice",
			       section_kind_keyword(section.kind));
	layer_put(layer, entry_new(section, version, number));
	return CW_OK;
}

/* Adds the sections of a saved layer to a layer. */
static cw_status_t load_sections(layer_t *layer, const Caraway__Layer *saved, uint64_t newest)
{
	cw_status_t status = CW_OK;

	for (size_t i = 0; i < saved->n_services && !status; i++) {
		const Caraway__LayerService *item = saved->services[i];
		section_t section = {.kind = SECTION_SERVICE, .service = item->service};

		status = load_section(layer, section, item->version, item->number, newest);
	}
	for (size_t i = 0; i < saved->n_routes && !status; i++) {
		const Caraway__LayerRoute *item = saved->routes[i];
		section_t section = {.kind = SECTION_ROUTE, .route = item->route};

		status = load_section(layer, section, item->version, item->number, newest);
	}
	for (size_t i = 0; i < saved->n_targets && !status; i++) {
		const Caraway__LayerTarget *item = saved->targets[i];
		section_t section = {.kind = SECTION_TARGET, .target = item->target};

		status = load_section(layer, section, item->version, item->number, newest);
	}
	for (size_t i = 0; i < saved->n_limits && !status; i++) {
		const Caraway__LayerLimits *item = saved->limits[i];
		section_t section = {.kind = SECTION_LIMITS, .limits = item->limits};

		status = load_section(layer, section, item->version, item->number, newest);
	}
	for (size_t i = 0; i < saved->n_accounts && !status; i++) {
		const Caraway__LayerAccount *item = saved->accounts[i];
		section_t section = {.kind = SECTION_ACCOUNT, .account = item->account};

		status = load_section(layer, section, item->version, item->number, newest);
	}
	return status;
}

/* Adds a saved layer; CW_ERR_DECODE when its selector is invalid or appears twice, or it has no sections. */
static cw_status_t load_layer(cw_catalog_t *catalog, const Caraway__Layer *saved)
{
	cw_selector_t *selector;
	size_t slot;

	if (catalog_find_layer(catalog, saved->selector, &slot))
		return cw_fail(CW_ERR_DECODE, "catalog: a selector appears twice");
	if (saved->n_services + saved->n_routes + saved->n_targets + saved->n_limits + saved->n_accounts == 0)
		return cw_fail(CW_ERR_DECODE, "catalog: a selector has no sections");
	if (cw_selector_parse(saved->selector, &selector))
		return CW_ERR_DECODE;
	return load_sections(catalog_add_layer(catalog, saved->selector, selector, &slot), saved,
			     catalog->version);
}

/* Adds a saved VM; CW_ERR_DECODE when it is not valid or its name appears twice. */
static cw_status_t load_vm(cw_catalog_t *catalog, const Caraway__Vm *vm)
{
	if (cw_vm_check(vm))
		return CW_ERR_DECODE;
	if (cw_catalog_vm(catalog, vm->name))
		return cw_fail(CW_ERR_DECODE, "catalog: VM %s appears twice", vm->name);
	cw_catalog_set_vm(catalog, vm, catalog->version);
	return CW_OK;
}

/*
 * Creates a catalog from a message.  Fails with CW_ERR_DECODE when a field is
 * not one that cw_catalog_save() could have written.
 */
cw_status_t cw_catalog_load(const Caraway__Catalog *saved, cw_catalog_t **catalog)
{
	cw_catalog_t *loaded = cw_catalog_new();
	cw_status_t status = CW_OK;

	*catalog = NULL;
	loaded->version = saved->version;
	for (size_t i = 0; i < saved->n_layers && !status; i++)
		status = load_layer(loaded, saved->layers[i]);
	for (size_t i = 0; i < saved->n_vms && !status; i++)
		status = load_vm(loaded, saved->vms[i]);
	if (status)
		cw_catalog_free(loaded);
	else
		*catalog = loaded;
	return status;
}
