/* Sections, layers and groups of the catalog, for the files of the catalog and the ledger; not installed. */
#ifndef LIBCARAWAY_CATALOG_H
#define LIBCARAWAY_CATALOG_H

#include "internal.h"

typedef enum {
	SECTION_SERVICE,
	SECTION_ROUTE,
	SECTION_TARGET,
	SECTION_LIMITS,
	SECTION_ACCOUNT,
	SECTION_KINDS
} section_kind_t;

/* A named service, route, target, caller limits or account of a configuration; borrows the message. */
typedef struct {
	section_kind_t kind;
	union {
		const Caraway__Service *service;
		const Caraway__Route *route;
		const Caraway__Target *target;
		const Caraway__CallerLimits *limits;
		const Caraway__ClientAccount *account;
		const ProtobufCMessage *message;
	};
} section_t;

/* ---- content.c ---- */

bool name_is_valid(const char *name);
size_t content_count(const Caraway__Content *content, section_kind_t kind);
section_t content_section(const Caraway__Content *content, section_kind_t kind, size_t i);
const char *section_kind_keyword(section_kind_t kind);
const char *section_name(section_t section);
const char *section_service(section_t section, size_t i);
const char *section_target(section_t section);
bool section_is_removed(section_t section);
cw_status_t section_check(section_t section);

/* A place in the sections of a content, by kind; zero before the first. */
typedef struct {
	section_kind_t kind;
	size_t next; /* section of this kind */
} section_cursor_t;

bool section_cursor_next(section_cursor_t *cursor, const Caraway__Content *content, section_t *section);

/* ---- account.c ---- */

cw_status_t account_check(const Caraway__ClientAccount *account);
bool account_removal_is_valid(const Caraway__ClientAccount *account);
bool account_adds_shared_key(const Caraway__ClientAccount *account, GHashTable *keys);

/* ---- selector.c ---- */

bool selector_key_is_builtin(const char *key);
bool selector_is_empty(const cw_selector_t *selector);

/* ---- vm.c ---- */

cw_status_t vm_check_labels(Caraway__Label *const *labels, size_t count, bool may_remove);
Caraway__Vm *vm_with_labels(const Caraway__Vm *vm, Caraway__Label *const *labels, size_t count);
bool vm_is_equal(const Caraway__Vm *left, const Caraway__Vm *right);

/* ---- layers ---- */

/* A section as set by one change; immutable, shared between catalogs and configurations. */
typedef struct {
	gatomicrefcount ref_count;
	section_t section; /* owns the message */
	uint64_t version;  /* configuration version that set it */
	uint64_t number;   /* of the change that set it */
} entry_t;

/*
 * The entries of all changes with one selector text; shared between catalogs, copied
 * on write.  A copy holds what differs from its base, the layer that it was made of.
 */
typedef struct layer {
	gatomicrefcount ref_count;
	char *text; /* of the selector */
	cw_selector_t *selector;
	struct layer *base; /* not altered while it is shared; NULL: none */
	/* name -> entry_t, in place of the base's; NULL for an entry of the base that was removed */
	GHashTable *entries[SECTION_KINDS];
	size_t count[SECTION_KINDS];	      /* entries, those of the base included */
	GHashTable *referrers[SECTION_KINDS]; /* name -> set of the entry_t of this layer that refer to it */
} layer_t;

/* Iterates over the entries of one kind of a layer. */
typedef struct {
	const layer_t *top;   /* the layer iterated over */
	const layer_t *layer; /* it or one of its bases */
	section_kind_t kind;
	GHashTableIter iter;
} layer_iter_t;

/* A VM of the catalog; immutable, shared between copies of the table. */
typedef struct {
	gatomicrefcount ref_count;
	Caraway__Vm *vm; /* owned */
} vm_entry_t;

/* The VMs of a catalog; shared between copies of the catalog, copied on write. */
typedef struct {
	gatomicrefcount ref_count;
	GHashTable *by_name; /* name -> vm_entry_t */
} vm_table_t;

/* The VMs that the same layers select, and that therefore have the same configuration. */
typedef struct {
	GBytes *key; /* uint32_t slots of the layers, ascending */
	size_t vm_count;
} group_t;

