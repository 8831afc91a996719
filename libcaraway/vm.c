/* VMs as their proxies register and operators label them. */
#include "catalog.h"

#include <string.h>

enum { VM_MAX_LABELS = 64 };

/* Returns whether a field of a registration is empty or a valid name. */
static bool is_name_or_empty(const char *text)
{
	return !*text || name_is_valid(text);
}

/* Checks one label; an empty value is allowed only where it removes the label. */
static cw_status_t check_label(const Caraway__Label *label, bool may_remove)
{
	if (!name_is_valid(label->key))
		return cw_fail(CW_ERR_USAGE, "\"%s\" is not a valid label key", label->key);
	if (selector_key_is_builtin(label->key))
		return cw_fail(CW_ERR_USAGE,
			       "label %s: the key is reserved for what the VM's proxy registers", label->key);
	if (!*label->value && may_remove)
		return CW_OK;
	if (!name_is_valid(label->value))
		return cw_fail(CW_ERR_USAGE, "label %s: the value is not a valid name", label->key);
	return CW_OK;
}

/* Checks labels, and that no key is given twice; may_remove allows empty values.  CW_ERR_USAGE. */
cw_status_t vm_check_labels(Caraway__Label *const *labels, size_t count, bool may_remove)
{
	cw_status_t status = CW_OK;

	if (count > VM_MAX_LABELS)
		return cw_fail(CW_ERR_USAGE, "%zu labels, at most %d are allowed", count, VM_MAX_LABELS);
	for (size_t i = 0; i < count && !status; i++) {
		status = check_label(labels[i], may_remove);
		for (size_t j = 0; j < i && !status; j++)
			if (!strcmp(labels[i]->key, labels[j]->key))
				status = cw_fail(CW_ERR_USAGE, "label %s is given twice", labels[i]->key);
	}
	return status;
}

/* Checks the name, zone, region, service and labels of a VM; CW_ERR_USAGE. */
cw_status_t cw_vm_check(const Caraway__Vm *vm)
{
	if (!name_is_valid(vm->name))
		return cw_fail(CW_ERR_USAGE, "a VM has no valid name");
	if (!is_name_or_empty(vm->zone) || !is_name_or_empty(vm->region) || !is_name_or_empty(vm->service))
		return cw_fail(CW_ERR_USAGE, "VM %s: zone, region or service is not a valid name", vm->name);
	return vm_check_labels(vm->labels, vm->n_labels, false);
}

/* Returns a new label with copies of the key and the value. */
static Caraway__Label *label_new(const char *key, const char *value)
{
	Caraway__Label *label = malloc(sizeof(*label));

	caraway__label__init(label);
	label->key = strdup(key);
	label->value = strdup(value);
	return label;
}

/* Returns the index of a VM's label by key; n_labels when there is none. */
static size_t find_label(const Caraway__Vm *vm, const char *key)
{
	size_t i = 0;

	while (i < vm->n_labels && strcmp(vm->labels[i]->key, key) != 0)
		i++;
	return i;
}

/* Sets, replaces or removes one label of a VM. */
static void set_label(Caraway__Vm *vm, const Caraway__Label *label)
{
	size_t i = find_label(vm, label->key);

	if (i < vm->n_labels) {
		cw_message_free(vm->labels[i]);
		vm->labels[i] = vm->labels[--vm->n_labels];
	}
	if (!*label->value)
		return;
	vm->labels = realloc(vm->labels, (vm->n_labels + 1) * sizeof(Caraway__Label *));
	vm->labels[vm->n_labels++] = label_new(label->key, label->value);
}

/* Orders labels by key. */
static int compare_labels(const void *a, const void *b)
{
	const Caraway__Label *left = *(Caraway__Label *const *)a;
	const Caraway__Label *right = *(Caraway__Label *const *)b;

	return strcmp(left->key, right->key);
}

/* Returns a copy of a VM with labels set, replaced or (empty value) removed, ordered by key. */
Caraway__Vm *vm_with_labels(const Caraway__Vm *vm, Caraway__Label *const *labels, size_t count)
{
	Caraway__Vm *copy = cw_message_copy(&vm->base);

	for (size_t i = 0; i < count; i++)
		set_label(copy, labels[i]);
	if (copy->n_labels)
		qsort(copy->labels, copy->n_labels, sizeof(Caraway__Label *), compare_labels);
	return copy;
}

/* Returns whether two VMs have the same name, zone, region, service and labels. */
bool vm_is_equal(const Caraway__Vm *left, const Caraway__Vm *right)
{
	GBytes *packed_left = cw_message_pack(&left->base);
	GBytes *packed_right = cw_message_pack(&right->base);
	bool equal = g_bytes_equal(packed_left, packed_right);

	g_bytes_unref(packed_left);
	g_bytes_unref(packed_right);
	return equal;
}
