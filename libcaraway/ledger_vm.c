/* VMs in the ledger: registered by their proxies, labelled by operators. */
#include "ledger.h"

#include <string.h>

enum { MAX_VMS = 100000 };

/* Stores a VM that is new or changed when its configuration is valid; CW_ERR_USAGE or CW_ERR_CHECK. */
static cw_status_t store_vm(cw_ledger_t *ledger, const Caraway__Vm *known, const Caraway__Vm *vm)
{
	cw_status_t status = cw_vm_check(vm);

	if (status || (known && vm_is_equal(known, vm)))
		return status;
	status = schedule_check_vm(ledger->schedule, ledger->feed, vm);
	if (!status)
		cw_feed_set_vm(ledger->feed, vm);
	return status;
}

/* Sets labels of a known VM; nothing changes when its configuration would not be valid. */
cw_status_t ledger_set_labels(cw_ledger_t *ledger, const Caraway__SetLabels *command)
{
	const Caraway__Vm *known = cw_catalog_vm(cw_feed_catalog(ledger->feed), command->vm);
	cw_status_t status = ledger_check_operator(command->operator_name);
	Caraway__Vm *vm;

	if (!status)
		status = vm_check_labels(command->labels, command->n_labels, true);
	if (status)
		return status;
	if (!known)
		return cw_fail(CW_ERR_NOT_FOUND, "no VM is named %s", command->vm);
	vm = vm_with_labels(known, command->labels, command->n_labels);
	status = store_vm(ledger, known, vm);
	cw_message_free(vm);
	return status;
}

/* Stores a VM as its proxy registers it, with the labels that operators set before. */
cw_status_t ledger_register(cw_ledger_t *ledger, const Caraway__Register *command)
{
	const cw_catalog_t *catalog = cw_feed_catalog(ledger->feed);
	const Caraway__Vm *known;
	Caraway__Vm registered;
	Caraway__Vm *vm;
	cw_status_t status;

	if (!command->vm)
		return cw_fail(CW_ERR_DECODE, "the registration has no VM");
	known = cw_catalog_vm(catalog, command->vm->name);
	if (!known && catalog_vm_count(catalog) >= MAX_VMS)
		return cw_fail(CW_ERR_FULL, "%d VMs are known", MAX_VMS);
	registered = *command->vm;
	registered.n_labels = 0;
	vm = vm_with_labels(&registered, known ? known->labels : NULL, known ? known->n_labels : 0);
	status = store_vm(ledger, known, vm);
	cw_message_free(vm);
	return status;
}
