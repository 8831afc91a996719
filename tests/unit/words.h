/* Contents and VMs written as words of a script's command. */
#ifndef WORDS_H
#define WORDS_H

#include "libcaraway.h"

/*
 * Makes a content of words: "service=NAME", "route=NAME:PATH:SERVICE[:TARGET]",
 * "target=NAME:SERVICE:SELECTOR", and with a leading "-" the removal of a NAME.
 */
Caraway__Content *words_content(const char *selector, int argc, char **argv);
/* Makes a VM of its name and words "zone=Z", "region=R", "service=S" and labels "KEY=VALUE". */
Caraway__Vm *words_vm(const char *name, int argc, char **argv);
/* Adds a label to a VM that has room for it. */
void words_add_label(Caraway__Vm *vm, const char *key, const char *value);

#endif
