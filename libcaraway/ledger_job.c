/*
 * The application of a command in parts, for those whose content is large: the
 * ledger and the feed stay as they were until the last part.
 */
#include "ledger.h"

/* What a replacement goes through; any other command has the last stage alone. */
typedef enum {
	STAGE_CONTENT,	  /* its sections are validated */
	STAGE_CATALOG,	  /* they are applied to a copy of the catalog */
	STAGE_REFERENCES, /* the references from and to them are checked there */
	STAGE_END
} stage_t;

struct cw_ledger_job {
	cw_ledger_t *ledger;
	Caraway__Command *command;
	stage_t stage;
	cw_status_t status;	       /* of the stages so far */
	char *message;		       /* of a failure */
	cw_catalog_t *catalog;	       /* the copy; NULL before */
	section_cursor_t cursor;       /* in STAGE_CATALOG */
	cw_content_check_t *content;   /* in STAGE_CONTENT; NULL otherwise */
	reference_check_t *references; /* in STAGE_REFERENCES; NULL otherwise */
};

/* Returns the content that a job has to apply in parts; NULL for none. */
static const Caraway__Content *job_content(const cw_ledger_job_t *job)
{
	return job->command->body_case == CARAWAY__COMMAND__BODY_REPLACE ? job->command->replace->content
									 : NULL;
}

/* Ends the stages before the last with an outcome; keeps the message of a failure. */
static void end_stages(cw_ledger_job_t *job, cw_status_t status)
{
	job->stage = STAGE_END;
	job->status = status;
	if (status)
		job->message = g_strdup(cw_last_error_message());
}

/* Returns a job that applies a committed command, of which it takes ownership; see cw_ledger_job_continue(). */
cw_ledger_job_t *cw_ledger_job_new(cw_ledger_t *ledger, Caraway__Command *command)
{
	cw_ledger_job_t *job = g_new0(cw_ledger_job_t, 1);
	bool needed = false;
	cw_status_t status = CW_OK;

	job->ledger = ledger;
	job->command = command;
	job->stage = STAGE_END;
	if (job_content(job))
		status = ledger_check_replacement(ledger, command->replace, &needed);
	if (status)
		end_stages(job, status);
	if (!needed)
		return job;
	job->stage = STAGE_CONTENT;
	job->content = cw_content_check_new(job_content(job), false);
	return job;
}

/* Validates further sections, then copies the catalog. */
static bool check_content(cw_ledger_job_t *job, size_t *budget)
{
	cw_status_t status;

	if (!cw_content_check_continue(job->content, budget))
		return false;
	status = cw_content_check_finish(g_steal_pointer(&job->content));
	if (status) {
		end_stages(job, status);
	} else {
		job->catalog = cw_catalog_copy(cw_feed_catalog(job->ledger->feed));
		job->stage = STAGE_CATALOG;
	}
	return true;
}

/* Applies further sections to the copy of the catalog, then begins to check it. */
static bool apply_sections(cw_ledger_job_t *job, size_t *budget)
{
	const Caraway__Content *content = job_content(job);
	uint64_t version = cw_catalog_version(cw_feed_catalog(job->ledger->feed)) + 1;
	uint64_t number = FIRST_RELEASE_NUMBER + job->command->replace->release;

	while (*budget) {
		section_t section;

		if (!section_cursor_next(&job->cursor, content, &section)) {
			job->references = g_new(reference_check_t, 1);
			reference_check_init(job->references, job->catalog, content);
			job->stage = STAGE_REFERENCES;
			return true;
		}
		--*budget;
		catalog_apply_section(job->catalog, content->selector, section, number, version);
	}
	return false;
}

/* Checks further references. */
static bool check_references(cw_ledger_job_t *job, size_t *budget)
{
	if (!reference_check_continue(job->references, budget))
		return false;
	end_stages(job, reference_check_finish(job->references));
	g_free(job->references);
	job->references = NULL;
	return true;
}

/*
 * Handles up to *budget sections, subtracts their number and returns whether
 * nothing is left but cw_ledger_job_finish().  No other command may be applied, nor the
 * ledger be loaded, while a job is in progress.
 */
bool cw_ledger_job_continue(cw_ledger_job_t *job, size_t *budget)
{
	for (;;) {
		bool stage_ended = true;

		switch (job->stage) {
		case STAGE_CONTENT:
			stage_ended = check_content(job, budget);
			break;
		case STAGE_CATALOG:
			stage_ended = apply_sections(job, budget);
			break;
		case STAGE_REFERENCES:
			stage_ended = check_references(job, budget);
			break;
		case STAGE_END:
			return true;
		}
		if (!stage_ended)
			return false;
	}
}

/* Frees a job without its effect on the ledger; NULL is allowed. */
void cw_ledger_job_free(cw_ledger_job_t *job)
{
	if (!job)
		return;
	if (job->references)
		reference_check_finish(job->references);
	g_free(job->references);
	if (job->content)
		cw_content_check_finish(job->content);
	cw_catalog_free(job->catalog);
	cw_message_free(job->command);
	g_free(job->message);
	g_free(job);
}

/* Carries out the last stage: alters the ledger and the feed. */
static cw_status_t take_effect(cw_ledger_job_t *job, uint64_t *number)
{
	if (job->status)
		return cw_fail(job->status, "%s", job->message);
	if (job->catalog)
		return ledger_put_in_force(job->ledger, job->command, g_steal_pointer(&job->catalog));
	return ledger_apply_body(job->ledger, job->command, number);
}

/* Ends a job that cw_ledger_job_continue() has reported to be ready, and frees it; as cw_ledger_apply(). */
cw_status_t cw_ledger_job_finish(cw_ledger_job_t *job, Caraway__Change **change)
{
	uint64_t number = 0;
	cw_status_t status = take_effect(job, &number);

	if (change)
		*change = number ? cw_ledger_copy_change(job->ledger, number) : NULL;
	cw_ledger_job_free(job);
	return status;
}

/*
 * Applies a committed command.  Uses the command's time and never a clock, so
 * that every replica reaches the same state and result.  Unless change is
 * NULL, *change is a copy of the change concerned in its state after the
 * command, or NULL.  Fails with CW_ERR_USAGE, CW_ERR_CHANGE_FILE, CW_ERR_SELECTOR,
 * CW_ERR_NOT_FOUND, CW_ERR_CONFLICT, CW_ERR_STALE, CW_ERR_STATE,
 * CW_ERR_SAME_OPERATOR, CW_ERR_CHECK, CW_ERR_FULL or CW_ERR_DECODE.
 */
cw_status_t cw_ledger_apply(cw_ledger_t *ledger, const Caraway__Command *command, Caraway__Change **change)
{
	cw_ledger_job_t *job = cw_ledger_job_new(ledger, cw_message_copy(&command->base));
	size_t budget = SIZE_MAX;

	cw_ledger_job_continue(job, &budget);
	return cw_ledger_job_finish(job, change);
}
