/* An observer of the ledger that shares no code with it. */
#include "observer.h"

#include <stddef.h>
#include <string.h>

/* Tells whether one term holds for a VM. */
static bool term_holds(const ob_term_t *term, int name, const ob_vm_t *vm)
{
	int value = term->key == OB_KEY_VM ? name : term->key == OB_KEY_ZONE ? vm->zone : vm->tier;

	if (term->test == OB_HAS)
		return value != OB_NONE;
	if (term->test == OB_HAS_NOT)
		return value == OB_NONE;
	return (value == term->value) == (term->test == OB_IS);
}

/* Tells whether a content is meant for a VM. */
static bool selects(const ob_content_t *content, int name, const ob_vm_t *vm)
{
	for (int i = 0; i < content->term_count; i++)
		if (!term_holds(&content->terms[i], name, vm))
			return false;
	return true;
}

/* Carries one content out on a configuration. */
static void carry_out(const ob_content_t *content, ob_config_t *config)
{
	for (int i = 0; i < content->section_count; i++) {
		const ob_section_t *section = &content->sections[i];

		if (section->kind == OB_SERVICE) {
			config->service[section->name] = !section->removed;
		} else if (section->kind == OB_ROUTE) {
			config->route_service[section->name] = section->removed ? OB_NONE : section->service;
			config->route_target[section->name] = section->removed ? OB_NONE : section->target;
		} else {
			config->target_service[section->name] = section->removed ? OB_NONE : section->service;
		}
	}
}

void observer_config(const observer_t *observer, int name, const ob_vm_t *vm, ob_config_t *config)
{
	memset(config, 0, sizeof(*config));
	for (int i = 0; i < OB_ROUTES; i++)
		config->route_service[i] = config->route_target[i] = OB_NONE;
	for (int i = 0; i < OB_TARGETS; i++)
		config->target_service[i] = OB_NONE;
	for (int i = 0; i < observer->history_length; i++) {
		const ob_content_t *content = &observer->changes[observer->history[i]].content;

		if (selects(content, name, vm))
			carry_out(content, config);
	}
}

bool observer_holds(const ob_config_t *config)
{
	for (int i = 0; i < OB_TARGETS; i++)
		if (config->target_service[i] != OB_NONE && !config->service[config->target_service[i]])
			return false;
	for (int i = 0; i < OB_ROUTES; i++) {
		int service = config->route_service[i];
		int target = config->route_target[i];

		if (service == OB_NONE)
			continue;
		if (!config->service[service])
			return false;
		if (target != OB_NONE && config->target_service[target] != service)
			return false;
	}
	return true;
}

int64_t observer_at_ms(const ob_change_t *change)
{
	return change->due_ms > change->reviewed_ms ? change->due_ms : change->reviewed_ms;
}

/* Tells whether a number counts as accepted. */
static bool counts(const observer_t *observer, int number, int with, int without)
{
	if (number == without)
		return false;
	return number == with || observer->changes[number].state == OB_ACCEPTED;
}

/* Returns the number that comes next after another in the order of falling due, 0 at the end. */
static int next_due(const observer_t *observer, int after, int with, int without)
{
	const ob_change_t *last = &observer->changes[after];
	int next = 0;

	for (int number = 1; number < OB_CHANGES; number++) {
		const ob_change_t *change = &observer->changes[number];
		int64_t at_ms = observer_at_ms(change);

		if (!counts(observer, number, with, without))
			continue;
		if (after &&
		    (at_ms < observer_at_ms(last) || (at_ms == observer_at_ms(last) && number <= after)))
			continue;
		if (!next || at_ms < observer_at_ms(&observer->changes[next]))
			next = number;
	}
	return next;
}

int observer_first(const observer_t *observer)
{
	return next_due(observer, 0, 0, 0);
}

/* Tells whether a VM's configuration holds now and after each of the changes of an order. */
static bool order_holds(const observer_t *observer, int name, const ob_vm_t *vm, const int *order)
{
	ob_config_t config;

	observer_config(observer, name, vm, &config);
	if (!observer_holds(&config))
		return false;
	for (; *order; order++) {
		const ob_content_t *content = &observer->changes[*order].content;

		if (!selects(content, name, vm))
			continue;
		carry_out(content, &config);
		if (!observer_holds(&config))
			return false;
	}
	return true;
}

/* Fills an order with the accepted numbers, 0 at its end. */
static void fill_order(const observer_t *observer, int with, int without, int *order)
{
	int number = 0;

	do {
		number = next_due(observer, number, with, without);
		*order++ = number;
	} while (number);
}

bool observer_vm_holds(const observer_t *observer, int name, const ob_vm_t *vm, int with, int without)
{
	int order[OB_CHANGES];

	fill_order(observer, with, without, order);
	return order_holds(observer, name, vm, order);
}

bool observer_plan_holds(const observer_t *observer, int with, int without)
{
	int order[OB_CHANGES];

	fill_order(observer, with, without, order);
	for (int i = 0; i < OB_VMS; i++)
		if (observer->vms[i].known && !order_holds(observer, i, &observer->vms[i], order))
			return false;
	return true;
}
