/* Configuration changes: selectors, change files, the catalog, the feed and the ledger.  See libcaraway.h. */
#ifndef CARAWAY_CHANGES_H
#define CARAWAY_CHANGES_H

#include "caraway_base.h"

/* ---- selectors -------------------------------------------------------------- */

/* A condition on VMs, as "zone=eger,service!=konvoj,track"; an empty text selects every VM. */
typedef struct cw_selector cw_selector_t;

cw_status_t cw_selector_parse(const char *text, cw_selector_t **selector);
bool cw_selector_match(const cw_selector_t *selector, const Caraway__Vm *vm);
void cw_selector_free(cw_selector_t *selector);

/* ---- change files ------------------------------------------------------------ */

cw_status_t cw_ini_parse(const char *text, size_t length, const char *file, cw_status_t error_status,
			 GKeyFile **keys);
cw_status_t cw_change_parse(const char *text, size_t length, const char *file, Caraway__Content **content);
cw_status_t cw_content_check(const Caraway__Content *content);
/*
 * As cw_content_check(), and checks that every route has a host and a timeout and
 * sends calls only to services of the same content; CW_ERR_CHECK.
 */
cw_status_t cw_content_check_complete(const Caraway__Content *content);
void cw_content_free_borrowed(Caraway__Content *content);
/* Either check in parts, for a thread that must not be held by a large content. */
typedef struct cw_content_check cw_content_check_t;
cw_content_check_t *cw_content_check_new(const Caraway__Content *content, bool complete);
bool cw_content_check_continue(cw_content_check_t *check, size_t *budget);
cw_status_t cw_content_check_finish(cw_content_check_t *check);
/* A key of a client account is kept outside the control replicas as a keyed digest only. */
typedef struct {
	uint64_t words[2];
} cw_key_digest_t;

/* Returns the digest of a key; the salt is that of the account. */
cw_key_digest_t cw_account_key_digest(const uint64_t salt[2], const char *key);
enum { CW_KEY_DIGEST_TEXT_BYTES = 33 };

/* Writes a digest, or a salt, as hexadecimal digits, and reads it back; false when the text is not one. */
void cw_key_digest_format(const cw_key_digest_t *digest, char text[CW_KEY_DIGEST_TEXT_BYTES]);
bool cw_key_digest_parse(const char *text, cw_key_digest_t *digest);
/* Returns a copy of an account with the digests of its keys in place of the keys. */
Caraway__ClientAccount *cw_account_seal(const Caraway__ClientAccount *account, const uint64_t salt[2]);
cw_status_t cw_vm_check(const Caraway__Vm *vm);
uint64_t cw_content_digest(const Caraway__Content *content);

/* ---- catalog: the configuration in force, for all VMs ------------------------------------ */

/* The configuration of one VM, resolved from the catalog. */
typedef struct {
	uint64_t version;    /* configuration version of the catalog */
	GPtrArray *services; /* Caraway__Service *, ordered by name */
	GPtrArray *routes;   /* Caraway__Route *, ordered by name */
	GPtrArray *targets;  /* Caraway__Target *, ordered by name */
	GPtrArray *limits;   /* Caraway__CallerLimits *, ordered by name */
	GPtrArray *accounts; /* Caraway__ClientAccount *, ordered by name */
	GPtrArray *entries;  /* entry_t *, the owners of the messages above */
	/* cw_ledger_release_config() only: account -> GBytes, a packed Caraway__AccountKeys; else NULL */
	GHashTable *account_keys;
} cw_config_t;

typedef struct cw_catalog cw_catalog_t;

cw_catalog_t *cw_catalog_new(void);
void cw_catalog_free(cw_catalog_t *catalog);
cw_catalog_t *cw_catalog_copy(const cw_catalog_t *catalog);
uint64_t cw_catalog_version(const cw_catalog_t *catalog);
void cw_catalog_apply(cw_catalog_t *catalog, const Caraway__Content *content, uint64_t number,
		      uint64_t version);
void cw_catalog_set_vm(cw_catalog_t *catalog, const Caraway__Vm *vm, uint64_t version);
const Caraway__Vm *cw_catalog_vm(const cw_catalog_t *catalog, const char *name);
GPtrArray *cw_catalog_vms(const cw_catalog_t *catalog); /* borrowed Caraway__Vm *, ordered by name */
cw_config_t *cw_catalog_resolve(const cw_catalog_t *catalog, const Caraway__Vm *vm);
cw_status_t cw_catalog_check(const cw_catalog_t *catalog);
cw_status_t cw_catalog_check_content(const cw_catalog_t *catalog, const Caraway__Content *content);
cw_status_t cw_catalog_check_vm(const cw_catalog_t *catalog, const Caraway__Vm *vm);
Caraway__Catalog *cw_catalog_save(const cw_catalog_t *catalog);
cw_status_t cw_catalog_load(const Caraway__Catalog *saved, cw_catalog_t **catalog);
void cw_config_free(cw_config_t *config);

/* ---- feed: the ordered records that distribute the catalog to proxies ------------------- */

typedef struct cw_feed cw_feed_t;

cw_feed_t *cw_feed_new(size_t keep_records);
void cw_feed_free(cw_feed_t *feed);
const cw_catalog_t *cw_feed_catalog(const cw_feed_t *feed);
uint64_t cw_feed_index(const cw_feed_t *feed);
uint64_t cw_feed_chain(const cw_feed_t *feed);
uint64_t cw_feed_version(const cw_feed_t *feed);
/* Source side: each makes a record, gives it the next index and chain value, and applies it. */
uint64_t cw_feed_stage(cw_feed_t *feed, uint64_t number, const Caraway__Content *content);
cw_status_t cw_feed_activate(cw_feed_t *feed, uint64_t number, int64_t due_ms, int64_t at_ms);
void cw_feed_activate_checked(cw_feed_t *feed, uint64_t number, int64_t due_ms, int64_t at_ms,
			      cw_catalog_t *catalog);
