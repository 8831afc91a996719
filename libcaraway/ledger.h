/* State of the ledger, shared by its files; not installed. */
#ifndef LIBCARAWAY_LEDGER_H
#define LIBCARAWAY_LEDGER_H

#include "catalog.h"

/* A parsed selector, shared by the accepted changes that have the same selector text. */
typedef struct {
	cw_selector_t *selector;
	size_t count; /* changes that use it */
} schedule_selector_t;

/* An accepted change that is not in force yet. */
typedef struct {
	const Caraway__Change *change;
	const cw_selector_t *selector; /* owned by schedule_t.selectors */
	int64_t effective_due_ms;      /* UTC, the later of its due time and its review */
} schedule_item_t;

/* The accepted changes by effective due time, indexed by the names that they set and refer to. */
typedef struct {
	GPtrArray *items;      /* schedule_item_t, ordered by effective due time then number */
	GHashTable *selectors; /* selector text -> schedule_selector_t */
	GHashTable *valid_vms; /* vm_check_key() set: VMs found valid since the schedule last changed */
	GHashTable *definers;  /* schedule_key() -> GPtrArray of the items that set or remove the name */
	GHashTable *referrers; /* schedule_key() -> GPtrArray of the items that refer to the name */
} schedule_t;

/* What the archive keeps of a finished change. */
typedef struct {
	uint64_t number;
	uint64_t identity; /* hash of content, due time and booker; the final state in the lowest bits */
} archived_t;

/* A complete configuration that was accepted. */
typedef struct {
	uint64_t release; /* its number, higher than that of any release before it */
	uint64_t digest;  /* from cw_release_digest() */
} release_t;

/* A complete configuration is stored as the change of this number plus its release. */
#define FIRST_RELEASE_NUMBER (UINT64_C(1) << 62)

struct cw_ledger {
	cw_feed_t *feed;
	GHashTable *changes; /* number -> Caraway__Change; the feed owns the content of an accepted one */
	schedule_t *schedule;
	GQueue *finished_with_content; /* finished changes that still have their content, oldest first */
	GQueue *finished_unarchived;   /* finished changes that are not archived, oldest first */
	GArray *archive;	       /* archived_t, ordered by number */
	GArray *releases;	       /* release_t, in the order in which they came into force */
	GHashTable *account_keys;      /* account -> GBytes, a packed Caraway__AccountKeys */
	GHashTable *rollouts;	       /* service -> Caraway__Rollout, its newest */
	uint64_t rollout_count;	       /* roll-outs that were ever ordered */
	uint64_t rollout_revision;     /* changes with each change of a roll-out; not saved */
	uint64_t finished_count;       /* changes that have ever finished */
	size_t open_count;	       /* changes that have not finished */
};

/* ---- schedule.c ---- */

schedule_t *schedule_new(void);
void schedule_free(schedule_t *schedule);
void schedule_add(schedule_t *schedule, const Caraway__Change *change, const Caraway__Content *content);
void schedule_remove(schedule_t *schedule, const Caraway__Change *change, const Caraway__Content *content);
char *schedule_key(section_kind_t kind, const char *name);
int schedule_item_compare(const schedule_item_t *left, const schedule_item_t *right);
const schedule_item_t *schedule_first(const schedule_t *schedule);
void schedule_forget_valid_vms(schedule_t *schedule);

/* ---- schedule_check.c ---- */

cw_status_t schedule_check_add(const schedule_t *schedule, const cw_feed_t *feed,
			       const Caraway__Change *change, const Caraway__Content *content);
cw_status_t schedule_check_remove(const schedule_t *schedule, const cw_feed_t *feed,
				  const Caraway__Change *change, const Caraway__Content *content);
cw_status_t schedule_check_vm(const schedule_t *schedule, const cw_feed_t *feed, const Caraway__Vm *vm);

/* ---- ledger.c ---- */

Caraway__Change *ledger_find(const cw_ledger_t *ledger, uint64_t number);
void ledger_reset(cw_ledger_t *ledger);
void ledger_add(cw_ledger_t *ledger, Caraway__Change *change);
void ledger_finish(cw_ledger_t *ledger, Caraway__Change *change, Caraway__ChangeState state);
cw_status_t ledger_apply_body(cw_ledger_t *ledger, const Caraway__Command *command, uint64_t *number);

/* ---- archive.c ---- */

uint64_t archive_identity(const Caraway__Change *change);
uint64_t archive_booking_hash(uint64_t digest, const char *operator_name);
bool archive_matches_booking(const archived_t *archived, uint64_t hash);
Caraway__ChangeState archive_state(const archived_t *archived);
void archive_add(GArray *archive, const Caraway__Change *change);
const archived_t *archive_find(const GArray *archive, uint64_t number);
Caraway__Archive *archive_save(const GArray *archive);
cw_status_t archive_load(const Caraway__Archive *saved, GArray *archive);

/* ---- ledger_change.c ---- */

int64_t change_effective_due_ms(const Caraway__Change *change);
uint64_t change_digest(const Caraway__Content *content, int64_t due_ms);
cw_status_t ledger_check_operator(const char *name);
cw_status_t ledger_book(cw_ledger_t *ledger, const Caraway__Book *book, int64_t at_ms);
cw_status_t ledger_review(cw_ledger_t *ledger, const Caraway__Review *review, int64_t at_ms);
cw_status_t ledger_put_in_force(cw_ledger_t *ledger, Caraway__Command *command, cw_catalog_t *catalog);
cw_status_t ledger_withdraw(cw_ledger_t *ledger, const Caraway__Withdraw *withdraw);
cw_status_t ledger_activate(cw_ledger_t *ledger, const Caraway__Activate *activate, int64_t at_ms);

/* ---- ledger_replace.c ---- */

cw_status_t ledger_check_replacement(const cw_ledger_t *ledger, const Caraway__Replace *replace,
				     bool *needed);
cw_status_t ledger_replace_without_content(cw_ledger_t *ledger, const Caraway__Replace *replace);
void ledger_record_release(cw_ledger_t *ledger, const Caraway__Replace *replace);

/* ---- ledger_account.c ---- */

cw_status_t ledger_check_account_keys(const Caraway__Replace *replace);
void ledger_apply_account_keys(cw_ledger_t *ledger, const Caraway__Content *content,
			       const Caraway__Replace *replace);
GPtrArray *ledger_save_account_keys(const cw_ledger_t *ledger);
void ledger_load_account_keys(cw_ledger_t *ledger, const Caraway__LedgerSnapshot *snapshot);

/* ---- ledger_rollout.c ---- */

cw_status_t ledger_begin_rollout(cw_ledger_t *ledger, const Caraway__RolloutBegin *begin, int64_t at_ms);
cw_status_t ledger_step_rollout(cw_ledger_t *ledger, const Caraway__RolloutStep *step, int64_t at_ms);
cw_status_t ledger_end_rollout(cw_ledger_t *ledger, const Caraway__RolloutVerdict *verdict, int64_t at_ms);
cw_status_t ledger_check_rollouts(const Caraway__LedgerSnapshot *snapshot);
void ledger_load_rollouts(cw_ledger_t *ledger, const Caraway__LedgerSnapshot *snapshot);

/* ---- ledger_vm.c ---- */

cw_status_t ledger_set_labels(cw_ledger_t *ledger, const Caraway__SetLabels *command);
cw_status_t ledger_register_vm(cw_ledger_t *ledger, const Caraway__Register *command);

#endif
