/* VMs in the ledger: announced by their proxies, labelled by operators. */
#include "ledger.h"

#include <string.h>

enum { MAX_VMS = 100000 };

/* Records a VM when it is new or differs and its configuration holds; CW_ERR_USAGE or CW_ERR_CHECK. */
static cw_status_t record_vm(cw_ledger_t *ledger, const Caraway__Vm *held, const Caraway__Vm *vm)
{
	cw_status_t status = cw_vm_check(vm);

	if (status || (held && vm_is_equal(held, vm)))
		return status;
	status = plan_check_vm(ledger->plan, ledger->feed, vm);
	if (!status)
		cw_feed_set_vm(ledger->feed, vm);
	return status;
}

/* Sets labels of a known VM; nothing changes when its configuration would not hold. */
cw_status_t ledger_set_labels(cw_ledger_t *ledger, const Caraway__SetLabels *command)
{
	const Caraway__Vm *held = cw_catalog_vm(cw_feed_catalog(ledger->feed), command->vm);
	cw_status_t status = ledger_check_operator(command->operator_name);
	Caraway__Vm *vm;

	if (!status)
		status = vm_check_labels(command->labels, command->n_labels, true);
	if (status)
		return status;
	if (!held)
		return cw_fail(CW_ERR_NOT_FOUND, "no VM %s", command->vm);
	vm = vm_with_labels(held, command->labels, command->n_labels);
	status = record_vm(ledger, held, vm);
	cw_message_free(vm);
	return status;
}

/* Records what a proxy announces of its VM, and keeps the labels that operators set. */
cw_status_t ledger_register(cw_ledger_t *ledger, const Caraway__Register *command)
{
	const cw_catalog_t *catalog = cw_feed_catalog(ledger->feed);
	const Caraway__Vm *held;
	Caraway__Vm announced;
	Caraway__Vm *vm;
	cw_status_t status;

	if (!command->vm)
		return cw_fail(CW_ERR_DECODE, "a registration without a VM");
	held = cw_catalog_vm(catalog, command->vm->name);
	if (!held && catalog_vm_count(catalog) >= MAX_VMS)
		return cw_fail(CW_ERR_FULL, "%d VMs are known", MAX_VMS);
	announced = *command->vm;
	announced.n_labels = 0;
	vm = vm_with_labels(&announced, held ? held->labels : NULL, held ? held->n_labels : 0);
	status = record_vm(ledger, held, vm);
	cw_message_free(vm);
	return status;
}