void cw_feed_drop(cw_feed_t *feed, uint64_t number);
void cw_feed_set_vm(cw_feed_t *feed, const Caraway__Vm *vm);
/* Returns a copy of a change's staged content, freed with cw_message_free(); NULL when there is none. */
Caraway__Content *cw_feed_copy_staged_content(const cw_feed_t *feed, uint64_t number);
/* Parent side: fills an update with the records that follow a child's index and chain value, or a snapshot. */
cw_status_t cw_feed_fill_update(const cw_feed_t *feed, uint64_t index, uint64_t chain, size_t max_bytes,
				Caraway__News *update);
/* Child side: applies all of an update, or nothing when it fails. */
cw_status_t cw_feed_apply_update(cw_feed_t *feed, const Caraway__News *update);
Caraway__FeedSnapshot *cw_feed_save(const cw_feed_t *feed);
cw_status_t cw_feed_load(cw_feed_t *feed, const Caraway__FeedSnapshot *saved);

/* ---- ledger: the state of every change, built from the replicated log -------------------- */

typedef struct cw_ledger cw_ledger_t;

cw_ledger_t *cw_ledger_new(size_t keep_records);
void cw_ledger_free(cw_ledger_t *ledger);
/*
 * Applies one committed command.  Deterministic: reads nothing but the ledger
 * and the command.  A change that fails its check is stored as refused, with
 * the error message, so that a repeated review gets the same error.  *change
 * is a copy of the change concerned, or NULL.
 */
cw_status_t cw_ledger_apply(cw_ledger_t *ledger, const Caraway__Command *command, Caraway__Change **change);
/*
 * The same in parts, for a thread that must not be held by a large command; takes ownership
 * of the command.  The ledger stays as it was until cw_ledger_job_finish(), before
 * which no other command is applied.
 */
typedef struct cw_ledger_job cw_ledger_job_t;

cw_ledger_job_t *cw_ledger_job_new(cw_ledger_t *ledger, Caraway__Command *command);
bool cw_ledger_job_continue(cw_ledger_job_t *job, size_t *budget);
cw_status_t cw_ledger_job_finish(cw_ledger_job_t *job, Caraway__Change **change);
void cw_ledger_job_free(cw_ledger_job_t *job);
cw_feed_t *cw_ledger_feed(cw_ledger_t *ledger);
const Caraway__Change *cw_ledger_change(const cw_ledger_t *ledger, uint64_t number);
Caraway__Change *cw_ledger_copy_change(const cw_ledger_t *ledger, uint64_t number);
GPtrArray *cw_ledger_changes(const cw_ledger_t *ledger); /* borrowed Caraway__Change *, ordered by number */
/* The accepted change to activate next, by due time then number; 0 if none is due at utc_ms. */
uint64_t cw_ledger_due_change(const cw_ledger_t *ledger, int64_t utc_ms);
/* Due time of the next accepted change, UTC ms; INT64_MAX if there is none. */
int64_t cw_ledger_next_due_ms(const cw_ledger_t *ledger);
/* The release of the complete configuration that came into force last; 0 before the first. */
uint64_t cw_ledger_release_in_force(const cw_ledger_t *ledger);
/* Checks whether a complete configuration can be accepted, or was before; see ledger_replace.c. */
cw_status_t cw_ledger_check_release(const cw_ledger_t *ledger, uint64_t release, uint64_t base,
				    uint64_t digest, bool *already_accepted);
/* The difference from the release in force to a complete configuration. */
typedef struct {
	Caraway__Content *content; /* borrows the sections to set from the complete configuration */
	GPtrArray *removals;	   /* the other sections, owned */
} cw_difference_t;

cw_difference_t *cw_ledger_release_difference(cw_ledger_t *ledger, const Caraway__Content *complete);
void cw_difference_free(cw_difference_t *difference);
/*
 * The sections of the release in force that no booked change for all VMs has
 * replaced; a message stays the same until it is replaced.  Freed with cw_config_free().
 */
cw_config_t *cw_ledger_release_config(cw_ledger_t *ledger);
/* The salt of the digests of keys in the configuration in force; false while it has no account. */
bool cw_ledger_account_salt(const cw_ledger_t *ledger, uint64_t salt[2]);
/* The digest by which the ledger recognises a release that was accepted before. */
uint64_t cw_release_digest(uint64_t release, uint64_t base, const Caraway__Content *complete);
/* A number that changes with each change of a roll-out. */
uint64_t cw_ledger_rollout_revision(const cw_ledger_t *ledger);
/* The newest roll-out of a service, borrowed; NULL when it never had one. */
const Caraway__Rollout *cw_ledger_rollout(const cw_ledger_t *ledger, const char *service);
GPtrArray *
cw_ledger_rollouts(const cw_ledger_t *ledger); /* borrowed Caraway__Rollout *, ordered by service */
/*
 * Checks whether a roll-out can be ordered; see ledger_rollout.c.  *ordered: it is the same order as that of the
 * service's newest roll-out, which is acknowledged again.
 */
cw_status_t cw_ledger_check_rollout(const cw_ledger_t *ledger, const Caraway__RolloutBegin *begin,
				    bool *ordered);
GBytes *cw_ledger_save(const cw_ledger_t *ledger);
cw_status_t cw_ledger_load(cw_ledger_t *ledger, const void *data, size_t length);

#endif
