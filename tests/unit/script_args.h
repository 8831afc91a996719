/* Builds contents and VMs from the arguments of a script command. */
#ifndef SCRIPT_ARGS_H
#define SCRIPT_ARGS_H

#include "libcaraway.h"

/*
 * Builds a content with a selector, and with sections from arguments of the forms "service=NAME",
 * "route=NAME:PATH:SERVICE[:TARGET]" and "target=NAME:SERVICE:SELECTOR".  A leading "-", as in
 * "-service=NAME", makes the section a removal.
 */
Caraway__Content *content_from_args(const char *selector, int argc, char **argv);
/* Builds a VM from its name and arguments "zone=Z", "region=R", "service=S" and labels "KEY=VALUE". */
Caraway__Vm *vm_from_args(const char *name, int argc, char **argv);
/* Adds a label to a VM, whose labels array must be allocated for at least one more element. */
void vm_add_label(Caraway__Vm *vm, const char *key, const char *value);

#endif
