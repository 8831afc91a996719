/*
 * An observer of the ledger that shares no code with it.
 *
 * It keeps the raw history of changes in force and every VM's labels, and
 * works out what a VM holds by carrying the whole history out again.  Names
 * are small numbers, contents and selectors plain structures.
 */
#ifndef OBSERVER_H
#define OBSERVER_H

#include <stdbool.h>
#include <stdint.h>

enum {
	OB_SERVICES = 30,
	OB_ROUTES = 10,
	OB_TARGETS = 6,
	OB_SECTIONS = 4,
	OB_TERMS = 2,
	OB_VMS = 20,
	OB_CHANGES = 4000,
	OB_NONE = -1
};

typedef enum { OB_SERVICE, OB_ROUTE, OB_TARGET } ob_kind_t;
typedef enum { OB_IS, OB_IS_NOT, OB_HAS, OB_HAS_NOT } ob_test_t;
typedef enum { OB_KEY_VM, OB_KEY_ZONE, OB_KEY_TIER } ob_key_t;

typedef struct {
	ob_key_t key;
	ob_test_t test;
	int value;
} ob_term_t;

typedef struct {
	ob_kind_t kind;
	int name;
	bool removed;
	int service;
	int target; /* OB_NONE: every target of the service */
} ob_section_t;

typedef struct {
	int term_count;
	ob_term_t terms[OB_TERMS];
	int section_count;
	ob_section_t sections[OB_SECTIONS];
} ob_content_t;

typedef struct {
	bool known;
	int zone;
	int tier; /* OB_NONE: no such label */
} ob_vm_t;

typedef enum { OB_FREE, OB_BOOKED, OB_ACCEPTED, OB_IN_FORCE, OB_REFUSED, OB_WITHDRAWN } ob_state_t;

typedef struct {
	ob_state_t state;
	int booker;
	int reviewer;
	int withdrawer;
	bool accepted;
	int64_t due_ms;
	int64_t reviewed_ms;
	ob_content_t content;
} ob_change_t;

/* What one VM holds. */
typedef struct {
	int service[OB_SERVICES];     /* 1: held */
	int route_service[OB_ROUTES]; /* OB_NONE: no such route */
	int route_target[OB_ROUTES];
	int target_service[OB_TARGETS]; /* OB_NONE: no such target */
} ob_config_t;

typedef struct {
	ob_vm_t vms[OB_VMS];
	ob_change_t changes[OB_CHANGES]; /* by number */
	int history[OB_CHANGES];	 /* numbers in force, in the order of their activation */
	int history_length;
} observer_t;

/* Works out what a VM holds now. */
void observer_config(const observer_t *observer, int name, const ob_vm_t *vm, ob_config_t *config);
/* Tells whether every reference of a configuration is met. */
bool observer_holds(const ob_config_t *config);
/*
 * Tells whether a VM's configuration holds now and after each accepted change
 * in order, where "with" (0: none) counts as accepted and "without" (0: none) does not.
 */
bool observer_vm_holds(const observer_t *observer, int name, const ob_vm_t *vm, int with, int without);
/* Tells the same of every VM. */
bool observer_plan_holds(const observer_t *observer, int with, int without);
/* Returns the accepted change that falls due first, 0 when there is none. */
int observer_first(const observer_t *observer);
/* Returns when an accepted change falls due. */
int64_t observer_at_ms(const ob_change_t *change);

#endif
