/* A reference model of the ledger that shares no code with it. */
#include "ledger_model.h"

#include <stddef.h>
#include <string.h>

/* Tells whether one term of a selector matches a VM. */
static bool term_matches(const model_term_t *term, int name, const model_vm_t *vm)
{
	int value = term->key == MODEL_KEY_VM ? name : term->key == MODEL_KEY_ZONE ? vm->zone : vm->tier;

	if (term->type == MODEL_TERM_PRESENT)
		return value != MODEL_NONE;
	if (term->type == MODEL_TERM_ABSENT)
		return value == MODEL_NONE;
	return (value == term->value) == (term->type == MODEL_TERM_EQUAL);
}

/* Tells whether a content's selector matches a VM. */
static bool content_matches(const model_content_t *content, int name, const model_vm_t *vm)
{
	for (int i = 0; i < content->term_count; i++)
		if (!term_matches(&content->terms[i], name, vm))
			return false;
	return true;
}

/* Applies the sections of a content to a configuration. */
static void apply_content(const model_content_t *content, model_config_t *config)
{
	for (int i = 0; i < content->section_count; i++) {
		const model_section_t *section = &content->sections[i];

		if (section->kind == MODEL_SERVICE) {
			config->has_service[section->name] = !section->removed;
		} else if (section->kind == MODEL_ROUTE) {
			config->route_service[section->name] =
				section->removed ? MODEL_NONE : section->service;
			config->route_target[section->name] = section->removed ? MODEL_NONE : section->target;
		} else {
			config->target_service[section->name] =
				section->removed ? MODEL_NONE : section->service;
		}
	}
}

void model_resolve(const model_t *model, int name, const model_vm_t *vm, model_config_t *config)
{
	memset(config, 0, sizeof(*config));
	for (int i = 0; i < MODEL_ROUTE_COUNT; i++)
		config->route_service[i] = config->route_target[i] = MODEL_NONE;
	for (int i = 0; i < MODEL_TARGET_COUNT; i++)
		config->target_service[i] = MODEL_NONE;
	for (int i = 0; i < model->activated_count; i++) {
		const model_content_t *content = &model->changes[model->activated[i]].content;

		if (content_matches(content, name, vm))
			apply_content(content, config);
	}
}

bool model_config_valid(const model_config_t *config)
{
	for (int i = 0; i < MODEL_TARGET_COUNT; i++)
		if (config->target_service[i] != MODEL_NONE &&
		    !config->has_service[config->target_service[i]])
			return false;
	for (int i = 0; i < MODEL_ROUTE_COUNT; i++) {
		int service = config->route_service[i];
		int target = config->route_target[i];

		if (service == MODEL_NONE)
			continue;
		if (!config->has_service[service])
			return false;
		if (target != MODEL_NONE && config->target_service[target] != service)
			return false;
	}
	return true;
}

int64_t model_effective_due_ms(const model_change_t *change)
{
	return change->due_ms > change->reviewed_ms ? change->due_ms : change->reviewed_ms;
}

/* Tells whether a change counts as accepted; see model_schedule_valid_for_vm(). */
static bool counts_as_accepted(const model_t *model, int number, int included, int excluded)
{
	if (number == excluded)
		return false;
	return number == included || model->changes[number].state == MODEL_ACCEPTED;
}

/* Returns the accepted change that falls due next after another, the first when after is 0; 0 at the end. */
static int next_due(const model_t *model, int after, int included, int excluded)
{
	const model_change_t *previous = &model->changes[after];
	int next = 0;

	for (int number = 1; number < MODEL_CHANGE_COUNT; number++) {
		const model_change_t *change = &model->changes[number];
		int64_t due_ms = model_effective_due_ms(change);

		if (!counts_as_accepted(model, number, included, excluded))
			continue;
		if (after && (due_ms < model_effective_due_ms(previous) ||
			      (due_ms == model_effective_due_ms(previous) && number <= after)))
			continue;
		if (!next || due_ms < model_effective_due_ms(&model->changes[next]))
			next = number;
	}
	return next;
}

int model_first_due(const model_t *model)
{
	return next_due(model, 0, 0, 0);
}

/* Tells whether a VM's configuration is valid now and after each change of a schedule, which ends with 0. */
static bool schedule_valid_for_vm(const model_t *model, int name, const model_vm_t *vm, const int *schedule)
{
	model_config_t config;

	model_resolve(model, name, vm, &config);
	if (!model_config_valid(&config))
		return false;
	for (; *schedule; schedule++) {
		const model_content_t *content = &model->changes[*schedule].content;

		if (!content_matches(content, name, vm))
			continue;
		apply_content(content, &config);
		if (!model_config_valid(&config))
			return false;
	}
	return true;
}

/* Lists the numbers of the accepted changes in order of effective due time, ended by 0. */
static void list_schedule(const model_t *model, int included, int excluded, int *schedule)
{
	int number = 0;

	do {
		number = next_due(model, number, included, excluded);
		*schedule++ = number;
	} while (number);
}

bool model_schedule_valid_for_vm(const model_t *model, int name, const model_vm_t *vm, int included,
				 int excluded)
{
	int schedule[MODEL_CHANGE_COUNT];

	list_schedule(model, included, excluded, schedule);
	return schedule_valid_for_vm(model, name, vm, schedule);
}

bool model_schedule_valid(const model_t *model, int included, int excluded)
{
	int schedule[MODEL_CHANGE_COUNT];

	list_schedule(model, included, excluded, schedule);
	for (int i = 0; i < MODEL_VM_COUNT; i++)
		if (model->vms[i].registered && !schedule_valid_for_vm(model, i, &model->vms[i], schedule))
			return false;
	return true;
}
