/* VMs in the ledger: registered by their proxies, labelled by operators. */
#include "ledger.h"

#include <string.h>

enum { MAX_VMS = 100000 };

/*
 * Stores a VM that is new (existing is NULL) or differs from the existing one, when its configuration is
 * valid; CW_ERR_USAGE or CW_ERR_CHECK.
 */
static cw_status_t store_vm(cw_ledger_t *ledger, const Caraway__Vm *existing, const Caraway__Vm *vm)
{
	cw_status_t status = cw_vm_check(vm);

	if (status || (existing && vm_is_equal(existing, vm)))
		return status;
	status = schedule_check_vm(ledger->schedule, ledger->feed, vm);
	if (!status)
		cw_feed_set_vm(ledger->feed, vm);
	return status;
}

/* Sets labels of a registered VM; nothing changes when its configuration would not be valid. */
cw_status_t ledger_set_labels(cw_ledger_t *ledger, const Caraway__SetLabels *command)
{
	const Caraway__Vm *existing = cw_catalog_vm(cw_feed_catalog(ledger->feed), command->vm);
	cw_status_t status = ledger_check_operator(command->operator_name);
	Caraway__Vm *vm;

	if (!status)
		status = vm_check_labels(command->labels, command->n_labels, true);
	if (status)
		return status;
	if (!existing)
		return cw_fail(CW_ERR_NOT_FOUND, "no VM is named %s", command->vm);
	vm = vm_with_labels(existing, command->labels, command->n_labels);
	status = store_vm(ledger, existing, vm);
	cw_message_free(vm);
	return status;
}

/* Stores a VM as its proxy registers it, with the labels that operators set before. */
cw_status_t ledger_register_vm(cw_ledger_t *ledger, const Caraway__Register *command)
{
	const cw_catalog_t *catalog = cw_feed_catalog(ledger->feed);
	const Caraway__Vm *existing;
	Caraway__Vm registered;
	Caraway__Vm *vm;
	cw_status_t status;

	if (!command->vm)
		return cw_fail(CW_ERR_DECODE, "the registration has no VM");
	existing = cw_catalog_vm(catalog, command->vm->name);
	if (!existing && catalog_vm_count(catalog) >= MAX_VMS)
		return cw_fail(CW_ERR_FULL, "the limit of %d VMs is reached", MAX_VMS);
	registered = *command->vm;
	registered.n_labels = 0;
	vm = vm_with_labels(&registered, existing ? existing->labels : NULL,
			    existing ? existing->n_labels : 0);
	status = store_vm(ledger, existing, vm);
	cw_message_free(vm);
	return status;
}
