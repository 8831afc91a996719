/*
 * A reference model of the ledger that shares no code with it.
 *
 * It records the changes in the order of their activation and every VM's
 * labels, and resolves a VM's configuration by applying all of these changes
 * from the start.  VMs and sections are named by small numbers; contents and
 * selectors are plain structures.
 */
#ifndef LEDGER_MODEL_H
#define LEDGER_MODEL_H

#include <stdbool.h>
#include <stdint.h>

enum {
	MODEL_SERVICE_COUNT = 30,
	MODEL_ROUTE_COUNT = 10,
	MODEL_TARGET_COUNT = 6,
	MODEL_MAX_SECTIONS = 4,
	MODEL_MAX_TERMS = 2,
	MODEL_VM_COUNT = 20,
	MODEL_CHANGE_COUNT = 4000, /* numbers 1 to 3999; 0 stands for no change */
	MODEL_NONE = -1		   /* no VM, label, service, target or operator */
};

typedef enum { MODEL_SERVICE, MODEL_ROUTE, MODEL_TARGET } model_kind_t;
typedef enum {
	MODEL_TERM_EQUAL,
	MODEL_TERM_NOT_EQUAL,
	MODEL_TERM_PRESENT,
	MODEL_TERM_ABSENT
} model_term_type_t;
typedef enum { MODEL_KEY_VM, MODEL_KEY_ZONE, MODEL_KEY_TIER } model_key_t;

typedef struct {
	model_key_t key;
	model_term_type_t type;
	int value; /* number of a VM, zone or tier; unused if the type is PRESENT or ABSENT */
} model_term_t;

typedef struct {
	model_kind_t kind;
	int name;
	bool removed;
	int service; /* of a route or target */
	int target;  /* of a route; MODEL_NONE: every target of the service */
} model_section_t;

typedef struct {
	int term_count;
	model_term_t terms[MODEL_MAX_TERMS];
	int section_count;
	model_section_t sections[MODEL_MAX_SECTIONS];
} model_content_t;

typedef struct {
	bool registered;
	int zone;
	int tier; /* MODEL_NONE: the VM has no such label */
} model_vm_t;

typedef enum {
	MODEL_NOT_BOOKED,
	MODEL_BOOKED,
	MODEL_ACCEPTED,
	MODEL_IN_FORCE,
	MODEL_REFUSED,
	MODEL_WITHDRAWN
} model_change_state_t;

typedef struct {
	model_change_state_t state;
	int booker;   /* the number of an operator, as reviewer and withdrawer are */
	int reviewer; /* MODEL_NONE: not reviewed */
	int withdrawer;
	bool review_accepted;
	int64_t due_ms; /* UTC, as reviewed_ms is */
	int64_t reviewed_ms;
	model_content_t content;
} model_change_t;

/* The configuration of one VM, indexed by name. */
typedef struct {
	int has_service[MODEL_SERVICE_COUNT]; /* 1: present, 0: absent */
	int route_service[MODEL_ROUTE_COUNT]; /* MODEL_NONE: no such route */
	int route_target[MODEL_ROUTE_COUNT];
	int target_service[MODEL_TARGET_COUNT]; /* MODEL_NONE: no such target */
} model_config_t;

typedef struct {
	model_vm_t vms[MODEL_VM_COUNT];
	model_change_t changes[MODEL_CHANGE_COUNT]; /* by number */
	int activated[MODEL_CHANGE_COUNT]; /* numbers of the changes in force, in order of activation */
	int activated_count;
} model_t;

/* Resolves the current configuration of a VM. */
void model_resolve(const model_t *model, int name, const model_vm_t *vm, model_config_t *config);
/*
 * Tells whether every service and target that a configuration refers to exists
 * in it, and the target of each route belongs to the service of the route.
 */
bool model_config_valid(const model_config_t *config);
/*
 * Tells whether a VM's configuration is valid now and after each accepted change
 * in order of effective due time.  The number "included" counts as accepted and
 * "excluded" does not; 0 stands for no change.
 */
bool model_schedule_valid_for_vm(const model_t *model, int name, const model_vm_t *vm, int included,
				 int excluded);
/* As model_schedule_valid_for_vm(), for every registered VM. */
bool model_schedule_valid(const model_t *model, int included, int excluded);
/* Returns the number of the accepted change that falls due first; 0 when there is none. */
int model_first_due(const model_t *model);
/* Returns when an accepted change falls due: the later of its due time and its review. */
int64_t model_effective_due_ms(const model_change_t *change);

#endif