/* The groups of a catalog; shared between copies of the catalog, copied on write. */
typedef struct {
	gatomicrefcount ref_count;
	GHashTable *by_key; /* GBytes -> group_t; NULL until first used */
} grouping_t;

struct cw_catalog {
	uint64_t version;  /* configuration version, see cw_catalog_version() */
	GPtrArray *layers; /* layer_t by slot, NULL for a free slot */
	vm_table_t *vms;
	grouping_t *grouping;
};

/* The layers that select one group of VMs; layers are borrowed. */
typedef struct {
	size_t count;
	layer_t **layers;
} layer_set_t;

/* A section that refers to a missing service or target, or to a target of another service. */
typedef struct {
	section_kind_t kind; /* of the section */
	char *name;	     /* of the section */
	char *message;
} reference_error_t;

/* ---- layer.c ---- */

entry_t *entry_new(section_t section, uint64_t version, uint64_t number);
entry_t *entry_ref(entry_t *entry);
void entry_unref(void *data);
void entries_sort(GPtrArray *entries);
layer_t *layer_new(const char *text, cw_selector_t *selector);
layer_t *layer_copy(layer_t *layer);
layer_t *layer_ref(layer_t *layer);
void layer_unref(void *data);
const entry_t *layer_entry(const layer_t *layer, section_kind_t kind, const char *name);
void layer_put(layer_t *layer, entry_t *entry);
bool layer_remove(layer_t *layer, section_kind_t kind, const char *name);
GPtrArray *layer_referrers(const layer_t *layer, section_kind_t kind, const char *name);
layer_t *layer_settle(layer_t *layer);
void layer_iter_init(layer_iter_t *iter, const layer_t *layer, section_kind_t kind);
const entry_t *layer_iter_next(layer_iter_t *iter);

/* ---- catalog.c ---- */

void vm_entry_unref(void *data);
size_t catalog_vm_count(const cw_catalog_t *catalog);
layer_t *catalog_find_layer(const cw_catalog_t *catalog, const char *text, size_t *slot);
layer_t *catalog_add_layer(cw_catalog_t *catalog, const char *text, cw_selector_t *selector, size_t *slot);

/* ---- group.c ---- */

GBytes *catalog_group_key(const cw_catalog_t *catalog, const Caraway__Vm *vm);
GHashTable *catalog_groups(const cw_catalog_t *catalog);
grouping_t *grouping_new(void);
void grouping_unref(grouping_t *grouping);
void catalog_update_layer_groups(cw_catalog_t *catalog, uint32_t slot, bool added);
void catalog_update_vm_group(cw_catalog_t *catalog, const Caraway__Vm *from, const Caraway__Vm *to);

void catalog_apply_section(cw_catalog_t *catalog, const char *selector, section_t section, uint64_t number,
			   uint64_t version);
void catalog_settle(cw_catalog_t *catalog);

/* ---- difference.c ---- */

cw_difference_t *catalog_difference_for_all_vms(const cw_catalog_t *catalog, uint64_t least_number,
						const Caraway__Content *complete);
cw_config_t *catalog_config_for_all_vms(const cw_catalog_t *catalog, uint64_t least_number);

/* ---- catalog_check.c ---- */

/* The check of the references from and to the sections of a content, in parts. */
typedef struct {
	const cw_catalog_t *catalog;
	const Caraway__Content *content;
	GPtrArray *keys; /* of the groups to check, borrowed */
	guint next;	 /* group */
	section_cursor_t cursor;
	layer_set_t set;	  /* of the present group */
	reference_error_t *error; /* the first of the present group */
	GHashTable *errors;	  /* key of a group -> its first reference_error_t */
} reference_check_t;

void reference_check_init(reference_check_t *check, const cw_catalog_t *catalog,
			  const Caraway__Content *content);
bool reference_check_continue(reference_check_t *check, size_t *budget);
cw_status_t reference_check_finish(reference_check_t *check);

cw_status_t catalog_check_content_vm(const cw_catalog_t *catalog, const Caraway__Content *content,
				     const Caraway__Vm *vm);

#endif
